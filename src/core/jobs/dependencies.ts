/**
 * Whether jobs that depend on others may start. Everything follows from the records: which jobs are unfinished, and
 * the final states of those that are over. Nothing is remembered between two calls, so that any controller that takes
 * over comes to the same result. That a job has left the view proves nothing: only its final state does.
 */
import type { JobId } from '../model/ids.js';
import type { FinalRecord, JobRecord } from '../model/jobs.js';
import type { WallClockMs } from '../model/time.js';
import { dependenciesOf, topologicalOrder, transitiveDependencies } from './dependency-order.js';
import { inheritUrgency, withUrgency, type EffectiveUrgency } from './job-urgency.js';

/** Whether a job that depends on others may start. */
export type DependencyStatus =
  /** All dependencies are done; since when, as far as their final states tell. */
  | { readonly kind: 'ready'; readonly since: WallClockMs }
  /** Some are unfinished; of the others, those whose final states are not read yet may have been cancelled. */
  | { readonly kind: 'blocked'; readonly by: readonly JobId[]; readonly unread: readonly JobId[] }
  /** All are over, and the final states of some are not read yet. */
  | { readonly kind: 'unknown'; readonly unread: readonly JobId[] }
  /** A job that it depends on, directly or through others, was cancelled: that one. */
  | { readonly kind: 'withdrawn'; readonly because: JobId };

/** What follows from the records for all unfinished jobs. */
export interface DependencyGraph {
  /** Status by job; a job without dependencies is not in it. */
  readonly byJob: ReadonlyMap<JobId, DependencyStatus>;
  /** What jobs inherit from those that depend on them. */
  readonly inherited: ReadonlyMap<JobId, EffectiveUrgency>;
  /** Unfinished jobs that may start, as they are to be scheduled: with what they inherit. */
  readonly startable: readonly JobRecord[];
}

/** The records, and what is known beside them. */
export interface DependencyInput {
  /** All unfinished jobs. */
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  /** Undefined where the final state is not read yet. */
  readonly finalState: (id: JobId) => FinalRecord | undefined;
  /** Whether the job has tasks on machines: its dependencies were found done before, and stay so. */
  readonly hasStarted: (job: JobRecord) => boolean;
  /** How long a task of the job takes, in milliseconds: the least time between its deadline and its dependencies'. */
  readonly runMs: (job: JobRecord) => number;
}

/** What the dependencies of one job amount to. */
interface DependencySummary {
  /** The cancelled job that withdraws this one; the other fields are incomplete where there is one. */
  readonly cancelled: JobId | null;
  /** When the last dependency was done, as far as known; at least the job's submission. */
  readonly since: WallClockMs;
  readonly unfinished: readonly JobId[];
  readonly unread: readonly JobId[];
}

/** Resolves the dependencies of all unfinished jobs, as far as their final states are read. */
export function resolveDependencies(input: DependencyInput): DependencyGraph {
  const { jobs } = input;
  const ordered = topologicalOrder(jobs.values(), jobs);
  const byJob = resolveInOrder(ordered, input);
  const dependents = ordered.filter(
    (job) => job.phase === 'active' && byJob.get(job.spec.id)?.kind !== 'withdrawn',
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

/** Resolves the dependencies of one job; undefined where it has none. */
export function resolveDependency(job: JobRecord, input: DependencyInput): DependencyStatus | undefined {
  const involved = transitiveDependencies(job, input.jobs);
  return resolveInOrder(topologicalOrder(involved, input.jobs), input).get(job.spec.id);
}

/** Dependencies that are over and whose final states have to be read to decide about the job. */
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
  if (cancelled !== null) return { kind: 'withdrawn', because: cancelled };
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
      if (status?.kind === 'withdrawn') return { cancelled: status.because, since, unfinished, unread };
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
