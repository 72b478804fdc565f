/**
 * What a machine's owner may conclude from a worker's report, and what it tells the worker.
 *
 * A task leaves a machine's record only on proof. Commands go out in answers to reports: a worker has one
 * report in flight and drops late answers, so a report newer than the one whose answer carried a start shows
 * for certain whether that start was carried out. Stops may also be sent directly: they name one attempt,
 * and attempts are never used twice, so a late stop harms nobody. A start is never sent directly.
 */
import { isDone } from './jobs.js';
import type { Ledger } from './ledger.js';
import {
  NO_RESOURCES,
  fitsWithin,
  addResources,
  type Attempt,
  type Command,
  type ExitReason,
  type JobId,
  type JobRecord,
  type MachineRecord,
  type Placed,
  type Report,
  type ReportedTask,
  type MonotonicMs,
  type TaskIndex,
  type FencingToken,
} from './types.js';

/** What the present owner remembers of a machine under one token. All of it may be lost at any time. */
export interface MachineMemory {
  readonly token: FencingToken;
  report: Report | null;
  /**
   * The newest report that the worker sent by itself. An answer to a direct command may be newer and still
   * precede the answer to a report in flight, so only this one shows what became of a start.
   */
  posted: { session: number; seq: number } | null;
  /** When the newest of those came. */
  postedAt: MonotonicMs | null;
  /** Since when they have come without a gap. */
  steadySince: MonotonicMs | null;
  /** When the machine last showed that it is there and hears its owner, or when this owner took over. */
  heardAt: MonotonicMs;
  /** When this owner first got a report. */
  firstAt: MonotonicMs | null;
  /** The report whose answer carried a start, by task. */
  readonly started: Map<string, { session: number; seq: number }>;
  /** Tasks that were seen on the machine. */
  readonly seen: Set<string>;
  /** When a task was last told to stop. */
  readonly stopped: Map<string, MonotonicMs>;
  /** Tasks known to be gone: since when and why. */
  readonly left: Map<string, { at: MonotonicMs; why: ExitReason | null }>;
}

/** Nothing is known of a machine yet under this token. */
export const newMemory = (token: FencingToken, now: MonotonicMs): MachineMemory => ({
  token,
  report: null,
  posted: null,
  postedAt: null,
  steadySince: null,
  heardAt: now,
  firstAt: null,
  started: new Map(),
  seen: new Set(),
  stopped: new Map(),
  left: new Map(),
});

/** Names one start of a task. */
export const taskKey = (job: JobId, index: TaskIndex, attempt: Attempt) => `${job}/${index}@${attempt}`;

/** Whether the first message of a worker is newer than the second. */
export const newer = (a: { session: number; seq: number }, b: { session: number; seq: number }) =>
  a.session > b.session || (a.session === b.session && a.seq > b.seq);

/** A worker waits so long for an answer before it turns to the next controller. */
export const ANSWER_WAIT_MS = 4000;

/**
 * Takes in a report. False if an equally new or newer one is known. Hearing a machine does not show that it hears:
 * one that gets an answer reports here again soon, one that gets none waits for it in vain and tries the others first.
 */
export function takeReport(
  mem: MachineMemory,
  report: Report,
  now: MonotonicMs,
  posted: boolean,
  reportMs: number,
): boolean {
  let gap = false;
  if (posted && (mem.posted === null || newer(report, mem.posted))) {
    mem.posted = { session: report.session, seq: report.seq };
    const soon = Math.max(ANSWER_WAIT_MS, reportMs * 1.25) + 500;
    gap = mem.postedAt !== null && now - mem.postedAt > soon;
    if (gap || mem.steadySince === null) mem.steadySince = now;
    mem.postedAt = now;
  }
  if (mem.report !== null && !newer(report, mem.report)) return false;
  // Under an older token it is a late copy, or its worker has not got this owner's answers; after a gap the next one
  // will tell. Neither is a sign of life.
  if (mem.report === null || !posted || (report.token === mem.token && !gap)) mem.heardAt = now;
  mem.report = report;
  mem.firstAt ??= now;
  for (const t of report.tasks) mem.seen.add(taskKey(t.job, t.index, t.attempt));
  return true;
}

/** What should be on machines, by the records. */
export interface Wanted {
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  readonly ledger: Ledger;
}

/** Why a task should not be on its machine. */
export type Unwanted = 'over' | 'cancelled' | 'task_done' | 'stopping' | 'gang_broken';

/** Null if the task should be on its machine, else why not. */
export function unwanted(p: Placed, index: TaskIndex, w: Wanted): Unwanted | null {
  const job = w.jobs.get(p.job);
  if (job === undefined) return 'over';
  if (job.phase === 'cancelling') return 'cancelled';
  if (isDone(job.done, index)) return 'task_done';
  const placement = w.ledger.jobs.get(p.job);
  if (p.kind === 'gang') {
    // One attempt of a gang is on its machines as a whole or must go: what is left of it would only wait.
    if ((placement?.perAttempt.get(p.attempt) ?? 0) < job.spec.tasks) return 'gang_broken';
    if ((placement?.stopping ?? 0) > 0) return 'stopping';
  }
  return p.stop === true ? 'stopping' : null;
}

/** Time a task is given to save: enough for the slowest save, none for work nobody needs. */
function graceFor(job: JobRecord | undefined, why: Unwanted): number {
  if (why !== 'stopping' || job === undefined || job.spec.checkpointS <= 0) return 0;
  return job.spec.saveS * 2 + 2;
}

