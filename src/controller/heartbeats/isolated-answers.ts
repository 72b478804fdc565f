/**
 * Answers agents while the state service does not answer this controller.
 *
 * Such a controller cannot know which owner an agent has by now. It redirects its agents, while their leases last, to a
 * controller that can act. Where no other controller answers it either, its zone may be cut off, and an agent that reaches
 * nobody else would lose its tasks: it is answered without commands, which its token keeps safe as it does for proxies.
 */
import { AGENT_FAILOVER_PAUSE_MS, HEARTBEAT_SLACK_MS } from '../../core/agents/agent-timing.js';
import type { Heartbeat, HeartbeatReply } from '../../core/model/heartbeats.js';
import type { FencingToken } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { ControllerContext } from '../controller-context.js';
import type { Availability } from '../membership/availability.js';
import type { AgentTimestamps } from './agent-timestamps.js';
import { MAX_RETURN_MS } from './redirect-timing.js';
import type { TokenTracker } from './token-tracker.js';

/** What the answers depend on. */
export interface IsolatedAnswersOptions {
  readonly context: ControllerContext;
  readonly availability: Availability;
  readonly tokens: TokenTracker;
  /** When agents were redirected to other controllers. */
  readonly redirects: AgentTimestamps;
  /** When agents were found to reach no other controller. */
  readonly returns: AgentTimestamps;
}

/** Decides which agents a controller without the state service answers. */
export class IsolatedAnswers {
  constructor(private readonly options: IsolatedAnswersOptions) {}

  /** The reply to a heartbeat; never with commands. */
  answer(machine: MachineRecord, heartbeat: Heartbeat): HeartbeatReply {
    const { context, availability, redirects, returns } = this.options;
    const { ownership, settings, view } = context;
    if (!availability.isIsolated)
      return { kind: 'redirect', node: ownership.owns(machine) ? null : ownership.holderOf(machine) };
    const token = view.fencingTokenOf(machine);
    const reachesNobodyElse = this.reachesNobodyElse(machine, heartbeat, token);
    // After the length of a lease the agent is redirected again: another controller that waits for it would otherwise
    // release its machine.
    const isKept = returns.elapsedMs(machine.name, token) < settings.workers.lease_s * 1000;
    if (heartbeat.token > token || !(reachesNobodyElse || isKept)) {
      returns.delete(machine.name);
      redirects.record(machine.name, token);
      return { kind: 'redirect', node: null };
    }
    if (!isKept) returns.record(machine.name, token);
    redirects.delete(machine.name);
    return { kind: 'ok', token, commands: [] };
  }

  /**
   * Whether the agent is back after it had time to try all controllers, or has turned here because its owner did not
   * answer. One that another controller has redirected at once is back sooner than after all tries.
   */
  private reachesNobodyElse(machine: MachineRecord, heartbeat: Heartbeat, token: FencingToken): boolean {
    const { context, redirects, tokens } = this.options;
    const awayMs = redirects.elapsedMs(machine.name, token);
    if (awayMs < MAX_RETURN_MS) {
      const minFullCycleMs = context.settings.nodes * AGENT_FAILOVER_PAUSE_MS - HEARTBEAT_SLACK_MS;
      return awayMs > minFullCycleMs;
    }
    return !context.ownership.owns(machine) && tokens.hasLeftOwner(heartbeat, token);
  }
}
