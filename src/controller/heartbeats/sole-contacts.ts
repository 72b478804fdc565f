/**
 * Finds the agents that reach no other controller, while this controller reaches neither the state service nor its peers.
 *
 * Without the state service, this controller cannot know whether an agent's machine has a new owner. It redirects its
 * agents, before their leases expire, to a controller that can act for them. If no other controller answers this one
 * either, its zone may be partitioned from the others, and an agent that reaches no other controller would lose its
 * tasks with its lease. Such an agent is answered without commands. The fencing token keeps this safe, as it does for
 * proxies: an agent that has seen a higher token is not answered.
 */
import { AGENT_FAILOVER_PAUSE_MS, HEARTBEAT_SLACK_MS } from '../../core/agents/agent-timing.js';
import type { Heartbeat } from '../../core/model/heartbeats.js';
import type { FencingToken, MachineName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { ControllerContext } from '../controller-context.js';
import { AgentTimestamps } from './agent-timestamps.js';
import { MAX_RETURN_MS } from './redirect-timing.js';
import type { TokenTracker } from './token-tracker.js';

/** Decides which agents this controller answers while it is isolated. */
export class SoleContacts {
  /** Times at which agents were found to reach no other controller. */
  private readonly foundTimes: AgentTimestamps;

  constructor(
    private readonly context: ControllerContext,
    private readonly tokens: TokenTracker,
    /** Latest redirects of agents to other controllers. */
    private readonly redirectTimes: AgentTimestamps,
  ) {
    this.foundTimes = new AgentTimestamps(context.clock);
  }

  /**
   * Whether the agent, which has not seen a higher token than the machine's present one, reaches no other controller. It
   * counts as such for the length of one lease and is then redirected again. Otherwise another controller that waits for
   * its heartbeats would release its machine.
   */
  isSoleContact(machine: MachineRecord, heartbeat: Heartbeat, token: FencingToken): boolean {
    const leaseMs = this.context.settings.agentTimings.lease_s * 1000;
    if (this.foundTimes.elapsedMs(machine.name, token) < leaseMs) return true;
    if (!this.reachesNoOtherController(machine, heartbeat, token)) return false;
    this.foundTimes.record(machine.name, token);
    return true;
  }

  /** Removes what is known of the machine's agent. */
  forget(machine: MachineName): void {
    this.foundTimes.delete(machine);
  }

  /**
   * Whether the agent seems to reach no other controller: it is back from a redirect after enough time to try all
   * controllers, or it has left its owner, which did not answer. An agent that another controller redirects at once is
   * back sooner than that.
   */
  private reachesNoOtherController(
    machine: MachineRecord,
    heartbeat: Heartbeat,
    token: FencingToken,
  ): boolean {
    const { context, redirectTimes, tokens } = this;
    const sinceRedirectMs = redirectTimes.elapsedMs(machine.name, token);
    if (sinceRedirectMs < MAX_RETURN_MS) {
      const minFullCycleMs = context.settings.controllerCount * AGENT_FAILOVER_PAUSE_MS - HEARTBEAT_SLACK_MS;
      return sinceRedirectMs > minFullCycleMs;
    }
    return context.ownership.holdingOf(machine) === 'none' && tokens.hasLeftOwner(heartbeat, token);
  }
}
