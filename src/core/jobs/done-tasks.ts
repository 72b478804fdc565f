/** The compact set of a job's done tasks: a base index and a bitmap over a bounded window. */
import { InvariantError } from '../errors.js';
import type { TaskIndex } from '../model/ids.js';
import type { DoneSet, JobRecord } from '../model/jobs.js';

/**
 * Size, in tasks, of a job's window, which starts at the base of its done set; no task beyond it is started. The
 * window bounds the bitmap of a job with 100,000 tasks, whose record must stay below the state service's limit for a
 * value.
 */
export const TASK_WINDOW = 8192;

/** The done set of a job that has no done tasks. */
export const NO_TASKS_DONE: DoneSet = { base: 0, bits: '', count: 0 };

/** Whether the task with this index is done. */
export function isDone(set: DoneSet, index: TaskIndex): boolean {
  if (index < set.base) return true;
  if (set.bits === '') return false;
  return hasBit(Buffer.from(set.bits, 'base64'), index - set.base);
}

/**
 * The set with further tasks done; tasks that are done already are ignored.
 *
 * @throws InvariantError if a task lies beyond the window of its job
 */
export function markDone(set: DoneSet, indexes: Iterable<TaskIndex>): DoneSet {
  const bitmap = Buffer.alloc(TASK_WINDOW >> 3);
  Buffer.from(set.bits, 'base64').copy(bitmap);
  let { count } = set;
  for (const index of indexes) {
    const position = index - set.base;
    if (position >= TASK_WINDOW)
      throw new InvariantError(
        `task ${index} lies beyond the window of its job: ${TASK_WINDOW} tasks from task ${set.base} on`,
      );
    if (position < 0 || hasBit(bitmap, position)) continue;
    bitmap[position >> 3]! |= 1 << (position & 7);
    count++;
  }
  return trimmedDoneSet(set.base, bitmap, count);
}

/** The tasks within the job's window that are not done, in order; some of them may be on machines already. */
export function* unfinishedTasks({ spec, done }: JobRecord): Generator<TaskIndex> {
  const bitmap = Buffer.from(done.bits, 'base64');
  const end = Math.min(spec.tasks, done.base + TASK_WINDOW);
  for (let index = done.base; index < end; index++) if (!hasBit(bitmap, index - done.base)) yield index;
}

/** Whether the bit is set; a position beyond the end of the bitmap counts as not set. */
function hasBit(bitmap: Buffer, position: number): boolean {
  return ((bitmap[position >> 3] ?? 0) & (1 << (position & 7))) !== 0;
}

/** The set with a trimmed bitmap: full bytes at its start move the base, empty bytes at its end are cut off. */
function trimmedDoneSet(base: number, bitmap: Buffer, count: number): DoneSet {
  let start = 0;
  while (start < bitmap.length && bitmap[start] === 0xff) start++;
  let end = bitmap.length;
  while (end > start && bitmap[end - 1] === 0) end--;
  return { base: base + start * 8, bits: bitmap.subarray(start, end).toString('base64'), count };
}
