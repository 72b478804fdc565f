/**
 * Answers agents' heartbeats: as the holder of the machine's shard, as a proxy for the holder, or with a redirect to
 * another controller. Proxied machines are listed in the state service, so that their owners do not treat them as failed.
 */
import type { AnswerBasis } from '../../core/agents/answer-basis.js';
import type { AgentCommand, Heartbeat, HeartbeatReply } from '../../core/model/heartbeats.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health/health-tracker.js';
import { leaderOf, type Leader } from '../leader/leader.js';
import type { Availability } from '../membership/availability.js';
import type { Membership } from '../membership/membership.js';
import type { ShardController } from '../shard/shard-controller.js';
import { AnswerAuthority } from './answer-authority.js';
import { ProxiedMachineList } from './proxied-machine-list.js';

/** Interval at which the list of proxied machines is written, for each record that it takes. */
const LIST_WRITE_INTERVAL_MS = 500;

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
  private readonly authority: AnswerAuthority;
  private readonly proxiedMachineList: ProxiedMachineList;

  constructor(private readonly options: HeartbeatRouterOptions) {
    const { context, membership, availability } = options;
    this.context = context;
    this.authority = new AnswerAuthority(context, membership, availability);
    this.proxiedMachineList = new ProxiedMachineList(context);
  }

  /** Records the heartbeat and returns the reply to its agent. */
  answer(heartbeat: Heartbeat): HeartbeatReply {
    const { context, options } = this;
    if (!context.watcher.isReady) return { kind: 'busy' };
    options.health.observeHeartbeat(heartbeat);
    const machine = context.view.machines.get(heartbeat.machine);
    if (machine === undefined) return this.answerUnregistered(heartbeat);
    const decision = this.authority.decide(machine, heartbeat);
    if (decision.kind === 'redirect') return decision;
    const { basis, token } = decision;
    return { kind: 'ok', token, commands: this.commandsFor(basis, machine, heartbeat) };
  }

  /** Keeps the list of proxied machines in the state service current; never resolves. */
  async run(): Promise<never> {
    const { context, options } = this;
    const { proxiedAgents } = this.authority;
    for (;;) {
      // Each record of the list may take a write, so a longer list is written less often.
      await context.clock.sleep(LIST_WRITE_INTERVAL_MS * Math.max(1, this.proxiedMachineList.recordCount));
      if (!context.watcher.isReady) continue;
      proxiedAgents.expire();
      const lease = options.membership.currentLease;
      if (lease === null) continue;
      await this.proxiedMachineList.publish(proxiedAgents.machineNames(), lease);
    }
  }

  /** Answers the agent of a machine without a record. Only the leader, which registers machines, uses the heartbeat. */
  private answerUnregistered(heartbeat: Heartbeat): HeartbeatReply {
    const leader = leaderOf(this.context);
    if (leader !== this.context.settings.node) return { kind: 'redirect', node: leader };
    this.options.leader.recordUnregistered(heartbeat);
    return { kind: 'redirect', node: null };
  }

  /** The commands in an answer. Whoever cannot know the machine's present tasks gives none. */
  private commandsFor(
    basis: AnswerBasis,
    machine: MachineRecord,
    heartbeat: Heartbeat,
  ): readonly AgentCommand[] {
    switch (basis) {
      case 'holder':
        return this.options.shardController.commandsFor(machine, heartbeat);
      case 'proxy':
        return this.proxyCommandsFor(heartbeat);
      case 'acquiring':
      case 'sole_contact':
        return [];
    }
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
