/** The compact set of a job's finished tasks: a base index and a bitmap over a bounded window. */
import type { TaskIndex } from '../model/ids.js';
import type { DoneSet, JobRecord } from '../model/jobs.js';

/**
 * Only this many tasks beyond the first unfinished one may be under way. It bounds the bitmap of a job with
 * 100,000 tasks, whose record must stay below the state service's limit for a value.
 */
export const TASK_WINDOW = 8192;

/** The results of a job that has none. */
export const NO_TASKS_DONE: DoneSet = { base: 0, bits: '', count: 0 };

/** Whether the task is done. */
export function isDone(set: DoneSet, index: TaskIndex): boolean {
  if (index < set.base) return true;
  if (set.bits === '') return false;
  const at = index - set.base;
  const bytes = Buffer.from(set.bits, 'base64');
  return ((bytes[at >> 3] ?? 0) & (1 << (at & 7))) !== 0;
}

/** The results with further tasks done; throws where one lies beyond the window. */
export function markDone(set: DoneSet, indexes: Iterable<TaskIndex>): DoneSet {
  const bytes = Buffer.alloc(TASK_WINDOW >> 3);
  Buffer.from(set.bits, 'base64').copy(bytes);
  let count = set.count;
  for (const index of indexes) {
    const at = index - set.base;
    if (at < 0) continue;
    if (at >= TASK_WINDOW) throw new Error(`task ${index} lies beyond the window of its job`);
    const bit = 1 << (at & 7);
    if ((bytes[at >> 3]! & bit) !== 0) continue;
    bytes[at >> 3]! |= bit;
    count++;
  }
  let whole = 0;
  while (whole < bytes.length && bytes[whole] === 0xff) whole++;
  let last = bytes.length;
  while (last > whole && bytes[last - 1] === 0) last--;
  return { base: set.base + whole * 8, bits: bytes.subarray(whole, last).toString('base64'), count };
}

/** The tasks that may be started, as far as the job alone can tell, in order. */
export function* unfinishedTasks(job: JobRecord): Generator<TaskIndex> {
  const { spec, done } = job;
  const bytes = Buffer.from(done.bits, 'base64');
  const end = Math.min(spec.tasks, done.base + TASK_WINDOW);
  for (let i = done.base; i < end; i++) {
    const at = i - done.base;
    if (((bytes[at >> 3] ?? 0) & (1 << (at & 7))) === 0) yield i;
  }
}
