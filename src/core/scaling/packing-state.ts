/** The working state of a scaling plan: bins filled with pending tasks, and the moves and rentals this requires. */
import { addToCount } from '../collections.js';
import { zoneChoices } from '../jobs/feasibility.js';
import type { MachineName, NodeName, Zone } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import { fitsWithin, type ResourceVector } from '../model/resources.js';
import { isLeftToGangs, scoreOf, taskCapacityOf, tasksAllowedInZone } from './bin-selection.js';
import { ExhaustedBins, type BinScope } from './exhausted-bins.js';
import {
  candidateBins,
  existingBins,
  isUp,
  packIntoBin,
  rentalBin,
  tasksThatFitInto,
} from './packing-bins.js';
import { chooseRentalOption, rentalOptions } from './rental-options.js';
import type {
  BinMove,
  MachineMove,
  PackingBin,
  PendingDemand,
  RentalOption,
  RentalRequest,
  ScalingInput,
  ScalingPlan,
  UnmetDemand,
} from './scaling-types.js';

/**
 * Machines for one demand are rented in steps of this fraction of those that are still missing, one at a time in the
 * end: the cost of a plan must not grow with the number of machines, and the zones must stay balanced.
 */
const RENTAL_STEP = 1 / 32;
/**
 * Most machines that one plan rents. The cloud rents out a few dozen for each request, so that later plans rent the
 * others long before they could be had.
 */
const MAX_RENTALS_PER_PLAN = 10_000;

/** Whether a bin may be used; the job's constraints are checked separately. */
type BinFilter = (bin: PackingBin) => boolean;

/** The zone in which the fewest tasks of a gang are left without a machine. */
export interface GangZone {
  /** The zone that all tasks share; null for a gang whose tasks may run in different zones. */
  readonly zone: Zone | null;
  /** Number of the gang's tasks that do not fit on the machines considered. */
  readonly missingTasks: number;
}

/** Packs tasks into bins and records the moves, rentals and unmet demands that result. */
export class PackingState {
  /** The bins of all usable machines and of the rentals under way, without those that the plan rents. */
  readonly bins: readonly PackingBin[];
  /** Tasks for which neither the fleet nor the cloud has machines. */
  readonly unmet: UnmetDemand[] = [];
  /** Bins that can take tasks of the demands, followed by those that the plan rents. */
  private readonly candidates: PackingBin[];
  /** Zones in which the cloud offers at least one machine type. */
  private readonly zones: readonly Zone[];
  private readonly machinesPerZone = new Map<Zone, number>();
  /** The plan's moves by machine: each machine is moved at most once, to the shard that needed it last. */
  private readonly moves = new Map<MachineName, MachineMove>();
  private readonly rentals: RentalRequest[] = [];
  /** Bins of the machines that the plan rents, by what makes them equal; see `groupKeyOf`. */
  private readonly rentedGroups = new Map<string, PackingBin>();
  private readonly exhausted = new ExhaustedBins();

  /** Starts from usable machines and rentals under way; `demands` holds what one task of each job needs. */
  constructor(
    private readonly input: ScalingInput,
    demands: readonly ResourceVector[],
  ) {
    this.bins = existingBins(input);
    for (const { zone } of this.bins) addToCount(this.machinesPerZone, zone, 1);
    this.candidates = candidateBins(this.bins, demands);
    this.zones = [...new Set(input.types.flatMap((type) => type.zones))];
  }

  /** Packs up to `maxTasks` tasks of the demand on its shard's machines that are up; returns the number packed. */
  fillOwnMachines(demand: PendingDemand, maxTasks: number): number {
    return this.fill(demand, maxTasks, 'own_up');
  }

  /** Packs as many of the demand's tasks as fit into the bins of all shards; returns the number packed. */
  fillAnyMachines(demand: PendingDemand): number {
    return this.fill(demand, demand.tasks, 'any');
  }

  /**
   * Packs the demand's tasks on machines of its shard that are up, then on spare machines of other shards, which are
   * moved to its shard, then on its shard's booting machines and rentals under way, and rents machines for the rest.
   * Tasks for which no machine can be rented are recorded as unmet.
   */
  fillOrRent(demand: PendingDemand): void {
    const { shard } = demand;
    let left = demand.tasks - this.fillOwnMachines(demand, demand.tasks);
    left -= this.fill(demand, left, 'spare', (bin) => {
      this.moveMachine({ bin, to: shard });
    });
    left -= this.fill(demand, left, 'own');
    if (left > 0) this.rent(demand, left);
  }

