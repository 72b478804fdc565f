/** What a job is allowed, what it has left to do, and how its state is shown. */
import {
  CPU,
  GPU,
  fitsWithin,
  type DoneSet,
  type JobRecord,
  type JobSpec,
  type MachineType,
  type TaskIndex,
  type Team,
  type TeamName,
  type TypeName,
} from './types.js';

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

/** Whether the job may run on machines of the type. */
export function allowsMachineType(spec: JobSpec, type: TypeName): boolean {
  return spec.types === null || spec.types.includes(type);
}

/** Whether a job could ever run, or why not. */
export type Feasibility = 'ok' | 'unknown_team' | 'fits_no_type' | 'over_limit';

/** Whether the job could ever run. The caller must know the machine types before it asks. */
export function checkFeasibility(
  spec: JobSpec,
  teams: ReadonlyMap<TeamName, Team>,
  types: Iterable<MachineType>,
): Feasibility {
  const team = teams.get(spec.team);
  if (team === undefined) return 'unknown_team';
  let fitting = false;
  for (const t of types) {
    if (!allowsMachineType(spec, t.name)) continue;
    if (spec.zone !== null && !t.zones.includes(spec.zone)) continue;
    if (fitsWithin(spec.demand, t.capacity)) fitting = true;
  }
  if (!fitting) return 'fits_no_type';
  const atOnce = spec.kind === 'array' ? 1 : spec.tasks;
  if (team.limitCpu !== null && spec.demand[CPU] * atOnce > team.limitCpu) return 'over_limit';
  if (team.limitGpu !== null && spec.demand[GPU] * atOnce > team.limitGpu) return 'over_limit';
  return 'ok';
}

/** At most this many tasks of a spread job may be in one zone. */
export function maxTasksPerZone(spec: JobSpec): number {
  return spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
}
