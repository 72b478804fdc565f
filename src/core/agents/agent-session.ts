/**
 * What a machine's owner may conclude from a worker's report, and what it tells the worker.
 *
 * A task leaves a machine's record only on proof. Commands go out in answers to reports: a worker has one
 * report in flight and drops late answers, so a report newer than the one whose answer carried a start shows
 * for certain whether that start was carried out. Stops may also be sent directly: they name one attempt,
 * and attempts are never used twice, so a late stop harms nobody. A start is never sent directly.
 */
import { isDone } from '../jobs/done-tasks.js';
import type { AllocationTotals } from '../state/allocation-totals.js';
import type { AgentCommand, ExitReason, Heartbeat, HeartbeatId, ReportedTask } from '../model/heartbeats.js';
import type { Attempt, JobId, TaskIndex, FencingToken } from '../model/ids.js';
import type { JobRecord } from '../model/jobs.js';
import type { MachineRecord, Allocation } from '../model/machines.js';
import { NO_RESOURCES, fitsWithin, addResources } from '../model/resources.js';
import type { MonotonicMs } from '../model/time.js';

/** What the present owner remembers of a machine under one token. All of it may be lost at any time. */
export interface AgentSession {
  readonly token: FencingToken;
  heartbeat: Heartbeat | null;
  /**
   * The newest report that the worker sent by itself. An answer to a direct command may be newer and still
   * precede the answer to a report in flight, so only this one shows what became of a start.
   */
  lastPushed: HeartbeatId | null;
  /** When the newest of those came. */
  lastPushedAt: MonotonicMs | null;
  /** Since when they have come without a gap. */
  uninterruptedSince: MonotonicMs | null;
  /** When the machine last showed that it is there and hears its owner, or when this owner took over. */
  lastContactAt: MonotonicMs;
  /** When this owner first got a report. */
  firstHeartbeatAt: MonotonicMs | null;
  /** The report whose answer carried a start, by task. */
  readonly startSentIn: Map<string, HeartbeatId>;
  /** Tasks that were seen on the machine. */
  readonly observedTasks: Set<string>;
  /** When a task was last told to stop. */
  readonly stopRequestedAt: Map<string, MonotonicMs>;
  /** Tasks known to be gone: since when and why. */
  readonly exitedTasks: Map<string, { exitedAt: MonotonicMs; why: ExitReason | null }>;
}

/** Nothing is known of a machine yet under this token. */
export const newAgentSession = (token: FencingToken, now: MonotonicMs): AgentSession => ({
  token,
  heartbeat: null,
  lastPushed: null,
  lastPushedAt: null,
  uninterruptedSince: null,
  lastContactAt: now,
  firstHeartbeatAt: null,
  startSentIn: new Map(),
  observedTasks: new Set(),
  stopRequestedAt: new Map(),
  exitedTasks: new Map(),
});

/** Names one start of a task. */
export const taskKey = (job: JobId, index: TaskIndex, attempt: Attempt) => `${job}/${index}@${attempt}`;

/** Whether the first message of a worker is newer than the second. */
export const isNewer = (a: HeartbeatId, b: HeartbeatId) =>
  a.agentEpoch > b.agentEpoch || (a.agentEpoch === b.agentEpoch && a.sequence > b.sequence);

/** A worker waits so long for an answer before it turns to the next controller. */
export const AGENT_ANSWER_TIMEOUT_MS = 4000;

/**
 * Takes in a report. False if an equally new or newer one is known. Hearing a machine does not show that it hears:
 * one that gets an answer reports here again soon, one that gets none waits for it in vain and tries the others first.
 */
