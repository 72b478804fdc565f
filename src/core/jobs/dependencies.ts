/**
 * Jobs that wait for others. Everything follows from the records: which jobs are unfinished, and the final states of
 * those that are over. Nothing is remembered between two calls, so any controller that takes over comes to the same
 * result. A job that has left the view proves nothing by that: only its final state, once read, does.
 */
import type { JobId } from '../model/ids.js';
import { PRIORITY_RANK, type FinalRecord, type JobRecord, type Priority } from '../model/jobs.js';
import type { WallClockMs } from '../model/time.js';

/** Whether a job that names others may start. */
export type DependencyStatus =
  /** All needed jobs are done; since when, as far as their final states tell. */
  | { readonly kind: 'ready'; readonly since: WallClockMs }
  /** Some are unfinished; of the others, those whose final states are not read yet may have been cancelled. */
  | { readonly kind: 'blocked'; readonly by: readonly JobId[]; readonly unread: readonly JobId[] }
  /** Needed jobs are over, and how is not read yet. */
  | { readonly kind: 'unknown'; readonly unread: readonly JobId[] }
  /** A job that it needs, directly or through others, was cancelled: that one. */
  | { readonly kind: 'withdrawn'; readonly because: JobId };

/** What follows from the records for all unfinished jobs. */
export interface DependencyGraph {
  /** By job that names others; one that names none is not in it. */
  readonly byJob: ReadonlyMap<JobId, DependencyStatus>;
  /** What jobs inherit from those that need them. */
  readonly inherited: ReadonlyMap<JobId, EffectiveUrgency>;
  /** Unfinished jobs as they are to be scheduled: those that may start, with what they inherit. */
  readonly startable: readonly JobRecord[];
}

/** The records, and what is known beside them. */
export interface DependencyInput {
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  readonly finalState: (id: JobId) => FinalRecord | undefined;
  /** It has tasks on machines: its needs were found done before, and done is for ever. */
  readonly hasStarted: (job: JobRecord) => boolean;
  /** How long a task of the job takes, for what must lie between two deadlines. */
  readonly runMs: (job: JobRecord) => number;
}

const NO_NEEDS: readonly JobId[] = [];
/** The jobs that a job names. */
export const dependenciesOf = (job: JobRecord): readonly JobId[] => job.spec.needs ?? NO_NEEDS;

/** The jobs that name others, each after those that it names: however long a chain is, nothing recurses. */
function topologicalOrder(list: Iterable<JobRecord>, jobs: ReadonlyMap<JobId, JobRecord>): JobRecord[] {
  const missing = new Map<JobId, number>();
  const waiting = new Map<JobId, JobRecord[]>();
  const out: JobRecord[] = [];
  for (const j of list) {
    if (dependenciesOf(j).length === 0) continue;
    let n = 0;
    for (const id of dependenciesOf(j)) {
      const need = jobs.get(id);
      if (need === undefined || dependenciesOf(need).length === 0) continue;
      n++;
      const list = waiting.get(id);
      if (list === undefined) waiting.set(id, [j]);
      else list.push(j);
    }
    if (n === 0) out.push(j);
    else missing.set(j.spec.id, n);
  }
  for (let i = 0; i < out.length; i++)
    for (const j of waiting.get(out[i]!.spec.id) ?? []) {
      const n = missing.get(j.spec.id)! - 1;
      missing.set(j.spec.id, n);
      if (n === 0) out.push(j);
    }
  return out;
}

function resolveOne(
  job: JobRecord,
  of: ReadonlyMap<JobId, DependencyStatus>,
  input: DependencyInput,
): DependencyStatus {
  let since = job.submitted;
  const by: JobId[] = [];
  const unread: JobId[] = [];
  const begun = job.done.count > 0 || input.hasStarted(job);
  for (const id of dependenciesOf(job)) {
    if (input.jobs.has(id)) {
      const before = of.get(id);
      if (before?.kind === 'withdrawn') return before;
      by.push(id);
      continue;
    }
    const final = input.finalState(id);
    if (final === undefined) unread.push(id);
    else if (final.state === 'cancelled') return { kind: 'withdrawn', because: final.because ?? id };
    else if (final.at !== undefined && final.at > since) since = final.at;
  }
  if (begun) return { kind: 'ready', since };
  if (by.length > 0) return { kind: 'blocked', by, unread };
  if (unread.length > 0) return { kind: 'unknown', unread };
  return { kind: 'ready', since };
}

