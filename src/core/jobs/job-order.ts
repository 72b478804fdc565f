/** The order in which the jobs of a team are served. */
import type { JobId } from '../model/ids.js';
import { PRIORITY_RANK, type JobRecord } from '../model/jobs.js';
import type { WallClockMs } from '../model/time.js';

/** What the order depends on beside the jobs themselves. */
export interface JobOrderContext {
  readonly wallClock: WallClockMs;
  /** Whether some task of the job is on a machine. */
  readonly hasTasks: (id: JobId) => boolean;
  /** A job without tasks on machines for so long goes before arrays that are overdue. */
  readonly starvationMs: number;
}

/** How much later an array counts as due for each unfinished task. */
const DELAY_PER_TASK_MS = 800;
const MAX_DELAY_MS = 80_000;
/** When a job without a deadline counts as due, from its submission on. */
const DEFAULT_DEADLINE_S = 60;

/** Compares jobs of a team: by priority, then by the time at which their turn comes. */
export function compareJobs(context: JobOrderContext): (a: JobRecord, b: JobRecord) => number {
  return (a, b) => {
    const rank = PRIORITY_RANK[a.spec.priority] - PRIORITY_RANK[b.spec.priority];
    if (rank !== 0) return rank;
    const dueA = effectiveDueAt(a);
    const dueB = effectiveDueAt(b);
    const turn = turnAt(a, dueA, context) - turnAt(b, dueB, context);
    return turn || dueA - dueB || (a.spec.id < b.spec.id ? -1 : 1);
  };
}

/** Wall-clock milliseconds at which the job counts as due. */
const effectiveDueAt = (job: JobRecord): number =>
  job.submitted + (job.spec.deadlineS ?? DEFAULT_DEADLINE_S) * 1000 + delayMs(job);

/**
 * How much later a job counts as due than it is. By due time alone a backlog makes all arrays of a team late, the small
 * ones behind the large; so arrays with fewer tasks left go first, within a bound that keeps large ones from starving.
 */
function delayMs({ spec, done }: JobRecord): number {
  if (spec.kind !== 'array') return 0;
  return Math.min(MAX_DELAY_MS, (spec.tasks - done.count) * DELAY_PER_TASK_MS);
}

/**
 * Wall-clock milliseconds at which the job's turn comes. An array that is overdue and has tasks on machines gives way to
 * arrays that have waited for long without any: a large one would else keep the small jobs of its team from starting.
 */
function turnAt(
  { spec, submitted }: JobRecord,
  due: number,
  { wallClock, hasTasks, starvationMs }: JobOrderContext,
): number {
  if (spec.kind !== 'array') return due;
  if (hasTasks(spec.id)) return Math.max(due, wallClock);
  return wallClock - submitted > starvationMs ? Math.min(due, submitted + starvationMs) : due;
}
