/** Timing of node agents that controllers rely on when they judge silence and gaps between heartbeats. */

/** Time that an agent waits for the answer to a heartbeat before it turns to the next controller. */
export const AGENT_ANSWER_TIMEOUT_MS = 4000;

/** Pause of an agent between a heartbeat without an answer and the one to the next controller. */
export const AGENT_FAILOVER_PAUSE_MS = 1000;

/** Agents send heartbeats at the configured interval, give or take a quarter of it. */
export const MAX_HEARTBEAT_JITTER = 1.25;

/** Allowance for delays of the network and of busy processes between two heartbeats. */
export const HEARTBEAT_SLACK_MS = 500;

/** Longest time between two heartbeats of an agent that gets its answers in time. */
export const maxHeartbeatGapMs = (intervalMs: number): number =>
  intervalMs * MAX_HEARTBEAT_JITTER + HEARTBEAT_SLACK_MS;

/** As `maxHeartbeatGapMs`, where one answer may have been lost. */
export const maxUnansweredHeartbeatGapMs = (intervalMs: number): number =>
  Math.max(AGENT_ANSWER_TIMEOUT_MS, intervalMs * MAX_HEARTBEAT_JITTER) + HEARTBEAT_SLACK_MS;