function resolveAll(ordered: readonly JobRecord[], input: DependencyInput): Map<JobId, DependencyStatus> {
  const of = new Map<JobId, DependencyStatus>();
  for (const j of ordered) of.set(j.spec.id, resolveOne(j, of, input));
  return of;
}

/** Needed jobs that are over and whose final states have to be read to decide about the job. */
export const unreadFinalStates = (dependency: DependencyStatus): readonly JobId[] =>
  dependency.kind === 'blocked' || dependency.kind === 'unknown' ? dependency.unread : [];

/** The job and the unfinished ones that it needs, through any depth. */
export function transitiveDependencies(
  job: JobRecord,
  jobs: ReadonlyMap<JobId, JobRecord>,
): ReadonlySet<JobRecord> {
  const found = new Set<JobRecord>([job]);
  // A set is gone through in the order of its entries, those added on the way too.
  for (const j of found)
    for (const id of dependenciesOf(j)) {
      const need = jobs.get(id);
      if (need !== undefined) found.add(need);
    }
  return found;
}

/** Whether one job may start, waits, or is to be withdrawn. */
export const resolveDependency = (job: JobRecord, input: DependencyInput): DependencyStatus | undefined =>
  resolveAll(topologicalOrder(transitiveDependencies(job, input.jobs), input.jobs), input).get(job.spec.id);

/** How urgent a job is, those that need it included. */
export interface EffectiveUrgency {
  readonly priority: Priority;
  /** By when it must be done, so that those that need it can be in time. */
  readonly dueMs: number | null;
}

const higherOf = (a: Priority, b: Priority): Priority => (PRIORITY_RANK[a] < PRIORITY_RANK[b] ? a : b);
const earlierOf = (a: number | null, b: number | null): number | null =>
  a === null || b === null ? (a ?? b) : Math.min(a, b);
const mostUrgent = (a: EffectiveUrgency, b: EffectiveUrgency | undefined): EffectiveUrgency =>
  b === undefined ? a : { priority: higherOf(a.priority, b.priority), dueMs: earlierOf(a.dueMs, b.dueMs) };

const ownUrgency = ({ spec, submitted }: JobRecord): EffectiveUrgency => ({
  priority: spec.priority,
  dueMs: spec.deadlineS === null ? null : submitted + spec.deadlineS * 1000,
});

/**
 * A needed job has the highest priority of any that needs it, and has to be done early enough for each of them: users
 * set both on the last job of a pipeline only.
 */
function inheritUrgency(
  ordered: readonly JobRecord[],
  of: ReadonlyMap<JobId, DependencyStatus>,
  input: DependencyInput,
): Map<JobId, EffectiveUrgency> {
  const inherited = new Map<JobId, EffectiveUrgency>();
  // The last jobs first, so that what they ask for goes through any depth.
  for (const job of [...ordered].reverse()) {
    if (job.phase !== 'active' || of.get(job.spec.id)?.kind === 'withdrawn') continue;
    const { priority, dueMs } = mostUrgent(ownUrgency(job), inherited.get(job.spec.id));
    const asks = { priority, dueMs: dueMs === null ? null : dueMs - input.runMs(job) };
    for (const id of dependenciesOf(job))
      if (input.jobs.has(id)) inherited.set(id, mostUrgent(asks, inherited.get(id)));
  }
  return inherited;
}

/** The job as it is scheduled. Its own times count from when the last job that it needs was done, but for the deadline. */
function withUrgency(job: JobRecord, since: WallClockMs, urgency: EffectiveUrgency): JobRecord {
  const { priority, dueMs } = urgency;
  const deadlineS = dueMs === null ? null : (dueMs - since) / 1000;
  return { ...job, submitted: since, spec: { ...job.spec, priority, deadlineS } };
}

/** What the records and the final states read so far say of all unfinished jobs. */
export function resolveDependencies(input: DependencyInput): DependencyGraph {
  const { jobs } = input;
  const ordered = topologicalOrder(jobs.values(), jobs);
  const byJob = resolveAll(ordered, input);
  const inherited = inheritUrgency(ordered, byJob, input);
  const startable: JobRecord[] = [];
  for (const job of jobs.values()) {
    const dependency = byJob.get(job.spec.id);
    if (dependency !== undefined && dependency.kind !== 'ready') continue;
    const from = inherited.get(job.spec.id);
    const asItStands = dependency === undefined && from === undefined;
    const since = dependency?.since ?? job.submitted;
    startable.push(asItStands ? job : withUrgency(job, since, mostUrgent(ownUrgency(job), from)));
  }
  return { byJob, inherited, startable };
}
