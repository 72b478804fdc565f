/** The state that a machine's owner keeps about its agent under one fencing token, and its update by heartbeats. */
import type { ExitReason, Heartbeat, HeartbeatId } from '../model/heartbeats.js';
import type { FencingToken } from '../model/ids.js';
import type { MonotonicMs } from '../model/time.js';
import { maxUnansweredHeartbeatGapMs } from './agent-timing.js';
import { taskKey } from './task-key.js';

/** A task that is known to have left its machine. */
export interface ExitedTask {
  /** When the owner learned of the exit. */
  readonly exitedAt: MonotonicMs;
  /** Why the task exited; null if the agent does not know the task. */
  readonly reason: ExitReason | null;
}

/** The latest start command for an attempt of a task. */
export interface SentStart {
  /** The heartbeat whose answer carried the command. */
  readonly heartbeat: HeartbeatId;
  readonly sentAt: MonotonicMs;
  /** Whether the same answer told the agent to forget an earlier run of the attempt. */
  readonly followsForget: boolean;
}

/**
 * State that the present owner keeps in memory about one machine's agent under one fencing token. Losing it delays
 * decisions, but causes no wrong ones.
 */
export interface AgentSession {
  readonly token: FencingToken;
  /** The newest heartbeat, pushed by the agent or sent as the answer to a direct command; null before the first. */
  heartbeat: Heartbeat | null;
  /**
   * The newest heartbeat that the agent pushed; null before the first. Only a pushed heartbeat shows whether a start
   * was carried out: an answer to a direct command may be newer, yet the agent may not have received the answer to its
   * heartbeat in flight, which carries the start.
   */
  lastPushedId: HeartbeatId | null;
  /** When the newest pushed heartbeat arrived; null before the first. */
  lastPushedAt: MonotonicMs | null;
  /** Time since which pushed heartbeats have arrived without a gap; null before the first. */
  uninterruptedSince: MonotonicMs | null;
  /** When the agent last showed that it receives its owner's answers; at first, when the session began. */
  lastContactAt: MonotonicMs;
  /** When the session's first heartbeat arrived; null before it. */
  firstHeartbeatAt: MonotonicMs | null;
  /** The latest start command for each task, by task key. */
  readonly sentStarts: Map<string, SentStart>;
  /** Keys of the tasks that the session's heartbeats have listed, without those that the agent was told to forget. */
  readonly observedTasks: Set<string>;
  /** When the first stop command for a task was sent, by task key. */
  readonly stopRequestedAt: Map<string, MonotonicMs>;
  /** Tasks known to have left the machine, by task key. */
  readonly exitedTasks: Map<string, ExitedTask>;
}

/** A session whose agent has shown the session's fencing token in its newest heartbeat. */
export type EstablishedSession = AgentSession & { readonly heartbeat: Heartbeat };

/** Whether the newest heartbeat of the agent has the session's fencing token: the agent has heard from this owner. */
export const hasShownToken = (session: AgentSession): session is EstablishedSession =>
  session.heartbeat?.token === session.token;

/** How a heartbeat arrived. */
export interface HeartbeatArrival {
  readonly now: MonotonicMs;
  /** Whether the agent pushed the heartbeat; otherwise it answers a direct command. */
  readonly isPushed: boolean;
  /** Configured heartbeat interval. */
  readonly heartbeatIntervalMs: number;
}

/** A session that begins at `now`, without a heartbeat yet. */
export const newAgentSession = (token: FencingToken, now: MonotonicMs): AgentSession => ({
  token,
  heartbeat: null,
  lastPushedId: null,
  lastPushedAt: null,
  uninterruptedSince: null,
  lastContactAt: now,
  firstHeartbeatAt: null,
  sentStarts: new Map(),
  observedTasks: new Set(),
  stopRequestedAt: new Map(),
  exitedTasks: new Map(),
});

/** Drops what the session knows of an attempt that has left the record and that the agent is told to forget. */
export function dropAttempt(session: AgentSession, key: string): void {
  session.sentStarts.delete(key);
  session.observedTasks.delete(key);
  session.stopRequestedAt.delete(key);
  session.exitedTasks.delete(key);
}

/** Whether a heartbeat of an agent is newer than another one of the same agent. */
export const isNewer = (heartbeat: HeartbeatId, other: HeartbeatId): boolean =>
  heartbeat.agentEpoch > other.agentEpoch ||
  (heartbeat.agentEpoch === other.agentEpoch && heartbeat.sequence > other.sequence);

/** The id of a heartbeat, without its status. */
export const heartbeatIdOf = ({ agentEpoch, sequence }: HeartbeatId): HeartbeatId => ({
  agentEpoch,
  sequence,
});

/** Updates the session with a heartbeat. Returns false if the session has an equally new or newer one already. */
export function recordHeartbeat(
  session: AgentSession,
  heartbeat: Heartbeat,
  arrival: HeartbeatArrival,
): boolean {
  const { now, isPushed } = arrival;
  const isAfterGap = isPushed && recordPushedHeartbeat(session, heartbeat, arrival);
  if (session.heartbeat !== null && !isNewer(heartbeat, session.heartbeat)) return false;
  if (showsContact(session, heartbeat, { isPushed, isAfterGap })) session.lastContactAt = now;
  session.heartbeat = heartbeat;
  session.firstHeartbeatAt ??= now;
  for (const task of heartbeat.tasks) session.observedTasks.add(taskKey(task.job, task.index, task.attempt));
  return true;
}

/** Updates the session's times of pushed heartbeats. Returns whether a gap precedes this one. */
function recordPushedHeartbeat(
  session: AgentSession,
  heartbeat: Heartbeat,
  { now, heartbeatIntervalMs }: HeartbeatArrival,
): boolean {
  if (session.lastPushedId !== null && !isNewer(heartbeat, session.lastPushedId)) return false;
  const maxGapMs = maxUnansweredHeartbeatGapMs(heartbeatIntervalMs);
  const isAfterGap = session.lastPushedAt !== null && now - session.lastPushedAt > maxGapMs;
  if (isAfterGap || session.uninterruptedSince === null) session.uninterruptedSince = now;
  session.lastPushedId = heartbeatIdOf(heartbeat);
  session.lastPushedAt = now;
  return isAfterGap;
}

/**
 * Whether the heartbeat shows that the agent receives its owner's answers. A pushed heartbeat under an older token does
 * not: it is a late copy, or its agent has not received an answer of this owner yet. The first pushed heartbeat after a
 * gap does not either; only the next one shows it.
 */
function showsContact(
  session: AgentSession,
  heartbeat: Heartbeat,
  { isPushed, isAfterGap }: { readonly isPushed: boolean; readonly isAfterGap: boolean },
): boolean {
  if (session.heartbeat === null || !isPushed) return true;
  return heartbeat.token === session.token && !isAfterGap;
}
