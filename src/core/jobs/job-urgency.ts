/** How urgent jobs are, with what they inherit from the jobs that depend on them. */
import type { JobId } from '../model/ids.js';
import { PRIORITY_RANK, type JobRecord, type Priority } from '../model/jobs.js';
import type { WallClockMs } from '../model/time.js';
import { dependenciesOf } from './dependency-order.js';

/** How urgent a job is, those that depend on it included. */
export interface EffectiveUrgency {
  readonly priority: Priority;
  /** Wall-clock time by which it must be done, so that those that depend on it can be in time; null without deadline. */
  readonly dueMs: number | null;
}

/**
 * What jobs inherit from those that depend on them: the highest of their priorities, and a deadline early enough for
 * each of them, since users set both on the last job of a pipeline only.
 *
 * @param dependents active jobs with dependencies, in topological order
 * @param unfinished all unfinished jobs
 * @param runMs how long a task of a job takes, in milliseconds
 */
export function inheritUrgency(
  dependents: readonly JobRecord[],
  unfinished: ReadonlyMap<JobId, JobRecord>,
  runMs: (job: JobRecord) => number,
): Map<JobId, EffectiveUrgency> {
  const inherited = new Map<JobId, EffectiveUrgency>();
  // In reverse order, so that urgency reaches dependencies of any depth.
  for (const job of [...dependents].reverse()) {
    const { priority, dueMs } = effectiveUrgency(job, inherited.get(job.spec.id));
    const required = { priority, dueMs: dueMs === null ? null : dueMs - runMs(job) };
    for (const id of dependenciesOf(job))
      if (unfinished.has(id)) inherited.set(id, mostUrgent(required, inherited.get(id)));
  }
  return inherited;
}

/** The job as it is scheduled: its times count from `since`, but for its deadline, which stays where it is. */
export function withUrgency(
  job: JobRecord,
  since: WallClockMs,
  inherited: EffectiveUrgency | undefined,
): JobRecord {
  const { priority, dueMs } = effectiveUrgency(job, inherited);
  const deadlineS = dueMs === null ? null : (dueMs - since) / 1000;
  return { ...job, submitted: since, spec: { ...job.spec, priority, deadlineS } };
}

const effectiveUrgency = (job: JobRecord, inherited: EffectiveUrgency | undefined): EffectiveUrgency =>
  mostUrgent(ownUrgency(job), inherited);

const ownUrgency = ({ spec, submitted }: JobRecord): EffectiveUrgency => ({
  priority: spec.priority,
  dueMs: spec.deadlineS === null ? null : submitted + spec.deadlineS * 1000,
});

function mostUrgent(urgency: EffectiveUrgency, other: EffectiveUrgency | undefined): EffectiveUrgency {
  if (other === undefined) return urgency;
  return {
    priority: higherPriority(urgency.priority, other.priority),
    dueMs: earlierDue(urgency.dueMs, other.dueMs),
  };
}

const higherPriority = (a: Priority, b: Priority): Priority => (PRIORITY_RANK[a] < PRIORITY_RANK[b] ? a : b);

function earlierDue(a: number | null, b: number | null): number | null {
  if (a === null) return b;
  return b === null ? a : Math.min(a, b);
}