export function recordHeartbeat(
  session: AgentSession,
  heartbeat: Heartbeat,
  now: MonotonicMs,
  posted: boolean,
  reportMs: number,
): boolean {
  let gap = false;
  if (posted && (session.lastPushed === null || isNewer(heartbeat, session.lastPushed))) {
    session.lastPushed = { agentEpoch: heartbeat.agentEpoch, sequence: heartbeat.sequence };
    const soon = Math.max(AGENT_ANSWER_TIMEOUT_MS, reportMs * 1.25) + 500;
    gap = session.lastPushedAt !== null && now - session.lastPushedAt > soon;
    if (gap || session.uninterruptedSince === null) session.uninterruptedSince = now;
    session.lastPushedAt = now;
  }
  if (session.heartbeat !== null && !isNewer(heartbeat, session.heartbeat)) return false;
  // Under an older token it is a late copy, or its worker has not got this owner's answers; after a gap the next one
  // will tell. Neither is a sign of life.
  if (session.heartbeat === null || !posted || (heartbeat.token === session.token && !gap))
    session.lastContactAt = now;
  session.heartbeat = heartbeat;
  session.firstHeartbeatAt ??= now;
  for (const t of heartbeat.tasks) session.observedTasks.add(taskKey(t.job, t.index, t.attempt));
  return true;
}

/** What should be on machines, by the records. */
export interface DesiredState {
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  readonly totals: AllocationTotals;
}

/** Why a task should not be on its machine. */
export type StopReason = 'over' | 'cancelled' | 'task_done' | 'stopping' | 'gang_broken';

/** Null if the task should be on its machine, else why not. */
export function stopReasonFor(p: Allocation, index: TaskIndex, w: DesiredState): StopReason | null {
  const job = w.jobs.get(p.job);
  if (job === undefined) return 'over';
  if (job.phase === 'cancelling') return 'cancelled';
  if (isDone(job.done, index)) return 'task_done';
  const placement = w.totals.jobs.get(p.job);
  if (p.kind === 'gang') {
    // One attempt of a gang is on its machines as a whole or must go: what is left of it would only wait.
    if ((placement?.tasksPerAttempt.get(p.attempt) ?? 0) < job.spec.tasks) return 'gang_broken';
    if ((placement?.stoppingAllocations ?? 0) > 0) return 'stopping';
  }
  return p.stop === true ? 'stopping' : null;
}

/** Time a task is given to save: enough for the slowest save, none for work nobody needs. */
function gracePeriodFor(job: JobRecord | undefined, why: StopReason): number {
  if (why !== 'stopping' || job === undefined || job.spec.checkpointS <= 0) return 0;
  return job.spec.saveS * 2 + 2;
}

/** A task that has left its machine. */
export interface TaskExit {
  readonly placed: Allocation;
  readonly index: TaskIndex;
  /** Null: the machine does not know the task and never will. */
  readonly reason: ExitReason | null;
}

const tasksByKey = (heartbeat: Heartbeat): Map<string, ReportedTask> =>
  new Map(heartbeat.tasks.map((t) => [taskKey(t.job, t.index, t.attempt), t]));

/** The tasks that the newest report proves to be gone. Nothing is proved before the token was seen. */
export function confirmedExits(record: MachineRecord, session: AgentSession, w: DesiredState): TaskExit[] {
  if (session.heartbeat?.token !== session.token) return [];
  const { heartbeat } = session;
  const listed = tasksByKey(heartbeat);
  const out: TaskExit[] = [];
  for (const placed of record.placed) {
    for (const i of placed.tasks) {
      const k = taskKey(placed.job, i, placed.attempt);
      // Its start may still be on its way. That goes for a task reported as ended, too: one whose gang was incomplete is
      // started once more under its attempt, by the answer to the very report that tells of its end.
      const start = session.startSentIn.get(k);
      if (start !== undefined && (session.lastPushed === null || !isNewer(session.lastPushed, start)))
        continue;
      const t = listed.get(k);
      if (t !== undefined) {
        // Its gang never started, and the others still fetch their image: it only has to wait anew.
        if (t.exitReason === 'incomplete' && stopReasonFor(placed, i, w) === null) continue;
        if (t.state === 'exited') out.push({ placed, index: i, reason: t.exitReason ?? 'error' });
        continue;
      }
      // Its worker has lost its lease since and forgotten the exit; the task is gone all the more.
      const left = session.exitedTasks.get(k);
      if (left !== undefined) {
        out.push({ placed, index: i, reason: left.why });
        continue;
      }
      // A wanted task that is absent is simply started (again); one of a gang that was there before has
      // been lost, and the gang with it.
      const lost = placed.kind === 'gang' && session.observedTasks.has(k);
      if (lost || stopReasonFor(placed, i, w) !== null) out.push({ placed, index: i, reason: null });
    }
  }
  return out;
}

