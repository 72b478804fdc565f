/**
 * Decides which heartbeats this controller answers with 200, and where it redirects the other agents. All answers with 200
 * are decided here, on the bases that `core/agents/answer-basis.ts` allows.
 */
import {
  answerBasis,
  mayActAsHolder,
  type AnswerBasis,
  type ControllerStanding,
} from '../../core/agents/answer-basis.js';
import { LOG_EVENT } from '../../core/log-events.js';
import type { Heartbeat } from '../../core/model/heartbeats.js';
import { NO_VERSION, type FencingToken, type MachineName, type NodeName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import { key } from '../../core/records/keys.js';
import type { ControllerContext } from '../controller-context.js';
import type { Availability } from '../membership/availability.js';
import type { Membership } from '../membership/membership.js';
import { AgentTimestamps } from './agent-timestamps.js';
import { ProxiedAgents } from './proxied-agents.js';
import { SoleContacts } from './sole-contacts.js';
import { TokenTracker } from './token-tracker.js';

/** A controller answers as a proxy only if the state service has answered it within this time. */
const STATE_FRESH_MS = 2500;

/** Whether this controller answers a heartbeat, under which token, or where it redirects the agent. */
export type AnswerDecision =
  | { readonly kind: 'answer'; readonly basis: AnswerBasis; readonly token: FencingToken }
  /** `node` is null if the agent is to try any other controller. */
  | { readonly kind: 'redirect'; readonly node: NodeName | null };

/** Decides on the heartbeats of machines that have a record. */
export class AnswerAuthority {
  /** The agents that this controller answers as a proxy. */
  readonly proxiedAgents: ProxiedAgents;
  private readonly tokens: TokenTracker;
  /** Latest redirects of agents to other controllers. */
  private readonly redirectTimes: AgentTimestamps;
  private readonly soleContacts: SoleContacts;
  /** Whether this controller could not act as the holder when the latest agent of one of its shards sent a heartbeat. */
  private isSuspended = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
    private readonly availability: Availability,
  ) {
    this.tokens = new TokenTracker(context);
    this.redirectTimes = new AgentTimestamps(context.clock);
    this.proxiedAgents = new ProxiedAgents(context, this.tokens, this.redirectTimes);
    this.soleContacts = new SoleContacts(context, this.tokens, this.redirectTimes);
    context.viewChanges.subscribe(({ machines, shards }) => {
      // A new holder of a shard changes the fencing tokens of all machines of the shard. Removed machines are no longer
      // in the view and are listed only in `machines`.
      if (shards.size > 0) for (const name of context.view.machines.keys()) this.onMachineChanged(name);
      for (const name of machines) this.onMachineChanged(name);
    });
  }

  /** Decides on a heartbeat, and records the decision for those on the agent's later heartbeats. */
  decide(machine: MachineRecord, heartbeat: Heartbeat): AnswerDecision {
    const token = this.context.view.fencingTokenOf(machine);
    const standing = this.standingFor(machine, heartbeat, token);
    this.logSuspension(standing);
    const basis = answerBasis(standing);
    if (basis === null || !this.isAllowed(basis, machine, heartbeat, token))
      return { kind: 'redirect', node: this.redirect(machine, standing, token) };
    if (basis !== 'proxy') this.redirectTimes.delete(machine.name);
    if (basis === 'holder') this.soleContacts.forget(machine.name);
    return { kind: 'answer', basis, token };
  }

  private standingFor(machine: MachineRecord, heartbeat: Heartbeat, token: FencingToken): ControllerStanding {
    const { availability, context, membership } = this;
    const { clock, ownership, state, view } = context;
    const holding = ownership.holdingOf(machine);
    const acquiredAt = holding === 'none' ? NO_VERSION : view.versionOf(key.shard(machine.owner));
    return {
      holding,
      session: membership.sessionStatus(acquiredAt),
      hasStateContact: clock.now() - state.lastContactAt < STATE_FRESH_MS,
      isStateOutage: availability.isStateOutage,
      isIsolated: availability.isIsolated,
      agentHasHigherToken: heartbeat.token > token,
    };
  }

  /** Whether the agent's earlier heartbeats allow an answer on this basis. */
  private isAllowed(
    basis: AnswerBasis,
    machine: MachineRecord,
    heartbeat: Heartbeat,
    token: FencingToken,
  ): boolean {
    switch (basis) {
      case 'proxy':
        return this.proxiedAgents.shouldProxy(machine, heartbeat, {
          hasLiveOwner: this.context.ownership.holderOf(machine) !== null,
        });
      case 'sole_contact':
        return this.soleContacts.isSoleContact(machine, heartbeat, token);
      default:
        return true;
    }
  }

  /** The controller to which an agent is redirected; null for any other controller. */
  private redirect(
    machine: MachineRecord,
    { holding, isIsolated, session, hasStateContact }: ControllerStanding,
    token: FencingToken,
  ): NodeName | null {
    const { ownership, settings } = this.context;
    const canName = holding === 'none' && (!isIsolated || (session === 'valid' && hasStateContact));
    if (!canName) {
      this.soleContacts.forget(machine.name);
      // Recorded although other controllers may answer: an agent that comes back after it has tried them all reaches none
      // of them, and a second redirect would take longer than its lease.
      this.redirectTimes.record(machine.name, token);
      return null;
    }
    const holder = ownership.holderOf(machine);
    return holder === settings.node ? null : holder;
  }

  private onMachineChanged(name: MachineName): void {
    this.tokens.update(name);
    if (this.context.view.machines.has(name)) return;
    this.redirectTimes.delete(name);
    this.soleContacts.forget(name);
  }

  /** Logs when this controller stops answering agents as a holder, and when it answers them again. */
  private logSuspension(standing: ControllerStanding): void {
    const { holding, session } = standing;
    if (holding === 'none') return;
    const isSuspended = !mayActAsHolder(standing);
    if (isSuspended === this.isSuspended) return;
    this.isSuspended = isSuspended;
    const event = isSuspended ? LOG_EVENT.agentAnswersSuspended : LOG_EVENT.agentAnswersResumed;
    this.context.log.info({ holding, session }, event);
  }
}
