/** Timing of node agents, from which controllers conclude what silence and gaps between heartbeats mean. */

/** Time that an agent waits for the answer to a heartbeat before it changes to the next controller. */
export const AGENT_ANSWER_TIMEOUT_MS = 4000;

/** Pause of an agent after a heartbeat without an answer, before it sends one to the next controller. */
export const AGENT_FAILOVER_PAUSE_MS = 1000;

/** Largest ratio of an actual to the configured heartbeat interval: agents vary the interval by up to a quarter. */
export const MAX_HEARTBEAT_JITTER = 1.25;

/** Allowance for network delays and busy processes between two heartbeats. */
export const HEARTBEAT_SLACK_MS = 500;

/**
 * Time after which an agent executes no copy of an answer any more: it drops answers that arrive later than
 * `AGENT_ANSWER_TIMEOUT_MS` after the heartbeat.
 */
export const MAX_ANSWER_AGE_MS = AGENT_ANSWER_TIMEOUT_MS + HEARTBEAT_SLACK_MS;

/** Longest time in milliseconds between two heartbeats of an agent that receives its answers in time. */
export const maxHeartbeatGapMs = (intervalMs: number): number =>
  intervalMs * MAX_HEARTBEAT_JITTER + HEARTBEAT_SLACK_MS;

/** Longest time in milliseconds between two heartbeats of an agent if the answer to the first may have been lost. */
export const maxUnansweredHeartbeatGapMs = (intervalMs: number): number =>
  Math.max(AGENT_ANSWER_TIMEOUT_MS, intervalMs * MAX_HEARTBEAT_JITTER) + HEARTBEAT_SLACK_MS;
