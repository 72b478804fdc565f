/** The order in which the jobs of a team are served. */
import type { JobId } from '../model/ids.js';
import { PRIORITY_RANK, type JobRecord } from '../model/jobs.js';
import type { WallClockMs } from '../model/time.js';

/** What the order depends on beside the jobs themselves. */
export interface JobOrderContext {
  readonly wallClock: WallClockMs;
  /** Whether some task of the job is on a machine. */
  readonly hasTasks: (id: JobId) => boolean;
  /** A job of which nothing runs after so long is not left behind arrays that are late in any case. */
  readonly starvationMs: number;
}

/** For each task that an array has left; a task that ends a second later is no harm, a job that ends late is. */
const HEAD_START_MS = 800;
const MOST_HEAD_START_MS = 80_000;
/** When a job without a deadline counts as due. */
const NO_DEADLINE_S = 60;

/**
 * How much later a job counts as due than it is. By due time alone a backlog makes all arrays of a team late, the small
 * ones behind the large; those with less left to do go before, but only so far that none waits for ever.
 */
function headStartMs({ spec, done }: JobRecord): number {
  if (spec.kind !== 'array') return 0;
  return Math.min(MOST_HEAD_START_MS, (spec.tasks - done.count) * HEAD_START_MS);
}

const dueAt = (job: JobRecord): number =>
  job.submitted + (job.spec.deadlineS ?? NO_DEADLINE_S) * 1000 + headStartMs(job);

/**
 * When the job's turn comes. An array of which something runs and which is late already gives way to arrays of which
 * nothing has run for long: one of 25,000 short tasks kept hundreds of single tasks of its team waiting for minutes.
 */
function turnAt(job: JobRecord, due: number, { wallClock, hasTasks, starvationMs }: JobOrderContext): number {
  if (job.spec.kind !== 'array') return due;
  if (hasTasks(job.spec.id)) return Math.max(due, wallClock);
  return wallClock - job.submitted > starvationMs ? Math.min(due, job.submitted + starvationMs) : due;
}

/** Compares jobs of a team: by priority, then by the time at which their turn comes. */
export function compareJobs(context: JobOrderContext): (a: JobRecord, b: JobRecord) => number {
  return (a, b) => {
    const rank = PRIORITY_RANK[a.spec.priority] - PRIORITY_RANK[b.spec.priority];
    if (rank !== 0) return rank;
    const dueA = dueAt(a);
    const dueB = dueAt(b);
    const turn = turnAt(a, dueA, context) - turnAt(b, dueB, context);
    return turn || dueA - dueB || (a.spec.id < b.spec.id ? -1 : 1);
  };
}
