/**
 * What only the leader does: who owns which team and machine, what is rented and returned. Every commit is guarded on the
 * leadership; what is asked of the cloud was committed before.
 */
import { key } from '../../core/keys.js';
import { planHolders, planTeams, type LiveNode } from '../../core/slices.js';
import {
  nodeName,
  type MachineRecord,
  type NodeName,
  type Heartbeat,
  type SliceRecord,
  type MonotonicMs,
  type TeamRecord,
} from '../../core/types.js';
import type { CloudClient } from '../../io/cloud.js';
import { URGENCY } from '../../io/rate-limiter.js';
import type { Op } from '../../io/wire.js';
import type { Context } from '../context.js';
import type { Membership } from '../membership.js';
import { Notification } from '../notification.js';
import { CloudInventory } from './cloud-inventory.js';
import { FleetPlanner } from './fleet-planner.js';
import { LeaderTransactions } from './leader-transactions.js';
import { Rentals, markForReturn } from './rentals.js';
import { StrayedMachines } from './strayed-machines.js';
import { UnknownMachines } from './unknown-machines.js';

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
  private readonly unknown: UnknownMachines;
  private readonly inventory: CloudInventory;
  private readonly rentals: Rentals;
  private readonly strayed: StrayedMachines;
  private readonly planner: FleetPlanner;
  private leadingSince: MonotonicMs | null = null;
  private planMs = 0;

  constructor(
    private readonly ctx: Context,
    private readonly membership: Membership,
    cloud: CloudClient,
  ) {
    this.notification = new Notification(ctx.clock);
    this.transactions = new LeaderTransactions(ctx, membership);
    this.unknown = new UnknownMachines(ctx);
    this.inventory = new CloudInventory(ctx, membership, cloud, this.transactions, this.unknown, () => {
      this.notification.notify();
    });
    this.rentals = new Rentals(ctx, cloud, this.transactions);
    this.strayed = new StrayedMachines(ctx);
    this.planner = new FleetPlanner(ctx, this.strayed, this.rentals);
    ctx.listeners.push(({ sessions, leader, jobs }) => {
      if (sessions.size > 0 || leader || jobs.size > 0) this.notification.notify();
    });
  }

  /** A worker that no record knows has reported to this controller. */
  recordUnregistered(report: Heartbeat): void {
    if (this.unknown.recordHeartbeat(report)) this.notification.notify();
  }

  async run(): Promise<never> {
    const { ctx } = this;
    let pauseMs = 0;
    void this.inventory.run();
    for (;;) {
      await ctx.clock.sleep(pauseMs);
      await this.notification.wait(IDLE_MS);
      pauseMs = PAUSE_MS;
      if (!ctx.follower.ready || !this.membership.isLeader) {
        this.leadingSince = null;
        this.unknown.clear();
        continue;
      }
      this.leadingSince ??= ctx.clock.now();
      this.planMs = 0;
      try {
        await this.step();
        pauseMs = Math.max(pauseMs, this.planMs * PLAN_PART);
      } catch (e) {
        ctx.log.error({ err: e }, 'leader loop');
        pauseMs = ERROR_MS;
      }
    }
  }

  private async step(): Promise<void> {
    const { ctx } = this;
    if (ctx.view.types === null) await this.inventory.refreshTypes();
    if (ctx.view.types === null) return;
    const live = this.liveNodes();
    if (!(await this.followStrayed(live))) return;
    const slices = [ctx.settings.node, ...ctx.settings.peers.map((p) => p.node)].sort();
    if (!(await this.assignTeams(slices))) return;
    if (!(await this.assignSlices(slices, live))) return;
    await this.inventory.adopt(slices);
    this.inventory.startReleases();
    await this.resizeFleet(slices);
  }

  private liveNodes(): LiveNode[] {
    const { ctx } = this;
    const now = ctx.clock.now();
    const live: LiveNode[] = [];
    for (const { node, incarnation, draining } of ctx.view.sessions.values())
      live.push({
        node,
        incarnation,
        ageS: (now - (ctx.sessionSince.get(node) ?? now)) / 1000,
        fit: this.strayed.isFit(node) && draining !== true,
      });
    return live.sort((a, b) => (a.node < b.node ? -1 : 1));
  }

  private async followStrayed(live: readonly LiveNode[]): Promise<boolean> {
    const moves = this.strayed.update(live);
    const ops = moves.map(({ machine, to }) => this.handOver(machine, to, 'reaches only that one'));
    return ops.length === 0 || this.transactions.commitEach(ops, URGENCY.results);
  }

  private async assignTeams(slices: readonly NodeName[]): Promise<boolean> {
    const { ctx } = this;
    const ops: Op[] = [];
    for (const [team, owner] of planTeams(slices, [...ctx.teams.values()], ctx.view.teams)) {
      ctx.log.info({ team, slice: owner }, 'team assigned');
      ops.push({ key: key.team(team), value: { owner } satisfies TeamRecord, reason: 'membership' });
    }
    return ops.length === 0 || this.transactions.commitEach(ops, URGENCY.session);
  }

  private async assignSlices(slices: readonly NodeName[], live: readonly LiveNode[]): Promise<boolean> {
    const { ctx } = this;
    const { view } = ctx;
    const early = ctx.clock.now() - this.leadingSince! < SETTLE_MS;
    const ops: Op[] = [];
    for (const [slice, to] of planHolders(slices, live, view.slices, ctx.operator.slices.settled_s)) {
      if (early && !view.slices.has(slice)) continue;
      ctx.log.info({ slice, from: view.slices.get(slice)?.holder, to: to.node }, 'slice assigned');
      const value: SliceRecord = { holder: to.node, incarnation: to.incarnation };
      ops.push({ key: key.slice(slice), value, reason: 'membership' });
    }
    return ops.length === 0 || this.transactions.commitEach(ops, URGENCY.session);
  }

  private async resizeFleet(slices: readonly NodeName[]): Promise<void> {
    const { ctx } = this;
    const start = ctx.clock.now();
    const plan = this.planner.plan();
    this.planMs = ctx.clock.now() - start;
    const ops: Op[] = plan.moves.map(({ machine, to }) => this.handOver(machine, to, 'slices'));
    for (const machine of plan.releases) {
      const { name, phase } = machine;
      ctx.log.info({ machine: name, phase, ageS: this.planner.ageS(machine) }, 'to be returned');
      ops.push(markForReturn(machine));
    }
    if (ops.length > 0) await this.transactions.commitEach(ops, URGENCY.starts);
    this.rentals.start(plan.rentals, slices);
  }

  /** Gives a machine to another slice, with a token above the one that it has. */
  private handOver(machine: MachineRecord, to: NodeName, why: string): Op {
    const value: MachineRecord = { ...machine, owner: to, floor: this.ctx.view.tokenOf(machine) + 1 };
    this.ctx.log.info(
      { machine: machine.name, from: machine.owner, to, floor: value.floor, why },
      'machine assigned',
    );
    return { key: key.machine(machine.name), value, reason: 'move' };
  }
}

/** The controller that leads now, as the view has it. */
export const leaderOf = (ctx: Context): NodeName | null =>
  ctx.view.leader === null ? null : nodeName(ctx.view.leader.node);
