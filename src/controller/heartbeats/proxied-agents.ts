/**
 * Decides which agents of other controllers' machines this controller answers as a proxy.
 *
 * An agent that a network partition separates from its owner would lose its tasks with its lease. A controller with
 * recent contact with the state service answers in the owner's place, under the machine's present fencing token and
 * without start commands. The token keeps this safe: once a new owner has shown the agent a higher one, the agent is no
 * longer answered.
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

/** Heartbeat intervals for which an agent is proxied before it is first redirected to its owner again. */
const FIRST_PROXY_INTERVALS = 2;
/** Most heartbeat intervals for which an agent is proxied before a redirect; the number doubles with each redirect. */
const MAX_PROXY_INTERVALS = 16;
/** Heartbeat intervals of silence, plus `EXPIRY_SLACK_MS`, after which an agent that receives answers is removed. */
const EXPIRY_INTERVALS = 2;
/** Allowance in the expiry of a silent agent for trying its unreachable owner before it comes back. */
const EXPIRY_SLACK_MS = 6000;

/** An agent that this controller answers in its owner's place. */
interface ProxiedAgent {
  /** The machine's fencing token when proxying began; under another token the entry is void. */
  readonly token: FencingToken;
  /** Start of the present proxy period: the first heartbeat, or the expected return from the latest redirect. */
  proxyPeriodStart: MonotonicMs;
  lastHeartbeatAt: MonotonicMs;
  /** Whether one heartbeat has followed another without a gap: the agent receives this controller's answers. */
  receivesAnswers: boolean;
  /** How long the agent is answered before it is redirected to its owner again. */
  proxyPeriodMs: number;
}

/** What the view shows about the holder of a machine's shard. */
export interface OwnerState {
  /** Whether a controller with a session holds the shard. */
  readonly hasLiveOwner: boolean;
}

/** Manages the set of agents that this controller answers as a proxy. */
export class ProxiedAgents {
  private readonly agents = new Map<MachineName, ProxiedAgent>();
  private readonly heartbeatIntervalMs: number;

  constructor(
    private readonly context: ControllerContext,
    private readonly tokens: TokenTracker,
    /** Latest redirects of agents to their owners. */
    private readonly redirectTimes: AgentTimestamps,
  ) {
    this.heartbeatIntervalMs = context.settings.agentTimings.report_s * 1000;
  }

  /** Names of the machines whose agents this controller answers as a proxy. */
  machineNames(): Iterable<MachineName> {
    return this.agents.keys();
  }

  /**
   * Whether this controller answers the heartbeat as a proxy; if not, the agent is to be redirected to its owner. The agent
   * must not have seen a higher token than the machine's present one.
   */
  shouldProxy(machine: MachineRecord, heartbeat: Heartbeat, { hasLiveOwner }: OwnerState): boolean {
    const { clock, view } = this.context;
    const now = clock.now();
    const token = view.fencingTokenOf(machine);
    const agent = this.agentForToken(machine.name, token);
    if (agent === undefined) {
      if (hasLiveOwner && !this.isSeparatedFromOwner(heartbeat, token)) return false;
      this.startProxying(machine.name, token, now);
      return true;
    }
    agent.receivesAnswers ||= now - agent.lastHeartbeatAt < maxHeartbeatGapMs(this.heartbeatIntervalMs);
    agent.lastHeartbeatAt = now;
    if (!hasLiveOwner || now - agent.proxyPeriodStart < agent.proxyPeriodMs) return true;
    // An agent that comes back because it does not reach its owner is then proxied for longer.
    agent.proxyPeriodStart = monotonicMs(now + this.heartbeatIntervalMs);
    agent.proxyPeriodMs = Math.min(agent.proxyPeriodMs * 2, this.heartbeatIntervalMs * MAX_PROXY_INTERVALS);
    return false;
  }

  /** Removes agents that no longer send heartbeats here, and agents of machines that were removed or are now owned. */
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

  /** The machine's entry under this token. Any other entry is removed, so that the agent tries its new owner first. */
  private agentForToken(machine: MachineName, token: FencingToken): ProxiedAgent | undefined {
    const agent = this.agents.get(machine);
    if (agent?.token === token) return agent;
    this.agents.delete(machine);
    return undefined;
  }

  private startProxying(machine: MachineName, token: FencingToken, now: MonotonicMs): void {
    this.agents.set(machine, {
      token,
      proxyPeriodStart: now,
      lastHeartbeatAt: now,
      receivesAnswers: false,
      proxyPeriodMs: this.heartbeatIntervalMs * FIRST_PROXY_INTERVALS,
    });
  }

  /**
   * Whether the agent cannot reach its owner: it is back from a redirect to the owner, or has left the owner by itself.
   * An agent that is back may not have the present token, since its machine can get a new owner during a partition. Any
   * other agent is redirected to its owner first.
   */
  private isSeparatedFromOwner(heartbeat: Heartbeat, token: FencingToken): boolean {
    const { machine } = heartbeat;
    const sinceRedirectMs = this.redirectTimes.elapsedMs(machine, token);
    const hasReturned = sinceRedirectMs >= MIN_RETURN_MS && sinceRedirectMs <= MAX_RETURN_MS;
    if (hasReturned || this.tokens.hasLeftOwner(heartbeat, token)) {
      this.redirectTimes.delete(machine);
      return true;
    }
    if (sinceRedirectMs > MAX_RETURN_MS) this.redirectTimes.record(machine, token);
    return false;
  }
}
