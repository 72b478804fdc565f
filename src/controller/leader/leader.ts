/**
 * Duties of the leader: it assigns shards to controllers, teams and machines to shards, and decides which machines are
 * rented and released. Every commit is guarded on the leadership, and each rental and release is committed before it is
 * requested from the cloud.
 */
import { LOG_EVENT } from '../../core/log-events.js';
import type { ShardRecord, TeamRecord } from '../../core/model/cluster.js';
import type { Heartbeat } from '../../core/model/heartbeats.js';
import { nodeName, type NodeName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import { key } from '../../core/records/keys.js';
import type { MachineMove } from '../../core/scaling/scaling-types.js';
import {
  assignShardHolders,
  assignTeamsToShards,
  type LiveController,
} from '../../core/state/shard-assignment.js';
import type { CloudClient } from '../../io/cloud/cloud-client.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from '../membership/membership.js';
import { Notification } from '../notification.js';
import { runInSlices } from '../time-slices.js';
import { CloudInventory } from './cloud-inventory.js';
import { LeaderTransactions } from './leader-transactions.js';
import { markForRelease } from './machine-changes.js';
import { MachineReleases } from './machine-releases.js';
import { MisroutedAgents } from './misrouted-agents.js';
import { Rentals } from './rentals.js';
import { ScalingPlanner } from './scaling-planner.js';
import { UnregisteredMachines } from './unregistered-machines.js';

/** Longest wait for a notification before the next pass. */
const IDLE_INTERVAL_MS = 500;
/** Shortest pause between two passes. */
const MIN_PAUSE_MS = 100;
const PAUSE_AFTER_ERROR_MS = 500;
/** The pause after a pass is at least this many times as long as its scaling plan took, to bound the CPU time used. */
const PAUSE_PER_PLAN_TIME = 4;
/** For this long after its election, the leader leaves shards without a record to their own controllers to acquire. */
const INITIAL_ASSIGNMENT_DELAY_MS = 1500;

/** Why a machine is moved to another shard: field `reason` of the log event. */
type MoveReason = 'misrouted' | 'scaling plan';

/** The leader's loop. It runs in every controller and acts only while its controller leads. */
export class Leader {
  private readonly notification: Notification;
  private readonly transactions: LeaderTransactions;
  private readonly unregisteredMachines: UnregisteredMachines;
  private readonly inventory: CloudInventory;
  private readonly releases: MachineReleases;
  private readonly rentals: Rentals;
  private readonly misroutedAgents: MisroutedAgents;
  private readonly planner: ScalingPlanner;
  private leadingSince: MonotonicMs | null = null;
  /** How long the scaling plan of the last pass took; 0 if the pass made none. */
  private planTimeMs = 0;

  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
    cloud: CloudClient,
  ) {
    this.notification = new Notification(context.clock);
    this.transactions = new LeaderTransactions(context, membership);
    this.unregisteredMachines = new UnregisteredMachines(context);
    const { transactions, unregisteredMachines } = this;
    this.inventory = new CloudInventory({
      context,
      membership,
      cloud,
      transactions,
      unregisteredMachines,
      onMachinesFound: () => {
        this.notification.notify();
      },
    });
    this.releases = new MachineReleases({ context, cloud, transactions, unregisteredMachines });
    this.rentals = new Rentals(context, cloud, transactions);
    this.misroutedAgents = new MisroutedAgents(context);
    this.planner = new ScalingPlanner(context, this.misroutedAgents, this.rentals);
    context.viewChanges.subscribe(({ sessions, leader, jobs }) => {
      if (sessions.size > 0 || leader || jobs.size > 0) this.notification.notify();
    });
  }

  /** Records a heartbeat of an agent whose machine has no record; a confirmed machine starts the next pass early. */
  recordUnregistered(heartbeat: Heartbeat): void {
    if (this.unregisteredMachines.recordHeartbeat(heartbeat)) this.notification.notify();
  }

  /** Runs a pass after each notification and at least at the idle interval; a failed pass is logged and repeated. */
  async run(): Promise<never> {
    const { context } = this;
    let pauseMs = 0;
    void this.inventory.run();
    for (;;) {
      await context.clock.sleep(pauseMs);
      await this.notification.wait(IDLE_INTERVAL_MS);
      pauseMs = MIN_PAUSE_MS;
      if (!context.watcher.isReady || !this.membership.isLeader) {
        this.leadingSince = null;
        this.unregisteredMachines.clearConfirmed();
        continue;
      }
      this.leadingSince ??= context.clock.now();
      this.planTimeMs = 0;
      try {
        await this.runPass();
        pauseMs = Math.max(pauseMs, this.planTimeMs * PAUSE_PER_PLAN_TIME);
      } catch (error) {
        context.log.error({ err: error }, LOG_EVENT.leaderLoopFailed);
        pauseMs = PAUSE_AFTER_ERROR_MS;
      }
    }
  }

  /** Runs the steps in order: each builds on the commits of the previous one, and a failed commit ends the pass. */
  private async runPass(): Promise<void> {
    const { view, settings } = this.context;
    if (view.types === null) await this.inventory.refreshTypes();
    if (view.types === null) return;
    const live = this.liveControllers();
    if (!(await this.moveMisroutedMachines(live))) return;
    const shards = [settings.node, ...settings.peers.map((peer) => peer.node)].sort();
    if (!(await this.assignTeams(shards))) return;
    if (!(await this.assignShards(shards, live))) return;
    await this.inventory.registerMachines(shards);
    this.releases.start();
    await this.scaleFleet(shards);
  }

  /** The controllers that have a session, sorted by name. */
  private liveControllers(): LiveController[] {
    const { view, clock } = this.context;
    const now = clock.now();
    const live: LiveController[] = [];
    for (const { node, incarnation, draining } of view.sessions.values()) {
      const sessionSince = this.membership.sessionsFirstSeen.get(node) ?? now;
      live.push({
        node,
        incarnation,
        sessionAgeS: (now - sessionSince) / 1000,
        canReachAgents: this.misroutedAgents.canReachAgents(node) && draining !== true,
      });
    }
    return live.sort((a, b) => (a.node < b.node ? -1 : 1));
  }

  private async moveMisroutedMachines(live: readonly LiveController[]): Promise<boolean> {
    const moves = this.misroutedAgents.update(live);
    const operations = moves.map((move) => this.moveOperation(move, 'misrouted'));
    return operations.length === 0 || this.transactions.commitEach(operations, REQUEST_PRIORITY.results);
  }

  private async assignTeams(shards: readonly NodeName[]): Promise<boolean> {
    const { teams, view, log } = this.context;
    const operations: WriteOperation[] = [];
    const assignments = assignTeamsToShards({ shards, teams: [...teams.values()], teamRecords: view.teams });
    for (const [team, shard] of assignments) {
      log.info({ team, shard }, LOG_EVENT.teamAssigned);
      const value: TeamRecord = { owner: shard };
      operations.push({ key: key.team(team), value, reason: 'membership' });
    }
    return operations.length === 0 || this.transactions.commitEach(operations, REQUEST_PRIORITY.session);
  }

  private async assignShards(shards: readonly NodeName[], live: readonly LiveController[]): Promise<boolean> {
    const { view, clock, operator, log } = this.context;
    const leadingMs = clock.now() - this.leadingSince!;
    const operations: WriteOperation[] = [];
    const returnAfterS = operator.slices.settled_s;
    for (const [shard, to] of assignShardHolders({ shards, live, shardRecords: view.shards, returnAfterS })) {
      if (leadingMs < INITIAL_ASSIGNMENT_DELAY_MS && !view.shards.has(shard)) continue;
      log.info({ shard, from: view.shards.get(shard)?.holder, to: to.node }, LOG_EVENT.shardAssigned);
      const value: ShardRecord = { holder: to.node, incarnation: to.incarnation };
      operations.push({ key: key.shard(shard), value, reason: 'membership' });
    }
    return operations.length === 0 || this.transactions.commitEach(operations, REQUEST_PRIORITY.session);
  }

  /** Makes a scaling plan, commits its moves and releases, and starts its rentals. */
  private async scaleFleet(shards: readonly NodeName[]): Promise<void> {
    const { result: plan, computedMs } = await runInSlices(this.planner.plan(), this.context.clock);
    this.planTimeMs = computedMs;
    const operations = [
      ...plan.moves.map((move) => this.moveOperation(move, 'scaling plan')),
      ...plan.releases.map((machine) => this.releaseOperation(machine)),
    ];
    if (operations.length > 0) await this.transactions.commitEach(operations, REQUEST_PRIORITY.starts);
    this.rentals.start(plan.rentals, shards);
  }

  /** The write that moves a machine to another shard, with a floor above the machine's present fencing token. */
  private moveOperation({ machine, to }: MachineMove, reason: MoveReason): WriteOperation {
    const { view, log } = this.context;
    const floor = view.fencingTokenOf(machine) + 1;
    const value: MachineRecord = { ...machine, owner: to, floor };
    log.info({ machine: machine.name, from: machine.owner, to, floor, reason }, LOG_EVENT.machineAssigned);
    return { key: key.machine(machine.name), value, reason: 'move' };
  }

  private releaseOperation(machine: MachineRecord): WriteOperation {
    const { name, phase } = machine;
    const ageS = this.planner.ageS(machine);
    this.context.log.info({ machine: name, phase, ageS }, LOG_EVENT.machineReleaseDecided);
    return markForRelease(machine);
  }
}

/** The controller that leads according to this controller's view; null if none does. */
export function leaderOf({ view }: ControllerContext): NodeName | null {
  return view.leader === null ? null : nodeName(view.leader.node);
}
