/**
 * What only the leader does: who owns which team and machine, what is rented and returned. Every commit is guarded on the
 * leadership; what is asked of the cloud was committed before.
 */
import { LOG_EVENT } from '../../core/log-events.js';
import { key } from '../../core/records/keys.js';
import {
  assignShardHolders,
  assignTeamsToShards,
  type LiveController,
} from '../../core/state/shard-assignment.js';
import type { ShardRecord, TeamRecord } from '../../core/model/cluster.js';
import type { Heartbeat } from '../../core/model/heartbeats.js';
import { nodeName, type NodeName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { CloudClient } from '../../io/cloud/cloud-client.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from '../membership/membership.js';
import { Notification } from '../notification.js';
import { CloudInventory } from './cloud-inventory.js';
import { ScalingPlanner } from './scaling-planner.js';
import { LeaderTransactions } from './leader-transactions.js';
import { Rentals, markForReturn } from './rentals.js';
import { MisroutedAgents } from './misrouted-agents.js';
import { UnregisteredMachines } from './unregistered-machines.js';

/** A step is made so often without being notified, and never more often than this. */
const IDLE_MS = 500;
const PAUSE_MS = 100;
const ERROR_MS = 500;
/** However long a plan takes on this machine, the time between two is so many times as long. */
const PLAN_PART = 4;
/** At the very start each controller takes its own slice; the missing ones are given a moment. */
const SETTLE_MS = 1500;

/** The loop of the leader. It runs in every controller and acts only while this one leads. */
export class Leader {
  private readonly notification: Notification;
  private readonly transactions: LeaderTransactions;
  private readonly unregisteredMachines: UnregisteredMachines;
  private readonly inventory: CloudInventory;
  private readonly rentals: Rentals;
  private readonly misroutedAgents: MisroutedAgents;
  private readonly planner: ScalingPlanner;
  private leadingSince: MonotonicMs | null = null;
  private planMs = 0;

  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
    cloud: CloudClient,
  ) {
    this.notification = new Notification(context.clock);
    this.transactions = new LeaderTransactions(context, membership);
    this.unregisteredMachines = new UnregisteredMachines(context);
    this.inventory = new CloudInventory(
      context,
      membership,
      cloud,
      this.transactions,
      this.unregisteredMachines,
      () => {
        this.notification.notify();
      },
    );
    this.rentals = new Rentals(context, cloud, this.transactions);
    this.misroutedAgents = new MisroutedAgents(context);
    this.planner = new ScalingPlanner(context, this.misroutedAgents, this.rentals);
    context.viewChanges.subscribe(({ sessions, leader, jobs }) => {
      if (sessions.size > 0 || leader || jobs.size > 0) this.notification.notify();
    });
  }

  /** A worker that no record knows has reported to this controller. */
  recordUnregistered(heartbeat: Heartbeat): void {
    if (this.unregisteredMachines.recordHeartbeat(heartbeat)) this.notification.notify();
  }

  async run(): Promise<never> {
    const { context } = this;
    let pauseMs = 0;
    void this.inventory.run();
    for (;;) {
      await context.clock.sleep(pauseMs);
      await this.notification.wait(IDLE_MS);
      pauseMs = PAUSE_MS;
      if (!context.watcher.isReady || !this.membership.isLeader) {
        this.leadingSince = null;
        this.unregisteredMachines.clear();
        continue;
      }
      this.leadingSince ??= context.clock.now();
      this.planMs = 0;
      try {
        await this.step();
        pauseMs = Math.max(pauseMs, this.planMs * PLAN_PART);
      } catch (e) {
        context.log.error({ err: e }, LOG_EVENT.leaderLoopFailed);
        pauseMs = ERROR_MS;
      }
    }
  }

  private async step(): Promise<void> {
    const { context } = this;
    if (context.view.types === null) await this.inventory.refreshTypes();
    if (context.view.types === null) return;
    const live = this.liveControllers();
    if (!(await this.moveMisroutedMachines(live))) return;
    const shards = [context.settings.node, ...context.settings.peers.map((p) => p.node)].sort();
    if (!(await this.assignTeams(shards))) return;
    if (!(await this.assignShards(shards, live))) return;
    await this.inventory.registerMachines(shards);
    this.inventory.startReleases();
    await this.scaleFleet(shards);
  }

  private liveControllers(): LiveController[] {
    const { context } = this;
    const now = context.clock.now();
    const live: LiveController[] = [];
    for (const { node, incarnation, draining } of context.view.sessions.values())
      live.push({
        node,
        incarnation,
        sessionAgeS: (now - (this.membership.sessionsFirstSeen.get(node) ?? now)) / 1000,
        canReachAgents: this.misroutedAgents.canReachAgents(node) && draining !== true,
      });
    return live.sort((a, b) => (a.node < b.node ? -1 : 1));
  }

  private async moveMisroutedMachines(live: readonly LiveController[]): Promise<boolean> {
    const moves = this.misroutedAgents.update(live);
    const operations = moves.map(({ machine, to }) =>
      this.moveOperation(machine, to, 'reaches only that one'),
    );
    return operations.length === 0 || this.transactions.commitEach(operations, REQUEST_PRIORITY.results);
  }

  private async assignTeams(shards: readonly NodeName[]): Promise<boolean> {
    const { context } = this;
    const operations: WriteOperation[] = [];
    for (const [team, owner] of assignTeamsToShards(
      shards,
      [...context.teams.values()],
      context.view.teams,
    )) {
      context.log.info({ team, slice: owner }, LOG_EVENT.teamAssigned);
      operations.push({ key: key.team(team), value: { owner } satisfies TeamRecord, reason: 'membership' });
    }
    return operations.length === 0 || this.transactions.commitEach(operations, REQUEST_PRIORITY.session);
  }

  private async assignShards(shards: readonly NodeName[], live: readonly LiveController[]): Promise<boolean> {
    const { context } = this;
    const { view } = context;
    const early = context.clock.now() - this.leadingSince! < SETTLE_MS;
    const operations: WriteOperation[] = [];
    for (const [shard, to] of assignShardHolders(
      shards,
      live,
      view.shards,
      context.operator.slices.settled_s,
    )) {
      if (early && !view.shards.has(shard)) continue;
      context.log.info(
        { slice: shard, from: view.shards.get(shard)?.holder, to: to.node },
        LOG_EVENT.shardAssigned,
      );
      const value: ShardRecord = { holder: to.node, incarnation: to.incarnation };
      operations.push({ key: key.shard(shard), value, reason: 'membership' });
    }
    return operations.length === 0 || this.transactions.commitEach(operations, REQUEST_PRIORITY.session);
  }

  private async scaleFleet(shards: readonly NodeName[]): Promise<void> {
    const { context } = this;
    const start = context.clock.now();
    const plan = this.planner.plan();
    this.planMs = context.clock.now() - start;
    const operations: WriteOperation[] = plan.moves.map(({ machine, to }) =>
      this.moveOperation(machine, to, 'slices'),
    );
    for (const machine of plan.releases) {
      const { name, phase } = machine;
      context.log.info(
        { machine: name, phase, ageS: this.planner.ageS(machine) },
        LOG_EVENT.machineReleaseDecided,
      );
      operations.push(markForReturn(machine));
    }
    if (operations.length > 0) await this.transactions.commitEach(operations, REQUEST_PRIORITY.starts);
    this.rentals.start(plan.rentals, shards);
  }

  /** Gives a machine to another slice, with a token above the one that it has. */
  private moveOperation(machine: MachineRecord, to: NodeName, why: string): WriteOperation {
    const value: MachineRecord = {
      ...machine,
      owner: to,
      floor: this.context.view.fencingTokenOf(machine) + 1,
    };
    this.context.log.info(
      { machine: machine.name, from: machine.owner, to, floor: value.floor, why },
      LOG_EVENT.machineAssigned,
    );
    return { key: key.machine(machine.name), value, reason: 'move' };
  }
}

/** The controller that leads now, as the view has it. */
export const leaderOf = (context: ControllerContext): NodeName | null =>
  context.view.leader === null ? null : nodeName(context.view.leader.node);
