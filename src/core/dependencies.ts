/**
 * Jobs that wait for others. Everything follows from the records: which jobs are unfinished, and the final states of
 * those that are over. Nothing is remembered between two calls, so any controller that takes over comes to the same
 * result. A job that has left the view proves nothing by that: only its final state, once read, does.
 */
import { PRIORITY_RANK, type FinalRecord, type JobId, type JobRecord, type WallMs } from './types.js';

/** Whether a job that names others may start. */
export type Dependency =
  /** All needed jobs are done; since when, as far as their final states tell. */
  | { readonly kind: 'ready'; readonly since: WallMs }
  /** Some are unfinished; of the others, those whose final states are not read yet may have been cancelled. */
  | { readonly kind: 'blocked'; readonly by: readonly JobId[]; readonly unread: readonly JobId[] }
  /** Needed jobs are over, and how is not read yet. */
  | { readonly kind: 'unknown'; readonly unread: readonly JobId[] }
  /** A job that it needs, directly or through others, was cancelled. */
  | { readonly kind: 'withdrawn' };

/** What follows from the records for all unfinished jobs. */
export interface Dependencies {
  /** By job that names others; one that names none is not in it. */
  readonly of: ReadonlyMap<JobId, Dependency>;
  /** Unfinished jobs as they are to be scheduled: those that may start, with what they inherit. */
  readonly startable: readonly JobRecord[];
}

/** The records, and what is known beside them. */
export interface DependencyInput {
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  readonly final: (id: JobId) => FinalRecord | undefined;
  /** It has tasks on machines: its needs were found done before, and done is for ever. */
  readonly started: (job: JobRecord) => boolean;
  /** How long a task of the job takes, for what must lie between two deadlines. */
  readonly runMs: (job: JobRecord) => number;
}

const NO_NEEDS: readonly JobId[] = [];
/** The jobs that a job names. */
export const needsOf = (job: JobRecord): readonly JobId[] => job.spec.needs ?? NO_NEEDS;

/** The jobs that name others, each after those that it names: however long a chain is, nothing recurses. */
function inOrder(list: Iterable<JobRecord>, jobs: ReadonlyMap<JobId, JobRecord>): JobRecord[] {
  const missing = new Map<JobId, number>();
  const waiting = new Map<JobId, JobRecord[]>();
  const out: JobRecord[] = [];
  for (const j of list) {
    if (needsOf(j).length === 0) continue;
    let n = 0;
    for (const id of needsOf(j)) {
      const need = jobs.get(id);
      if (need === undefined || needsOf(need).length === 0) continue;
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

function judgeOne(job: JobRecord, of: ReadonlyMap<JobId, Dependency>, input: DependencyInput): Dependency {
  let since = job.submitted;
  const by: JobId[] = [];
  const unread: JobId[] = [];
  const begun = job.done.count > 0 || input.started(job);
  for (const id of needsOf(job)) {
    if (input.jobs.has(id)) {
      if (of.get(id)?.kind === 'withdrawn') return { kind: 'withdrawn' };
      by.push(id);
      continue;
    }
    const final = input.final(id);
    if (final === undefined) unread.push(id);
    else if (final.state === 'cancelled') return { kind: 'withdrawn' };
    else if (final.at !== undefined && final.at > since) since = final.at;
  }
  if (begun) return { kind: 'ready', since };
  if (by.length > 0) return { kind: 'blocked', by, unread };
  if (unread.length > 0) return { kind: 'unknown', unread };
  return { kind: 'ready', since };
}

function judgeAll(ordered: readonly JobRecord[], input: DependencyInput): Map<JobId, Dependency> {
  const of = new Map<JobId, Dependency>();
  for (const j of ordered) of.set(j.spec.id, judgeOne(j, of, input));
  return of;
}

/** Needed jobs that are over and whose final states have to be read to decide about the job. */
export const unreadOf = (dependency: Dependency): readonly JobId[] =>
  dependency.kind === 'blocked' || dependency.kind === 'unknown' ? dependency.unread : [];

/** The job and the unfinished ones that it needs, through any depth. */
export function chainOf(job: JobRecord, jobs: ReadonlyMap<JobId, JobRecord>): ReadonlySet<JobRecord> {
  const found = new Set<JobRecord>([job]);
  // A set is gone through in the order of its entries, those added on the way too.
  for (const j of found)
    for (const id of needsOf(j)) {
      const need = jobs.get(id);
      if (need !== undefined) found.add(need);
    }
  return found;
}

/** Whether one job may start, waits, or is to be withdrawn. */
export const judgeNeeds = (job: JobRecord, input: DependencyInput): Dependency | undefined =>
  judgeAll(inOrder(chainOf(job, input.jobs), input.jobs), input).get(job.spec.id);

interface Inherited {
  readonly priority: JobRecord['spec']['priority'];
  /** By when it must be done, so that those that need it can be in time. */
  readonly dueMs: number | null;
}

/**
 * A needed job has the highest priority of any that needs it, and has to be done early enough for each of them: users
 * set both on the last job of a pipeline only.
 */
export function judgeDependencies(input: DependencyInput): Dependencies {
  const { jobs } = input;
  const ordered = inOrder(jobs.values(), jobs);
  const of = judgeAll(ordered, input);
  const inherited = new Map<JobId, Inherited>();
  const ownDue = (j: JobRecord) => (j.spec.deadlineS === null ? null : j.submitted + j.spec.deadlineS * 1000);
  const whole = (j: JobRecord): Inherited => {
    const from = inherited.get(j.spec.id);
    const due = ownDue(j);
    if (from === undefined) return { priority: j.spec.priority, dueMs: due };
    const higher = PRIORITY_RANK[from.priority] < PRIORITY_RANK[j.spec.priority];
    return {
      priority: higher ? from.priority : j.spec.priority,
      dueMs: from.dueMs === null || (due !== null && due < from.dueMs) ? due : from.dueMs,
    };
  };
  // The last jobs first, so that what they ask for goes through any depth.
  for (const j of ordered.reverse()) {
    if (j.phase !== 'active' || of.get(j.spec.id)?.kind === 'withdrawn') continue;
    const mine = whole(j);
    const before = mine.dueMs === null ? null : mine.dueMs - input.runMs(j);
    for (const id of needsOf(j)) {
      if (!jobs.has(id)) continue;
      const known = inherited.get(id);
      inherited.set(id, {
        priority:
          known !== undefined && PRIORITY_RANK[known.priority] < PRIORITY_RANK[mine.priority]
            ? known.priority
            : mine.priority,
        dueMs: known?.dueMs != null && (before === null || known.dueMs < before) ? known.dueMs : before,
      });
    }
  }
  const startable: JobRecord[] = [];
  for (const j of jobs.values()) {
    const d = of.get(j.spec.id);
    if (d !== undefined && d.kind !== 'ready') continue;
    if (d === undefined && !inherited.has(j.spec.id)) {
      startable.push(j);
      continue;
    }
    // Its own times count from when the last job that it needs was done; only the deadline counts from the submission.
    const since = d?.since ?? j.submitted;
    const { priority, dueMs } = whole(j);
    startable.push({
      ...j,
      submitted: since,
      spec: { ...j.spec, priority, deadlineS: dueMs === null ? null : (dueMs - since) / 1000 },
    });
  }
  return { of, startable };
}
