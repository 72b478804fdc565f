// What a machine's owner may conclude from a worker's report, and what it tells the worker.
//
// A task leaves a machine's record only on proof. Commands go out in answers to reports: a worker has one
// report in flight and drops late answers, so a report newer than the one whose answer carried a start shows
// for certain whether that start was carried out. Stops may also be sent directly: they name one attempt,
// and attempts are never used twice, so a late stop harms nobody. A start is never sent directly.
import { isDone } from './jobs.js';
import type { Ledger } from './ledger.js';
import type {
  Attempt,
  Command,
  ExitWhy,
  JobId,
  JobRecord,
  MachineRecord,
  Placed,
  Report,
  ReportedTask,
  Steady,
  TaskIndex,
  Token,
} from './types.js';

/** What the present owner remembers of a machine under one token. All of it may be lost at any time. */
export interface MachineMemory {
  readonly token: Token;
  report: Report | null;
  /**
   * The newest report that the worker sent by itself. An answer to a direct command may be newer and still
   * precede the answer to a report in flight, so only this one shows what became of a start.
   */
  posted: { session: number; seq: number } | null;
  /** When the newest report came, or when this owner took over. */
  heardAt: Steady;
  /** The report whose answer carried a start, by task. */
  readonly started: Map<string, { session: number; seq: number }>;
  /** Tasks that were seen on the machine. */
  readonly seen: Set<string>;
  /** When a task was last told to stop. */
  readonly stopped: Map<string, Steady>;
}

export const newMemory = (token: Token, now: Steady): MachineMemory => ({
  token,
  report: null,
  posted: null,
  heardAt: now,
  started: new Map(),
  seen: new Set(),
  stopped: new Map(),
});

export const taskKey = (job: JobId, index: TaskIndex, attempt: Attempt) => `${job}/${index}@${attempt}`;

export const newer = (a: { session: number; seq: number }, b: { session: number; seq: number }) =>
  a.session > b.session || (a.session === b.session && a.seq > b.seq);

/** Takes in a report. False if an equally new or newer one is known. */
export function takeReport(mem: MachineMemory, report: Report, now: Steady, posted: boolean): boolean {
  if (posted && (mem.posted === null || newer(report, mem.posted)))
    mem.posted = { session: report.session, seq: report.seq };
  if (mem.report !== null && !newer(report, mem.report)) return false;
  mem.report = report;
  mem.heardAt = now;
  for (const t of report.tasks) mem.seen.add(taskKey(t.job, t.index, t.attempt));
  return true;
}

export interface Wanted {
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  readonly ledger: Ledger;
}

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

export interface Exit {
  readonly placed: Placed;
  readonly index: TaskIndex;
  /** Null: the machine does not know the task and never will. */
  readonly why: ExitWhy | null;
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
      const t = listed.get(k);
      if (t !== undefined) {
        if (t.state === 'exited') out.push({ placed, index: i, why: t.why ?? 'error' });
        continue;
      }
      const start = mem.started.get(k);
      if (start !== undefined && (mem.posted === null || !newer(mem.posted, start))) continue;
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
  now: Steady,
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
  for (const [k, { placed, index: i }] of known) {
    if (listed.has(k) || unwanted(placed, i, w) !== null) continue;
    if (placed.kind === 'gang' && mem.seen.has(k)) continue;
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