/** The answer to the newest report. `start` is false where this controller may only stop things. */
export function agentCommands(
  record: MachineRecord,
  session: AgentSession,
  w: DesiredState,
  now: MonotonicMs,
  start: boolean,
): AgentCommand[] {
  const { heartbeat } = session;
  if (heartbeat === null) return [];
  const listed = tasksByKey(heartbeat);
  const known = new Map<string, { placed: Allocation; index: TaskIndex }>();
  for (const placed of record.placed)
    for (const i of placed.tasks) known.set(taskKey(placed.job, i, placed.attempt), { placed, index: i });
  const out: AgentCommand[] = [];
  for (const [k, t] of listed) {
    const mine = known.get(k);
    const at = { job: t.job, index: t.index, attempt: t.attempt };
    if (t.state === 'exited') {
      // The record's entry goes in one commit with the result, so its absence says the result is durable.
      if (mine === undefined) out.push({ op: 'forget', ...at });
      else if (start && t.exitReason === 'incomplete' && stopReasonFor(mine.placed, mine.index, w) === null) {
        // Forgotten, the attempt can be started once more; the gang is completed under the number that it has.
        // A new attempt instead would give up every fetch that takes longer than a task may wait.
        session.startSentIn.set(k, { agentEpoch: heartbeat.agentEpoch, sequence: heartbeat.sequence });
        session.observedTasks.delete(k);
        out.push({ op: 'forget', ...at }, { op: 'start', ...at });
      }
      continue;
    }
    const why: StopReason | null = mine === undefined ? 'over' : stopReasonFor(mine.placed, mine.index, w);
    if (why === null) continue;
    const job = w.jobs.get(t.job);
    const graceS = gracePeriodFor(job, why);
    const before = session.stopRequestedAt.get(k);
    if (before === undefined) session.stopRequestedAt.set(k, now);
    // A task that is saving must not be told twice with a grace; one whose time is up is ended.
    if (t.state === 'saving' && graceS > 0 && now - (before ?? now) < graceS * 1000) continue;
    out.push({ op: 'stop', ...at, gracePeriodS: t.state === 'saving' ? 0 : graceS });
  }
  if (!start) return out;
  // A record may say too much: entries of tasks that are done stay in it for a while, and their room is used again.
  // So only as much is started as there is room for beside what is known to be there.
  const alive = (k: string) => listed.get(k)?.state !== 'exited' && listed.has(k);
  let room = w.totals.freeByMachine.get(record.name) ?? NO_RESOURCES;
  for (const [k, { placed }] of known) if (!alive(k)) room = addResources(room, placed.demand);
  for (const [k, { placed, index: i }] of known) {
    if (listed.has(k) || session.exitedTasks.has(k) || stopReasonFor(placed, i, w) !== null) continue;
    if (placed.kind === 'gang' && session.observedTasks.has(k)) continue;
    if (!fitsWithin(placed.demand, room)) continue;
    room = addResources(room, placed.demand, -1);
    session.startSentIn.set(k, { agentEpoch: heartbeat.agentEpoch, sequence: heartbeat.sequence });
    out.push({ op: 'start', job: placed.job, index: i, attempt: placed.attempt });
  }
  return out;
}

/** The record without the given tasks. */
export function removeExits(placed: readonly Allocation[], gone: readonly TaskExit[]): Allocation[] {
  const keys = new Set(gone.map((g) => taskKey(g.placed.job, g.index, g.placed.attempt)));
  const out: Allocation[] = [];
  for (const p of placed) {
    const tasks = p.tasks.filter((i) => !keys.has(taskKey(p.job, i, p.attempt)));
    if (tasks.length === p.tasks.length) out.push(p);
    else if (tasks.length > 0) out.push({ ...p, tasks });
  }
  return out;
}
