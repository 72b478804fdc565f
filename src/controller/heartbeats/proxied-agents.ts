/**
 * Decides which agents of other controllers' machines this controller answers as a proxy.
 *
 * An agent that a partition separates from its owner would lose its tasks with its lease. A controller with recent contact
 * to the state service answers in the owner's place, with the token of the machine's record and without starts. The token
 * keeps this safe: once another owner has shown the agent a higher one, the agent drops such an answer.
 */
import { maxHeartbeatGapMs } from '../../core/agents/agent-timing.js';
import type { Heartbeat } from '../../core/model/heartbeats.js';
import type { FencingToken, MachineName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import { monotonicMs, type MonotonicMs } from '../../core/model/time.js';
import type { ControllerContext } from '../controller-context.js';
import type { AgentTimestamps } from './agent-timestamps.js';
import { MAX_RETURN_MS, MIN_RETURN_MS } from './redirect-timing.js';
import type { TokenTracker } from './token-tracker.js';

/** Time until a proxied agent is first redirected to its owner again, in heartbeat intervals. */
const FIRST_PROXY_INTERVALS = 2;
/** The longest such time; it doubles each time the agent comes back. */
const MAX_PROXY_INTERVALS = 16;
/** An agent that receives answers is expected back within so many heartbeat intervals, and the slack below. */
const EXPIRY_INTERVALS = 2;
/** Allowance for an agent that tries its owner before it comes back. */
const EXPIRY_SLACK_MS = 6000;

/** An agent that this controller answers in its owner's place. */
interface ProxiedAgent {
  /** The owner's token; under another one proxying begins anew. */
  readonly token: FencingToken;
  /** Since when this controller answers the agent, or has redirected it to its owner and expects it back. */
  since: MonotonicMs;
  lastHeartbeatAt: MonotonicMs;
  /** It has come back soon after an answer: it receives this controller's answers. */
  receivesAnswers: boolean;
  /** How long it is answered before it is redirected to its owner again. */
  keepMs: number;
}

/** What the view shows about the holder of a machine's shard. */
export interface OwnerState {
  /** A controller with a session holds the shard. */
  readonly hasLiveOwner: boolean;
}

/** Owns the set of agents that are answered as a proxy. */
export class ProxiedAgents {
  private readonly agents = new Map<MachineName, ProxiedAgent>();
  private readonly heartbeatIntervalMs: number;

  constructor(
    private readonly context: ControllerContext,
    private readonly tokens: TokenTracker,
    /** When agents were redirected to their owners. */
    private readonly redirects: AgentTimestamps,
  ) {
    this.heartbeatIntervalMs = context.settings.workers.report_s * 1000;
  }

  /** Machines whose agents are answered here. */
  names(): Iterable<MachineName> {
    return this.agents.keys();
  }

  /** Whether the heartbeat is answered here; false: the agent is redirected to its owner. */
  shouldProxy(machine: MachineRecord, heartbeat: Heartbeat, { hasLiveOwner }: OwnerState): boolean {
    const { clock, view } = this.context;
    const now = clock.now();
    const token = view.fencingTokenOf(machine);
    if (heartbeat.token > token) return false;
    const agent = this.agentUnder(machine.name, token);
    if (agent === undefined) {
      if (hasLiveOwner && !this.isSeparatedFromOwner(heartbeat, token)) return false;
      this.begin(machine.name, token, now);
      return true;
    }
    agent.receivesAnswers ||= now - agent.lastHeartbeatAt < maxHeartbeatGapMs(this.heartbeatIntervalMs);
    agent.lastHeartbeatAt = now;
    if (!hasLiveOwner || now - agent.since < agent.keepMs) return true;
    // If the agent does not reach its owner now, it is kept for longer when it comes back.
    agent.since = monotonicMs(now + this.heartbeatIntervalMs);
    agent.keepMs = Math.min(agent.keepMs * 2, this.heartbeatIntervalMs * MAX_PROXY_INTERVALS);
    return false;
  }

  /** Forgets agents that have stopped sending heartbeats here, and those of machines that are gone or owned by now. */
  expire(): void {
    const { clock, ownership, view } = this.context;
    const expiryMs = this.heartbeatIntervalMs * EXPIRY_INTERVALS + EXPIRY_SLACK_MS;
    const maxGapMs = maxHeartbeatGapMs(this.heartbeatIntervalMs);
    for (const [name, agent] of [...this.agents]) {
      const machine = view.machines.get(name);
      const maxSilenceMs = agent.receivesAnswers ? expiryMs : maxGapMs;
      const isSilent = clock.now() - agent.lastHeartbeatAt > maxSilenceMs;
      if (machine === undefined || ownership.owns(machine) || isSilent) this.agents.delete(name);
    }
  }

  /** The machine's entry; one under an older token is dropped, so that the agent is sent to its new owner first. */
  private agentUnder(machine: MachineName, token: FencingToken): ProxiedAgent | undefined {
    const agent = this.agents.get(machine);
    if (agent?.token === token) return agent;
    this.agents.delete(machine);
    return undefined;
  }

  private begin(machine: MachineName, token: FencingToken, now: MonotonicMs): void {
    this.agents.set(machine, {
      token,
      since: now,
      lastHeartbeatAt: now,
      receivesAnswers: false,
      keepMs: this.heartbeatIntervalMs * FIRST_PROXY_INTERVALS,
    });
  }

  /**
   * Whether the agent has left its owner, or is back from a redirect to it. The latter may not have the present token:
   * its machine can have got a new owner during a partition. Any other agent is redirected first.
   */
  private isSeparatedFromOwner(heartbeat: Heartbeat, token: FencingToken): boolean {
    const { machine } = heartbeat;
    const awayMs = this.redirects.elapsedMs(machine, token);
    const hasReturned = awayMs >= MIN_RETURN_MS && awayMs <= MAX_RETURN_MS;
    if (hasReturned || this.tokens.hasLeftOwner(heartbeat, token)) {
      this.redirects.delete(machine);
      return true;
    }
    if (awayMs > MAX_RETURN_MS) this.redirects.record(machine, token);
    return false;
  }
}
