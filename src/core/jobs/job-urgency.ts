/** Urgency of jobs: their own priority and deadline, combined with those inherited from jobs that depend on them. */
import type { JobId } from '../model/ids.js';
import { PRIORITY_RANK, type JobRecord, type Priority } from '../model/jobs.js';
import type { WallClockMs } from '../model/time.js';
import { dependenciesOf } from './dependency-order.js';

/** A job's urgency, including that of the jobs that depend on it. */
export interface EffectiveUrgency {
  /** The highest priority among the job and those that depend on it. */
  readonly priority: Priority;
  /** Wall-clock milliseconds by which the job must be done for all of them to meet their deadlines; null for none. */
  readonly dueMs: number | null;
}

/**
 * The urgency that jobs inherit from those that depend on them: the highest of their priorities, and a deadline early
 * enough for each of them, since users set both on the last job of a pipeline only. Jobs that inherit nothing are not
 * in the map.
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

/** The job as it is scheduled: submitted at `since`, with its effective urgency, whose due time stays where it is. */
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
