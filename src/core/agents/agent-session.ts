/** What a machine's owner remembers of its agent under one fencing token, and how a heartbeat updates it. */
import type { ExitReason, Heartbeat, HeartbeatId } from '../model/heartbeats.js';
import type { FencingToken } from '../model/ids.js';
import type { MonotonicMs } from '../model/time.js';
import { maxUnansweredHeartbeatGapMs } from './agent-timing.js';
import { taskKey } from './task-key.js';

/** Why and since when a task is known to have left its machine. */
export interface ExitedTask {
  readonly exitedAt: MonotonicMs;
  /** Null: the machine does not know the task. */
  readonly reason: ExitReason | null;
}

/** State of the present owner about one machine under one token. Losing it costs time, never correctness. */
export interface AgentSession {
  readonly token: FencingToken;
  /** The newest heartbeat, whether the agent pushed it or answered a direct command with it. */
  heartbeat: Heartbeat | null;
  /**
   * The newest heartbeat that the agent pushed. An answer to a direct command may be newer and still precede the answer
   * to a heartbeat in flight, so that only a pushed one shows what became of a start.
   */
  lastPushed: HeartbeatId | null;
  /** When the newest pushed heartbeat arrived. */
  lastPushedAt: MonotonicMs | null;
  /** Since when pushed heartbeats have arrived without a gap. */
  uninterruptedSince: MonotonicMs | null;
  /** When the machine last showed that it runs and receives its owner's answers, or when this owner took over. */
  lastContactAt: MonotonicMs;
  /** When this owner got the first heartbeat. */
  firstHeartbeatAt: MonotonicMs | null;
  /** The heartbeat whose answer carried the start command, by task key. */
  readonly startSentIn: Map<string, HeartbeatId>;
  /** Keys of tasks that heartbeats have listed. */
  readonly observedTasks: Set<string>;
  /** When a task was first commanded to stop, by task key. */
  readonly stopRequestedAt: Map<string, MonotonicMs>;
  /** Tasks known to have left the machine, by task key. */
  readonly exitedTasks: Map<string, ExitedTask>;
}

/** How a heartbeat arrived. */
export interface HeartbeatArrival {
  readonly now: MonotonicMs;
  /** The agent pushed it; false: it answers a direct command. */
  readonly isPushed: boolean;
  /** Configured interval of heartbeats. */
  readonly heartbeatIntervalMs: number;
}

/** A session in which no heartbeat has arrived yet. */
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

/** Whether a heartbeat of an agent is newer than another one of the same agent. */
export const isNewer = (heartbeat: HeartbeatId, other: HeartbeatId): boolean =>
  heartbeat.agentEpoch > other.agentEpoch ||
  (heartbeat.agentEpoch === other.agentEpoch && heartbeat.sequence > other.sequence);

/** The position of a heartbeat in its agent's order, without its status. */
export const heartbeatIdOf = ({ agentEpoch, sequence }: HeartbeatId): HeartbeatId => ({
  agentEpoch,
  sequence,
});

/** Updates the session with a heartbeat. Returns false if an equally new or newer one is known. */
export function recordHeartbeat(
  session: AgentSession,
  heartbeat: Heartbeat,
  arrival: HeartbeatArrival,
): boolean {
  const { now, isPushed } = arrival;
  const isAfterGap = isPushed && recordPush(session, heartbeat, arrival);
  if (session.heartbeat !== null && !isNewer(heartbeat, session.heartbeat)) return false;
  if (showsContact(session, heartbeat, { isPushed, isAfterGap })) session.lastContactAt = now;
  session.heartbeat = heartbeat;
  session.firstHeartbeatAt ??= now;
  for (const task of heartbeat.tasks) session.observedTasks.add(taskKey(task.job, task.index, task.attempt));
  return true;
}

/** Returns whether a gap precedes the pushed heartbeat. */
function recordPush(
  session: AgentSession,
  heartbeat: Heartbeat,
  { now, heartbeatIntervalMs }: HeartbeatArrival,
): boolean {
  if (session.lastPushed !== null && !isNewer(heartbeat, session.lastPushed)) return false;
  const maxGapMs = maxUnansweredHeartbeatGapMs(heartbeatIntervalMs);
  const isAfterGap = session.lastPushedAt !== null && now - session.lastPushedAt > maxGapMs;
  if (isAfterGap || session.uninterruptedSince === null) session.uninterruptedSince = now;
  session.lastPushed = heartbeatIdOf(heartbeat);
  session.lastPushedAt = now;
  return isAfterGap;
}

/**
 * Whether the heartbeat shows that the agent receives its owner's answers. A pushed one under an older token is a late
 * copy, or its agent has not got this owner's answers; after a gap only the next one tells whether it does.
 */
function showsContact(
  session: AgentSession,
  heartbeat: Heartbeat,
  { isPushed, isAfterGap }: { readonly isPushed: boolean; readonly isAfterGap: boolean },
): boolean {
  if (session.heartbeat === null || !isPushed) return true;
  return heartbeat.token === session.token && !isAfterGap;
}
