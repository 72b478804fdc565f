/**
 * Decides which controller answers an agent's heartbeat: the owner of its machine, this controller as a proxy, or another
 * controller to which the agent is redirected. Machines answered as a proxy are listed in the state service, so that
 * their owners do not take them for failed.
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

/** Interval at which one record of the list of proxied machines is written. */
const LIST_INTERVAL_MS = 500;
/** A controller is a proxy only if the state service has answered it within this time. */
const STATE_FRESH_MS = 2500;

/** The parts of the controller that answer heartbeats or tell who does. */
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
  /** When agents were redirected to other controllers. */
  private readonly redirects: AgentTimestamps;
  /** When agents were found to reach no controller but this one, which is isolated. */
  private readonly returns: AgentTimestamps;
  private readonly proxiedAgents: ProxiedAgents;
  private readonly proxiedMachineList: ProxiedMachineList;
  private readonly isolatedAnswers: IsolatedAnswers;

  constructor(private readonly options: HeartbeatRouterOptions) {
    const { context, availability } = options;
    this.context = context;
    this.tokens = new TokenTracker(context);
    this.redirects = new AgentTimestamps(context.clock);
    this.returns = new AgentTimestamps(context.clock);
    this.proxiedAgents = new ProxiedAgents(context, this.tokens, this.redirects);
    this.proxiedMachineList = new ProxiedMachineList(context);
    const { tokens, redirects, returns } = this;
    this.isolatedAnswers = new IsolatedAnswers({ context, availability, tokens, redirects, returns });
    context.viewChanges.subscribe(({ machines, shards }) => {
      // A change of a shard's holder changes the tokens of all its machines. Removed machines are in `machines` only.
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
    // Until the view holds all commits of the previous owner, the agent is kept alive without commands.
    if (context.ownership.isAcquiring(machine)) return { kind: 'ok', token, commands: [] };
    if (!this.isStateFresh()) return this.isolatedAnswers.answer(machine, heartbeat);
    const owner = context.ownership.holderOf(machine);
    if (!this.proxiedAgents.shouldProxy(machine, heartbeat, { hasLiveOwner: owner !== null }))
      return { kind: 'redirect', node: owner };
    return { kind: 'ok', token, commands: this.proxyCommandsFor(heartbeat) };
  }

  /** Runs the loop that keeps the list of proxied machines in the state service current. */
  async run(): Promise<never> {
    const { context, options } = this;
    for (;;) {
      // A list of several records takes several writes each time.
      await context.clock.sleep(LIST_INTERVAL_MS * Math.max(1, this.proxiedMachineList.records));
      if (!context.watcher.isReady) continue;
      this.proxiedAgents.expire();
      const lease = options.membership.currentLease;
      if (lease === null) continue;
      await this.proxiedMachineList.publish(this.proxiedAgents.names(), lease);
    }
  }

  private onMachineChanged(name: MachineName): void {
    this.tokens.update(name);
    if (this.context.view.machines.has(name)) return;
    this.redirects.delete(name);
    this.returns.delete(name);
  }

  /** The leader registers machines without a record. */
  private answerUnregistered(heartbeat: Heartbeat): HeartbeatReply {
    const leader = leaderOf(this.context);
    if (leader !== this.context.settings.node) return { kind: 'redirect', node: leader };
    this.options.leader.recordUnregistered(heartbeat);
    return { kind: 'redirect', node: null };
  }

  private answerOwned(machine: MachineRecord, heartbeat: Heartbeat): HeartbeatReply {
    const { availability, shardController } = this.options;
    if (!availability.mayAnswerAgents) return this.isolatedAnswers.answer(machine, heartbeat);
    this.redirects.delete(machine.name);
    this.returns.delete(machine.name);
    return shardController.answerHeartbeat(machine, heartbeat);
  }

  private isStateFresh(): boolean {
    const { clock, state } = this.context;
    const isFresh = clock.now() - state.lastContactAt < STATE_FRESH_MS;
    return isFresh && this.options.membership.hasValidLease;
  }

  /** A proxy stops only tasks of jobs that the state service shows to be over or cancelled. */
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
