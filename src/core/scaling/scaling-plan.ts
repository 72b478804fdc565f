/**
 * The leader's scaling plan: which machines change their shard, which are rented and which are released. It packs
 * pending tasks roughly as the shard controllers will place them; where they place tasks differently, the next plan
 * corrects it, since it starts from the actual state.
 */
import { compareJobs } from '../jobs/job-order.js';
import type { NodeName } from '../model/ids.js';
import { type JobRecord, PRIORITY_RANK } from '../model/jobs.js';
import { runToEnd, type Steps } from '../steps.js';
import { reclaimMachines } from './machine-reclaim.js';
import { PackingState } from './packing-state.js';
import { PlannedQuota, demandOfHeadroom, demandOfJob } from './pending-demand.js';
import type { BinMove, Headroom, PendingDemand, ScalingInput, ScalingPlan } from './scaling-types.js';
import { rebalanceShards } from './shard-rebalancing.js';

/** Plans moves, rentals and releases. The plan depends on `input` alone; nothing is kept between plans. */
export function planScaling(input: ScalingInput): ScalingPlan {
  return runToEnd(planScalingInSteps(input));
}

/**
 * Plans as `planScaling` does, in steps that each pack at most one demand: between two of them the caller may let other
 * work run. Machine records may change meanwhile, so that the caller has to drop what the plan decided about those.
 */
export function planScalingInSteps(input: ScalingInput): Steps<ScalingPlan> {
  return new ScalingPass(input).plan();
}

/** Makes one plan. */
class ScalingPass {
  private readonly pendingJobs: readonly JobRecord[];
  private readonly packing: PackingState;
  private readonly quota: PlannedQuota;
  /** Demands with tasks that do not fit on machines of their own shard now. */
  private readonly unplaced: PendingDemand[] = [];
  /** Gangs for which their shard controller reserves machines; at most one for each shard. */
  private readonly reservingGangs = new Set<PendingDemand>();
  private readonly shardsWithReservation = new Set<NodeName>();

  constructor(private readonly input: ScalingInput) {
    this.pendingJobs = pendingJobsInOrder(input);
    const specs = [...this.pendingJobs, ...input.headroom].map(({ spec }) => spec);
    this.packing = new PackingState(
      input,
      specs.map((spec) => spec.demand),
    );
    this.quota = new PlannedQuota(input.totals);
  }

  /**
   * Packs the tasks of each shard on its own machines first, so that no shard loses a machine that it needs; then the
   * remaining tasks on spare machines of other shards, on booting machines and on rentals. Headroom is packed last.
   */
  *plan(): Steps<ScalingPlan> {
    for (const job of this.pendingJobs) {
      this.packOnOwnShard(job);
      yield;
    }
    this.sortUnplaced();
    for (const demand of this.unplaced) {
      this.packAnywhere(demand);
      yield;
    }
    for (const headroom of this.input.headroom) {
      this.packHeadroom(headroom);
      yield;
    }
    for (const move of yield* this.movesDuringShortage()) this.packing.moveMachine(move);
    return this.packing.result();
  }

  private packOnOwnShard(job: JobRecord): void {
    const shard = this.input.shardByTeam.get(job.spec.team)!;
    const demand = demandOfJob(job, shard, this.input);
    if (job.spec.kind === 'gang') this.packGangOnOwnShard(job, demand);
    else this.packTasksOnOwnShard(demand);
  }

  private packTasksOnOwnShard(demand: PendingDemand): void {
    const { spec } = demand;
    demand.tasks = Math.min(demand.tasks, this.quota.tasksWithinQuota(spec));
    if (demand.tasks <= 0) return;
    this.quota.accept(spec, demand.tasks);
    demand.tasks -= this.packing.fillOwnMachines(demand, demand.tasks);
    if (demand.tasks > 0) this.unplaced.push(demand);
  }

  private packGangOnOwnShard(job: JobRecord, demand: PendingDemand): void {
    const { spec } = job;
    if (this.input.totals.allocationsByJob.has(spec.id) || this.quota.tasksWithinQuota(spec) < spec.tasks)
      return;
    this.quota.accept(spec, spec.tasks);
    const gangZone = this.packing.ownGangZone(demand);
    demand.zone = gangZone?.zone ?? null;
    if (gangZone?.missingTasks === 0) {
      this.packing.fillOwnMachines(demand, spec.tasks);
      return;
    }
    if (gangZone !== null && !this.shardsWithReservation.has(demand.shard) && this.input.mayReserve(job))
      this.packReservation(demand);
    this.unplaced.push(demand);
  }

  /** Packs the gang on the machines that its shard controller reserves: these are then neither moved nor released. */
  private packReservation(demand: PendingDemand): void {
    this.shardsWithReservation.add(demand.shard);
    this.reservingGangs.add(demand);
    demand.tasks -= this.packing.fillOwnMachines(demand, demand.spec.tasks);
  }

  /** The order in which demands get spare machines: by priority, then by the team's dominant share, lowest first. */
  private sortUnplaced(): void {
    const { totals } = this.input;
    this.unplaced.sort(
      ({ spec: a }, { spec: b }) =>
        PRIORITY_RANK[a.priority] - PRIORITY_RANK[b.priority] ||
        totals.dominantShareOf(a.team) - totals.dominantShareOf(b.team),
    );
  }

  private packAnywhere(demand: PendingDemand): void {
    if (demand.spec.kind === 'gang' && !this.reservingGangs.has(demand)) {
      const gangZone = this.packing.rentableGangZone(demand);
      if (gangZone === null) {
        this.packing.unmet.push({ demand, tasks: demand.tasks });
        return;
      }
      demand.zone = gangZone.zone;
    }
    this.packing.fillOrRent(demand);
  }

  /** Packs headroom on machines of any shard, since a machine changes its shard when it is needed. */
  private packHeadroom(headroom: Headroom): void {
    const { spec, limitedByQuota } = headroom;
    const shard = this.input.shardByTeam.get(spec.team);
    if (shard === undefined) return;
    const demand = demandOfHeadroom(headroom, shard);
    if (limitedByQuota) {
      demand.tasks = Math.min(demand.tasks, this.quota.tasksWithinQuota(spec));
      this.quota.accept(spec, demand.tasks);
    }
    demand.tasks -= this.packing.fillAnyMachines(demand);
    this.packing.fillOrRent(demand);
  }

  /**
   * The moves of machines in use while neither the fleet nor the cloud has machines for all tasks: machines reclaimed
   * for higher priorities, or those that rebalance shards if there is nothing to reclaim.
   */
  private *movesDuringShortage(): Steps<BinMove[]> {
    const { bins, unmet } = this.packing;
    if (unmet.length === 0) return [];
    const reclaimed = yield* reclaimMachines(this.input, bins, unmet);
    return reclaimed.length > 0 ? reclaimed : yield* rebalanceShards(this.input, bins, this.unplaced);
  }
}

function pendingJobsInOrder({ jobs, shardByTeam, totals, order }: ScalingInput): JobRecord[] {
  return [...jobs]
    .filter((job) => job.phase === 'active' && shardByTeam.has(job.spec.team))
    .sort(compareJobs({ ...order, hasTasks: (id) => totals.allocationsByJob.has(id) }));
}