/** A task that has left its machine. */
export interface Exit {
  readonly placed: Placed;
  readonly index: TaskIndex;
  /** Null: the machine does not know the task and never will. */
  readonly why: ExitReason | null;
}

const index = (report: Report): Map<string, ReportedTask> =>
  new Map(report.tasks.map((t) => [taskKey(t.job, t.index, t.attempt), t]));

/** The tasks that the newest report proves to be gone. Nothing is proved before the token was seen. */
export function exits(record: MachineRecord, mem: MachineMemory, w: Wanted): Exit[] {
  if (mem.report?.token !== mem.token) return [];
  const { report } = mem;
  const listed = index(report);
  const out: Exit[] = [];
  for (const placed of record.placed) {
    for (const i of placed.tasks) {
      const k = taskKey(placed.job, i, placed.attempt);
      // Its start may still be on its way. That goes for a task reported as ended, too: one whose gang was incomplete is
      // started once more under its attempt, by the answer to the very report that tells of its end.
      const start = mem.started.get(k);
      if (start !== undefined && (mem.posted === null || !newer(mem.posted, start))) continue;
      const t = listed.get(k);
      if (t !== undefined) {
        // Its gang never started, and the others still fetch their image: it only has to wait anew.
        if (t.exitReason === 'incomplete' && unwanted(placed, i, w) === null) continue;
        if (t.state === 'exited') out.push({ placed, index: i, why: t.exitReason ?? 'error' });
        continue;
      }
      // Its worker has lost its lease since and forgotten the exit; the task is gone all the more.
      const left = mem.left.get(k);
      if (left !== undefined) {
        out.push({ placed, index: i, why: left.why });
        continue;
      }
      // A wanted task that is absent is simply started (again); one of a gang that was there before has
      // been lost, and the gang with it.
      const lost = placed.kind === 'gang' && mem.seen.has(k);
      if (lost || unwanted(placed, i, w) !== null) out.push({ placed, index: i, why: null });
    }
  }
  return out;
}

/** The answer to the newest report. `start` is false where this controller may only stop things. */
export function commands(
  record: MachineRecord,
  mem: MachineMemory,
  w: Wanted,
  now: MonotonicMs,
  start: boolean,
): Command[] {
  const { report } = mem;
  if (report === null) return [];
  const listed = index(report);
  const known = new Map<string, { placed: Placed; index: TaskIndex }>();
  for (const placed of record.placed)
    for (const i of placed.tasks) known.set(taskKey(placed.job, i, placed.attempt), { placed, index: i });
  const out: Command[] = [];
  for (const [k, t] of listed) {
    const mine = known.get(k);
    const at = { job: t.job, index: t.index, attempt: t.attempt };
    if (t.state === 'exited') {
      // The record's entry goes in one commit with the result, so its absence says the result is durable.
      if (mine === undefined) out.push({ op: 'forget', ...at });
      else if (start && t.exitReason === 'incomplete' && unwanted(mine.placed, mine.index, w) === null) {
        // Forgotten, the attempt can be started once more; the gang is completed under the number that it has.
        // A new attempt instead would give up every fetch that takes longer than a task may wait.
        mem.started.set(k, { session: report.session, seq: report.seq });
        mem.seen.delete(k);
        out.push({ op: 'forget', ...at }, { op: 'start', ...at });
      }
      continue;
    }
    const why: Unwanted | null = mine === undefined ? 'over' : unwanted(mine.placed, mine.index, w);
    if (why === null) continue;
    const job = w.jobs.get(t.job);
    const graceS = graceFor(job, why);
    const before = mem.stopped.get(k);
    if (before === undefined) mem.stopped.set(k, now);
    // A task that is saving must not be told twice with a grace; one whose time is up is ended.
    if (t.state === 'saving' && graceS > 0 && now - (before ?? now) < graceS * 1000) continue;
    out.push({ op: 'stop', ...at, graceS: t.state === 'saving' ? 0 : graceS });
  }
  if (!start) return out;
  // A record may say too much: entries of tasks that are done stay in it for a while, and their room is used again.
  // So only as much is started as there is room for beside what is known to be there.
  const alive = (k: string) => listed.get(k)?.state !== 'exited' && listed.has(k);
  let room = w.ledger.free.get(record.name) ?? NO_RESOURCES;
  for (const [k, { placed }] of known) if (!alive(k)) room = addResources(room, placed.demand);
  for (const [k, { placed, index: i }] of known) {
    if (listed.has(k) || mem.left.has(k) || unwanted(placed, i, w) !== null) continue;
    if (placed.kind === 'gang' && mem.seen.has(k)) continue;
    if (!fitsWithin(placed.demand, room)) continue;
    room = addResources(room, placed.demand, -1);
    mem.started.set(k, { session: report.session, seq: report.seq });
    out.push({ op: 'start', job: placed.job, index: i, attempt: placed.attempt });
  }
  return out;
}

/** The record without the given tasks. */
export function without(placed: readonly Placed[], gone: readonly Exit[]): Placed[] {
  const keys = new Set(gone.map((g) => taskKey(g.placed.job, g.index, g.placed.attempt)));
  const out: Placed[] = [];
  for (const p of placed) {
    const tasks = p.tasks.filter((i) => !keys.has(taskKey(p.job, i, p.attempt)));
    if (tasks.length === p.tasks.length) out.push(p);
    else if (tasks.length > 0) out.push({ ...p, tasks });
  }
  return out;
}