  /**
   * The best zone for a gang among the machines of its shard that are up, however many tasks do not fit there; null for
   * a gang bound to one zone if the cloud offers no machine type in any.
   */
  ownGangZone({ spec, shard }: PendingDemand): GangZone | null {
    return this.gangZone(spec, this.filterOf('own_up', shard), { mustRentMissing: false });
  }

  /**
   * The best zone for a gang among the machines of its shard and spare ones of other shards; null if there is no zone
   * in which machines can be rented for the tasks that do not fit.
   */
  rentableGangZone({ spec, shard }: PendingDemand): GangZone | null {
    const isOwn = this.filterOf('own', shard);
    return this.gangZone(spec, (bin) => isOwn(bin) || this.isSpare(bin), { mustRentMissing: true });
  }

  /**
   * Records the move of the bin's machine to another shard, which replaces an earlier move of the plan; a move back to
   * the shard that the machine belongs to cancels it.
   */
  moveMachine({ bin, to }: BinMove): void {
    const machine = bin.machine!;
    bin.shard = to;
    this.exhausted.clear();
    if (machine.owner === to) this.moves.delete(machine.name);
    else this.moves.set(machine.name, { machine, to });
  }

  /** The plan as packed so far; idle machines for which it has no tasks are released. */
  result(): ScalingPlan {
    return { moves: [...this.moves.values()], rentals: this.rentals, releases: this.machinesToRelease() };
  }

  /** Rents machines for `tasks` tasks of the demand and packs the tasks; records those without a machine as unmet. */
  private rent(demand: PendingDemand, tasks: number): void {
    const options = rentalOptions(demand.spec, this.input);
    let left = tasks;
    while (left > 0 && this.rentals.length < MAX_RENTALS_PER_PLAN) {
      const option = chooseRentalOption(options, demand, this.machinesPerZone);
      if (option === null) {
        this.unmet.push({ demand, tasks: left });
        return;
      }
      left -= this.rentStep(demand, option, left);
    }
  }

  /** Rents a part of the machines that `tasks` tasks need; returns the number of tasks packed on them. */
  private rentStep(demand: PendingDemand, option: RentalOption, tasks: number): number {
    const { spec, shard } = demand;
    const room = this.input.roomOfNewMachine;
    const perMachine = tasksThatFitInto({ free: option.type.capacity, room }, spec);
    const missing = Math.ceil(tasks / perMachine);
    const count = Math.max(1, Math.floor(missing * RENTAL_STEP));
    const packed = Math.min(tasks, count * perMachine, tasksAllowedInZone(demand, option.zone));
    const rented = rentalBin(option, shard, room, Math.max(1, Math.ceil(packed / perMachine)));
    const request = { type: rented.type, zone: rented.zone, spot: rented.spot, shard };
    for (let i = 0; i < rented.count; i++) this.rentals.push(request);
    addToCount(this.machinesPerZone, rented.zone, rented.count);
    this.addRented(packIntoBin(rented, spec, packed));
    recordPacked(demand, rented.zone, packed);
    return packed;
  }

  /** Adds bins of machines that the plan rents; those equal to known ones are counted with them. */
  private addRented(bins: readonly PackingBin[]): void {
    this.exhausted.clear();
    for (const bin of bins) {
      const group = this.rentedGroups.get(groupKeyOf(bin));
      if (group === undefined) {
        this.rentedGroups.set(groupKeyOf(bin), bin);
        this.candidates.push(bin);
        continue;
      }
      group.count += bin.count;
      group.plannedTasks += bin.plannedTasks;
    }
  }

  /**
   * Packs up to `maxTasks` tasks of the demand into the bins of the scope, in descending order of score. Calls `onUse`
   * with each bin before tasks are packed into it. Returns the number of tasks packed.
   */
  private fill(
    demand: PendingDemand,
    maxTasks: number,
    scope: BinScope,
    onUse?: (bin: PackingBin) => void,
  ): number {
    if (maxTasks <= 0 || this.exhausted.covers(demand, scope)) return 0;
    const bins = this.binsByScore(demand, scope);
    if (bins.length === 0 && !this.isAnyExcludedByMessages(demand, scope))
      this.exhausted.record(demand, scope);
    let left = maxTasks;
    for (const bin of bins) {
      if (left === 0) break;
      const tasks = Math.min(
        left,
        taskCapacityOf(bin, demand.spec, demand.zone) * bin.count,
        tasksAllowedInZone(demand, bin.zone),
      );
      if (tasks <= 0) continue;
      onUse?.(bin);
      this.pack(demand, bin, tasks);
      left -= tasks;
    }
    return maxTasks - left;
  }

