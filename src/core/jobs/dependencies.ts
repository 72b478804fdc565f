/**
 * Decides whether jobs that depend on others may start. The result follows from the records alone: which jobs are
 * unfinished, and the final states of the finished ones. No state is kept between calls, so that any controller that
 * takes over comes to the same result. A job's absence from the view proves nothing: only its final state tells how
 * it ended.
 */
import type { JobId } from '../model/ids.js';
import type { FinalRecord, JobRecord } from '../model/jobs.js';
import type { WallClockMs } from '../model/time.js';
import { dependenciesOf, topologicalOrder, transitiveDependencies } from './dependency-order.js';
import { inheritUrgency, withUrgency, type EffectiveUrgency } from './job-urgency.js';

/** Whether a job that depends on others may start. */
export type DependencyStatus =
  /** All dependencies are done; `since` is when the last of them was, as far as their final states have been read. */
  | { readonly kind: 'ready'; readonly since: WallClockMs }
  /**
   * The dependencies in `by` are unfinished. Those in `unread` may have been cancelled: their final states have not
   * been read yet.
   */
  | { readonly kind: 'blocked'; readonly by: readonly JobId[]; readonly unread: readonly JobId[] }
  /** No dependency is unfinished, but the final states of those in `unread` have not been read yet. */
  | { readonly kind: 'unknown'; readonly unread: readonly JobId[] }
  /** The job `because`, a direct or transitive dependency, was cancelled. */
  | { readonly kind: 'cancelled'; readonly because: JobId };

/** The dependencies of all unfinished jobs, as resolved from the records. */
export interface DependencyGraph {
  /** Status of each job that has dependencies; other jobs are not in the map. */
  readonly byJob: ReadonlyMap<JobId, DependencyStatus>;
  /** The urgency that jobs inherit from those that depend on them. */
  readonly inherited: ReadonlyMap<JobId, EffectiveUrgency>;
  /** Unfinished jobs that may start, with the urgency and times that they are scheduled with; see `withUrgency`. */
  readonly startable: readonly JobRecord[];
}

/** The records and lookups from which dependencies are resolved. */
export interface DependencyInput {
  /** All unfinished jobs. */
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  /** The final state of a finished job; undefined if it has not been read yet. */
  readonly finalState: (id: JobId) => FinalRecord | undefined;
  /** Whether the job has tasks on machines. Its dependencies were done before these started, and stay done. */
  readonly hasStarted: (job: JobRecord) => boolean;
  /** How long a task of the job takes, in milliseconds: its dependencies are due at least this long before it. */
  readonly runMs: (job: JobRecord) => number;
}

/** The states of one job's direct dependencies, from which its own status follows. */
interface DependencySummary {
  /** The cancelled job with which this one is cancelled; null for none. If set, the other fields are incomplete. */
  readonly cancelled: JobId | null;
  /** When the last dependency was done, as far as known; never before the job's submission. */
  readonly since: WallClockMs;
  /** Dependencies that are unfinished. */
  readonly unfinished: readonly JobId[];
  /** Dependencies that are not unfinished and whose final states have not been read yet. */
  readonly unread: readonly JobId[];
}

/** Resolves the dependencies of all unfinished jobs, as far as the final states of finished ones have been read. */
export function resolveDependencies(input: DependencyInput): DependencyGraph {
  const { jobs } = input;
  const ordered = topologicalOrder(jobs.values(), jobs);
  const byJob = resolveInOrder(ordered, input);
  const dependents = ordered.filter(
    (job) => job.phase === 'active' && byJob.get(job.spec.id)?.kind !== 'cancelled',
  );
  const inherited = inheritUrgency(dependents, jobs, input.runMs);
  const startable: JobRecord[] = [];
  for (const job of jobs.values()) {
    const status = byJob.get(job.spec.id);
    if (status !== undefined && status.kind !== 'ready') continue;
    const urgency = inherited.get(job.spec.id);
    const isUnchanged = status === undefined && urgency === undefined;
    startable.push(isUnchanged ? job : withUrgency(job, status?.since ?? job.submitted, urgency));
  }
  return { byJob, inherited, startable };
}

/** Resolves the dependencies of one job, as far as final states have been read; undefined if the job has none. */
export function resolveJobDependencies(job: JobRecord, input: DependencyInput): DependencyStatus | undefined {
  const involved = transitiveDependencies(job, input.jobs);
  return resolveInOrder(topologicalOrder(involved, input.jobs), input).get(job.spec.id);
}

/** The dependencies whose final states have to be read to decide whether the job may start. */
export const unreadFinalStates = (status: DependencyStatus): readonly JobId[] =>
  status.kind === 'blocked' || status.kind === 'unknown' ? status.unread : [];

function resolveInOrder(ordered: readonly JobRecord[], input: DependencyInput): Map<JobId, DependencyStatus> {
  const statuses = new Map<JobId, DependencyStatus>();
  for (const job of ordered) statuses.set(job.spec.id, statusOf(job, statuses, input));
  return statuses;
}

function statusOf(
  job: JobRecord,
  statuses: ReadonlyMap<JobId, DependencyStatus>,
  input: DependencyInput,
): DependencyStatus {
  const { cancelled, since, unfinished, unread } = summarize(job, statuses, input);
  if (cancelled !== null) return { kind: 'cancelled', because: cancelled };
  if (job.done.count > 0 || input.hasStarted(job)) return { kind: 'ready', since };
  if (unfinished.length > 0) return { kind: 'blocked', by: unfinished, unread };
  if (unread.length > 0) return { kind: 'unknown', unread };
  return { kind: 'ready', since };
}

function summarize(
  job: JobRecord,
  statuses: ReadonlyMap<JobId, DependencyStatus>,
  input: DependencyInput,
): DependencySummary {
  let since = job.submitted;
  const unfinished: JobId[] = [];
  const unread: JobId[] = [];
  for (const id of dependenciesOf(job)) {
    if (input.jobs.has(id)) {
      const status = statuses.get(id);
      if (status?.kind === 'cancelled') return { cancelled: status.because, since, unfinished, unread };
      unfinished.push(id);
      continue;
    }
    const final = input.finalState(id);
    if (final === undefined) unread.push(id);
    else if (final.state === 'cancelled')
      return { cancelled: final.because ?? id, since, unfinished, unread };
    else if (final.at !== undefined && final.at > since) since = final.at;
  }
  return { cancelled: null, since, unfinished, unread };
}
