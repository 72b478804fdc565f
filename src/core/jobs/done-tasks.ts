/** The compact set of a job's done tasks: a base index and a bitmap over a bounded window. */
import { InvariantError } from '../errors.js';
import type { TaskIndex } from '../model/ids.js';
import type { DoneSet, JobRecord } from '../model/jobs.js';

/**
 * Size, in tasks, of the window of a done set, which starts at its base. It bounds the bitmap of a job with 100,000
 * tasks, whose record must stay below the state service's limit for a value. Tasks of an array are done one by one, so
 * none beyond the window is started. The tasks of a gang are done all at once, and those of a service never: their
 * bitmap stays empty, and all of them may be started.
 */
export const TASK_WINDOW = 8192;

/** The done set of a job that has no done tasks. */
export const NO_TASKS_DONE: DoneSet = { base: 0, bits: '', count: 0 };

/** The done set of a job all of whose `tasks` tasks are done. */
export const allTasksDone = (tasks: number): DoneSet => ({ base: tasks, bits: '', count: tasks });

/** Whether the set can record the task as done: it lies below the end of the set's window. */
export const isWithinWindow = (set: DoneSet, index: TaskIndex): boolean => index < set.base + TASK_WINDOW;

/** The index behind the last task of the job that may be started now. */
export function endOfStartableTasks({ spec, done }: JobRecord): TaskIndex {
  return spec.kind === 'array' ? Math.min(spec.tasks, done.base + TASK_WINDOW) : spec.tasks;
}

/** Whether the task with this index is done. */
export function isDone(set: DoneSet, index: TaskIndex): boolean {
  if (index < set.base) return true;
  if (set.bits === '') return false;
  return hasBit(Buffer.from(set.bits, 'base64'), index - set.base);
}

/**
 * The set with further tasks done; tasks that are done already are ignored.
 *
 * @throws InvariantError if a task lies beyond the window of the set
 */
export function markDone(set: DoneSet, indexes: Iterable<TaskIndex>): DoneSet {
  const bitmap = Buffer.alloc(TASK_WINDOW >> 3);
  Buffer.from(set.bits, 'base64').copy(bitmap);
  let { count } = set;
  for (const index of indexes) {
    const position = index - set.base;
    if (!isWithinWindow(set, index))
      throw new InvariantError(
        `task ${index} lies beyond the window of its job: ${TASK_WINDOW} tasks from task ${set.base} on`,
      );
    if (position < 0 || hasBit(bitmap, position)) continue;
    bitmap[position >> 3]! |= 1 << (position & 7);
    count++;
  }
  return trimmedDoneSet(set.base, bitmap, count);
}

/** The tasks that may be started now and are not done, in order; some of them may be on machines already. */
export function* unfinishedTasks(job: JobRecord): Generator<TaskIndex> {
  const { done } = job;
  const bitmap = Buffer.from(done.bits, 'base64');
  const end = endOfStartableTasks(job);
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