  private pack(demand: PendingDemand, bin: PackingBin, tasks: number): void {
    // What a bin has left is part of its key.
    const key = groupKeyOf(bin);
    if (this.rentedGroups.get(key) === bin) this.rentedGroups.delete(key);
    const parts = packIntoBin(bin, demand.spec, tasks);
    if (bin.machine === null) this.replaceGroup(bin, parts);
    recordPacked(demand, bin.zone, tasks);
  }

  private replaceGroup(group: PackingBin, parts: readonly PackingBin[]): void {
    this.candidates.splice(this.candidates.indexOf(group), 1, ...parts);
    for (const part of parts)
      if (!this.rentedGroups.has(groupKeyOf(part))) this.rentedGroups.set(groupKeyOf(part), part);
  }

  private binsByScore(demand: PendingDemand, scope: BinScope): PackingBin[] {
    const { spec, shard, zone } = demand;
    const isAdmitted = this.filterOf(scope, shard);
    const bins = this.candidates.filter(
      (bin) => isAdmitted(bin) && !isLeftToGangs(bin, demand) && taskCapacityOf(bin, spec, zone) > 0,
    );
    if (bins.length <= 1) return bins;
    const scores = new Map(bins.map((bin) => [bin, scoreOf(bin, spec)]));
    return bins.sort((a, b) => scores.get(b)! - scores.get(a)!);
  }

  /** Whether a bin of the scope has the resources for a task of the demand, but no room in its machine's messages. */
  private isAnyExcludedByMessages({ spec, shard }: PendingDemand, scope: BinScope): boolean {
    const isAdmitted = this.filterOf(scope, shard);
    return this.candidates.some(
      (bin) => isAdmitted(bin) && fitsWithin(spec.demand, bin.free) && tasksThatFitInto(bin, spec) === 0,
    );
  }

  private filterOf(scope: BinScope, shard: NodeName): BinFilter {
    switch (scope) {
      case 'own_up':
        return (bin) => bin.shard === shard && isUp(bin);
      case 'spare':
        return (bin) => bin.shard !== shard && this.isSpare(bin);
      case 'own':
        return (bin) => bin.shard === shard;
      case 'any':
        return () => true;
    }
  }

  private gangZone(
    spec: JobSpec,
    isAdmitted: BinFilter,
    { mustRentMissing }: { mustRentMissing: boolean },
  ): GangZone | null {
    let best: GangZone | null = null;
    for (const zone of zoneChoices(spec, this.zones)) {
      const missingTasks = this.missingTasks(spec, zone, isAdmitted);
      if (missingTasks > 0 && mustRentMissing && !this.isRentable(spec, zone)) continue;
      if (best === null || missingTasks < best.missingTasks) best = { zone, missingTasks };
    }
    return best;
  }

  /** Number of the gang's tasks that do not fit into the admitted bins of the zone; null stands for all zones. */
  private missingTasks(spec: JobSpec, zone: Zone | null, isAdmitted: BinFilter): number {
    let missing = spec.tasks;
    for (const bin of this.candidates) {
      if (missing <= 0) break;
      if (isAdmitted(bin)) missing -= taskCapacityOf(bin, spec, zone) * bin.count;
    }
    return Math.max(0, missing);
  }

  private isRentable(spec: JobSpec, zone: Zone | null): boolean {
    return rentalOptions(spec, this.input).some((option) => zone === null || option.zone === zone);
  }

  /** Whether the machine is up, may be moved and is not needed by its shard for tasks of this plan. */
  private isSpare(bin: PackingBin): boolean {
    return isUp(bin) && bin.plannedTasks === 0 && this.input.isMovable(bin.machine);
  }

  private machinesToRelease(): MachineRecord[] {
    const machines: MachineRecord[] = [];
    for (const { machine, isEmpty, plannedTasks } of this.candidates) {
      if (machine === null || this.moves.has(machine.name)) continue;
      if (isEmpty && plannedTasks === 0 && this.input.isIdle(machine)) machines.push(machine);
    }
    return machines;
  }
}

/** Counts tasks of the demand as packed in the zone. */
function recordPacked(demand: PendingDemand, zone: Zone, tasks: number): void {
  addToCount(demand.tasksPerZone, zone, tasks);
  // The zone of the first packed task binds all further tasks of a job whose tasks must share a zone.
  if (demand.spec.oneZone) demand.zone ??= zone;
}

/** Equal for machines to rent that are interchangeable: same traits, same shard, and as much left of everything. */
function groupKeyOf({ type, zone, spot, shard, free, room }: PackingBin): string {
  return [type, zone, spot, shard, ...free, room.recordBytes, room.reportBytes].join(' ');
}
