/**
 * Decides who answers an agent's heartbeat: this controller as the owner of the machine or as a proxy for the owner, or
 * another controller to which the agent is redirected. Proxied machines are listed in the state service, so that their
 * owners do not treat them as failed.
 */
import type { AgentCommand, Heartbeat, HeartbeatReply } from '../../core/model/heartbeats.js';
import type { MachineName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health/health-tracker.js';
import { leaderOf, type Leader } from '../leader/leader.js';
import type { Availability } from '../membership/availability.js';
import type { Membership } from '../membership/membership.js';
import type { ShardController } from '../shard/shard-controller.js';
import { AgentTimestamps } from './agent-timestamps.js';
import { IsolatedAnswers } from './isolated-answers.js';
import { ProxiedAgents } from './proxied-agents.js';
import { ProxiedMachineList } from './proxied-machine-list.js';
import { TokenTracker } from './token-tracker.js';

/** Interval at which the list of proxied machines is written, for each record that it takes. */
const LIST_WRITE_INTERVAL_MS = 500;
/** A controller answers as a proxy only if the state service has answered it within this time. */
const STATE_FRESH_MS = 2500;

/** Components of the controller on which the router's decisions depend. */
export interface HeartbeatRouterOptions {
  readonly context: ControllerContext;
  readonly shardController: ShardController;
  readonly leader: Leader;
  readonly health: HealthTracker;
  readonly membership: Membership;
  readonly availability: Availability;
}

/** Answers agents' heartbeats, or redirects them to the controller that does. */
export class HeartbeatRouter {
  private readonly context: ControllerContext;
  private readonly tokens: TokenTracker;
  /** Latest redirects of agents to other controllers. */
  private readonly redirectTimes: AgentTimestamps;
  /** Times at which agents were found to reach no other controller while this one was isolated. */
  private readonly soleContactTimes: AgentTimestamps;
  private readonly proxiedAgents: ProxiedAgents;
  private readonly proxiedMachineList: ProxiedMachineList;
  private readonly isolatedAnswers: IsolatedAnswers;

  constructor(private readonly options: HeartbeatRouterOptions) {
    const { context, availability } = options;
    this.context = context;
    this.tokens = new TokenTracker(context);
    this.redirectTimes = new AgentTimestamps(context.clock);
    this.soleContactTimes = new AgentTimestamps(context.clock);
    this.proxiedAgents = new ProxiedAgents(context, this.tokens, this.redirectTimes);
    this.proxiedMachineList = new ProxiedMachineList(context);
    const { tokens, redirectTimes, soleContactTimes } = this;
    this.isolatedAnswers = new IsolatedAnswers({
      context,
      availability,
      tokens,
      redirectTimes,
      soleContactTimes,
    });
    context.viewChanges.subscribe(({ machines, shards }) => {
      // A new holder of a shard changes the fencing tokens of all machines of the shard. Removed machines are no longer
      // in the view and are listed only in `machines`.
      if (shards.size > 0) for (const name of context.view.machines.keys()) this.onMachineChanged(name);
      for (const name of machines) this.onMachineChanged(name);
    });
  }

  /** Records the heartbeat and returns the reply to its agent. */
  answer(heartbeat: Heartbeat): HeartbeatReply {
    const { context, options } = this;
    if (!context.watcher.isReady) return { kind: 'busy' };
    options.health.observeHeartbeat(heartbeat);
    const machine = context.view.machines.get(heartbeat.machine);
    if (machine === undefined) return this.answerUnregistered(heartbeat);
    if (context.ownership.owns(machine)) return this.answerOwned(machine, heartbeat);
    const token = context.view.fencingTokenOf(machine);
    // Until the view holds all commits of the previous owner, the reply renews the agent's lease without commands.
    if (context.ownership.isAcquiring(machine)) return { kind: 'ok', token, commands: [] };
    if (!this.isStateFresh()) return this.isolatedAnswers.answer(machine, heartbeat);
    const owner = context.ownership.holderOf(machine);
    if (!this.proxiedAgents.shouldProxy(machine, heartbeat, { hasLiveOwner: owner !== null }))
      return { kind: 'redirect', node: owner };
    return { kind: 'ok', token, commands: this.proxyCommandsFor(heartbeat) };
  }

  /** Keeps the list of proxied machines in the state service current; never resolves. */
  async run(): Promise<never> {
    const { context, options } = this;
    for (;;) {
      // Each record of the list may take a write, so a longer list is written less often.
      await context.clock.sleep(LIST_WRITE_INTERVAL_MS * Math.max(1, this.proxiedMachineList.recordCount));
      if (!context.watcher.isReady) continue;
      this.proxiedAgents.expire();
      const lease = options.membership.currentLease;
      if (lease === null) continue;
      await this.proxiedMachineList.publish(this.proxiedAgents.machineNames(), lease);
    }
  }

  private onMachineChanged(name: MachineName): void {
    this.tokens.update(name);
    if (this.context.view.machines.has(name)) return;
    this.redirectTimes.delete(name);
    this.soleContactTimes.delete(name);
  }

  /** Answers the agent of a machine without a record. Only the leader, which registers machines, uses the heartbeat. */
  private answerUnregistered(heartbeat: Heartbeat): HeartbeatReply {
    const leader = leaderOf(this.context);
    if (leader !== this.context.settings.node) return { kind: 'redirect', node: leader };
    this.options.leader.recordUnregistered(heartbeat);
    return { kind: 'redirect', node: null };
  }

  private answerOwned(machine: MachineRecord, heartbeat: Heartbeat): HeartbeatReply {
    const { availability, shardController } = this.options;
    if (!availability.mayAnswerAgents) return this.isolatedAnswers.answer(machine, heartbeat);
    this.redirectTimes.delete(machine.name);
    this.soleContactTimes.delete(machine.name);
    return shardController.answerHeartbeat(machine, heartbeat);
  }

  private isStateFresh(): boolean {
    const { clock, state } = this.context;
    const isFresh = clock.now() - state.lastContactAt < STATE_FRESH_MS;
    return isFresh && this.options.membership.hasValidLease;
  }

  /** The commands of a proxy: stops of tasks whose jobs have ended or are being cancelled, as the view shows. */
  private proxyCommandsFor({ tasks }: Heartbeat): AgentCommand[] {
    const commands: AgentCommand[] = [];
    for (const { job, index, attempt, state } of tasks) {
      if (state === 'exited') continue;
      const record = this.context.view.jobs.get(job);
      if (record === undefined || record.phase === 'cancelling')
        commands.push({ op: 'stop', job, index, attempt, gracePeriodS: 0 });
    }
    return commands;
  }
}
