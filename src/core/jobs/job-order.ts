/** The order in which the jobs of a team are scheduled. */
import type { JobId } from '../model/ids.js';
import { PRIORITY_RANK, type JobRecord } from '../model/jobs.js';
import type { WallClockMs } from '../model/time.js';

/** What the order depends on, apart from the jobs themselves. */
export interface JobOrderContext {
  /** The present time. */
  readonly wallClock: WallClockMs;
  /** Whether at least one task of the job is on a machine. */
  readonly hasTasks: (id: JobId) => boolean;
  /** An array without tasks on machines this long after its submission goes before overdue arrays that have some. */
  readonly starvationMs: number;
}

/** How much later an array counts as due for each task that is not done. */
const DUE_DELAY_PER_TASK_MS = 800;
/** The longest delay that an array gets for its size, so that large arrays do not starve. */
const MAX_DUE_DELAY_MS = 80_000;
/** The time after its submission at which a job without a deadline counts as due. */
const DEFAULT_DEADLINE_S = 60;

/** Compares jobs of a team: by priority, then by the ordering time, then by when they count as due, then by id. */
export function compareJobs(context: JobOrderContext): (a: JobRecord, b: JobRecord) => number {
  return (a, b) => {
    const byPriority = PRIORITY_RANK[a.spec.priority] - PRIORITY_RANK[b.spec.priority];
    if (byPriority !== 0) return byPriority;
    const dueA = effectiveDueAt(a);
    const dueB = effectiveDueAt(b);
    const byOrderingTime = orderingTimeOf(a, dueA, context) - orderingTimeOf(b, dueB, context);
    return byOrderingTime || dueA - dueB || (a.spec.id < b.spec.id ? -1 : 1);
  };
}

/** Wall-clock milliseconds at which the job counts as due. */
const effectiveDueAt = (job: JobRecord): number =>
  job.submitted + (job.spec.deadlineS ?? DEFAULT_DEADLINE_S) * 1000 + dueDelayMs(job);

/**
 * How much later a job counts as due than its deadline. If only the deadline counted, a backlog would make all arrays
 * of a team late, the small ones behind the large; so arrays with fewer tasks left go first, within a bound that
 * keeps large ones from starving.
 */
function dueDelayMs({ spec, done }: JobRecord): number {
  if (spec.kind !== 'array') return 0;
  return Math.min(MAX_DUE_DELAY_MS, (spec.tasks - done.count) * DUE_DELAY_PER_TASK_MS);
}

/**
 * The job's ordering time, in wall-clock milliseconds. An array that is overdue and has tasks on machines is ordered
 * after arrays that have waited longer than `starvationMs` without any; otherwise a large array would keep the small
 * jobs of its team from starting.
 */
function orderingTimeOf(
  { spec, submitted }: JobRecord,
  due: number,
  { wallClock, hasTasks, starvationMs }: JobOrderContext,
): number {
  if (spec.kind !== 'array') return due;
  if (hasTasks(spec.id)) return Math.max(due, wallClock);
  return wallClock - submitted > starvationMs ? Math.min(due, submitted + starvationMs) : due;
}
