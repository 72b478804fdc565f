/** The working state of a scaling plan: bins that are filled with pending tasks, and the moves and rentals that this takes. */
import { addToCount } from '../collections.js';
import { allowsMachine, maxTasksPerZone, zoneChoices } from '../jobs/feasibility.js';
import type { Zone } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import { addResources, tasksThatFit, type ResourceVector } from '../model/resources.js';
import { existingBins, isUp, candidateBins, rentalBin } from './packing-bins.js';
import { chooseRentalOption, rentalOptions } from './rental-options.js';
import type {
  BinMove,
  MachineMove,
  PackingBin,
  PendingDemand,
  RentalRequest,
  ScalingInput,
  ScalingPlan,
  UnmetDemand,
} from './scaling-types.js';

/** Parts of a bin's score, by how much they weigh: each is more than those below it together. */
const SCORE_MATCHING_BILLING_KIND = 16;
const SCORE_IN_USE = 8;
const SCORE_UP = 4;
const SCORE_BOOTING = 2;

/** Whether a bin may be used at all; the constraints of the job are checked beside it. */
type BinFilter = (bin: PackingBin) => boolean;

/** The zone where a gang lacks the fewest places; `zone` is null for a gang that may be spread over all zones. */
export interface GangZone {
  readonly zone: Zone | null;
  /** Tasks of the gang for which there is no place yet. */
  readonly missingTasks: number;
}

/** Packs tasks into bins and records the moves, rentals and unmet demands that follow. */
export class PackingState {
  /** All bins that exist before the plan. */
  readonly bins: readonly PackingBin[];
  /** Tasks that neither the fleet nor the cloud has machines for. */
  readonly unmet: UnmetDemand[] = [];
  /** Bins that can take tasks of the demands, followed by those that the plan rents. */
  private readonly candidates: PackingBin[];
  /** Zones in which some machine type is offered. */
  private readonly zones: readonly Zone[];
  private readonly machinesPerZone = new Map<Zone, number>();
  private readonly moves: MachineMove[] = [];
  private readonly rentals: RentalRequest[] = [];

  /** Starts from the usable machines and the rentals under way; `demands` are those that will be packed. */
  constructor(
    private readonly input: ScalingInput,
    demands: readonly ResourceVector[],
  ) {
    this.bins = existingBins(input);
    for (const { zone } of this.bins) addToCount(this.machinesPerZone, zone, 1);
    this.candidates = candidateBins(this.bins, demands);
    this.zones = [...new Set(input.types.flatMap((type) => type.zones))];
  }

  /** Packs up to `maxTasks` of the demand on machines of its own shard that are up; returns how many. */
  fillOwnMachines(demand: PendingDemand, maxTasks: number): number {
    return this.fill(demand, maxTasks, (bin) => bin.shard === demand.shard && isUp(bin));
  }

  /** Packs as many of the demand's tasks as fit on machines of any shard; returns how many. */
  fillAnyMachines(demand: PendingDemand): number {
    return this.fill(demand, demand.tasks, () => true);
  }

  /**
   * Packs the demand's tasks on machines of its shard, then on spare machines of other shards, which it takes over, then
   * on booting ones, and rents machines for the rest. What cannot be rented is recorded as unmet.
   */
  fillOrRent(demand: PendingDemand): void {
    const { shard } = demand;
    let left = demand.tasks - this.fillOwnMachines(demand, demand.tasks);
    left -= this.fill(
      demand,
      left,
      (bin) => bin.shard !== shard && this.isSpare(bin),
      (bin) => {
        this.moveMachine({ bin, to: shard });
      },
    );
    left -= this.fill(demand, left, (bin) => bin.shard === shard);
    if (left > 0) this.rent(demand, left);
  }

  /** The zone for a gang among the machines of its shard that are up, whatever is missing there. */
  ownGangZone({ spec, shard }: PendingDemand): GangZone | null {
    return this.gangZone(spec, (bin) => bin.shard === shard && isUp(bin), { mustRentMissing: false });
  }

  /** The zone for a gang with machines of its own and spare ones; null where the rest of it cannot be rented anywhere. */
  rentableGangZone({ spec, shard }: PendingDemand): GangZone | null {
    return this.gangZone(spec, (bin) => bin.shard === shard || this.isSpare(bin), { mustRentMissing: true });
  }

  /** Records that the machine changes its shard. */
  moveMachine({ bin, to }: BinMove): void {
    bin.shard = to;
    this.moves.push({ machine: bin.machine!, to });
  }

  /** The plan so far, with the release of idle machines that it has no tasks for. */
  result(): ScalingPlan {
    return { moves: this.moves, rentals: this.rentals, releases: this.machinesToRelease() };
  }

  /** Rents machines for so many tasks of the demand, one by one, and packs the tasks on them. */
  private rent(demand: PendingDemand, tasks: number): void {
    const { spec, shard } = demand;
    const options = rentalOptions(spec, this.input);
    let left = tasks;
    while (left > 0) {
      const option = chooseRentalOption(options, demand, this.machinesPerZone);
      if (option === null) {
        this.unmet.push({ demand, tasks: left });
        return;
      }
      const rented = rentalBin(option, shard);
      this.rentals.push({ type: rented.type, zone: rented.zone, spot: rented.spot, shard });
      addToCount(this.machinesPerZone, rented.zone, 1);
      this.candidates.push(rented);
      left -= this.fill(demand, left, (bin) => bin === rented);
    }
  }

  /**
   * Packs up to `maxTasks` of the demand on the bins that the filter admits, those with the highest score first. Calls
   * `onUse` with each bin before it is used. Returns the number of tasks packed.
   */
  private fill(
    demand: PendingDemand,
    maxTasks: number,
    isAdmitted: BinFilter,
    onUse?: (bin: PackingBin) => void,
  ): number {
    if (maxTasks <= 0) return 0;
    let left = maxTasks;
    for (const bin of this.binsByScore(demand, isAdmitted)) {
      if (left === 0) break;
      const tasks = Math.min(
        left,
        placesOn(bin, demand.spec, demand.zone),
        tasksAllowedInZone(demand, bin.zone),
      );
      if (tasks <= 0) continue;
      onUse?.(bin);
      pack(demand, bin, tasks);
      left -= tasks;
    }
    return maxTasks - left;
  }

  private binsByScore(demand: PendingDemand, isAdmitted: BinFilter): PackingBin[] {
    const { spec, zone } = demand;
    const bins = this.candidates.filter(
      (bin) => isAdmitted(bin) && !isLeftToGangs(bin, demand) && placesOn(bin, spec, zone) > 0,
    );
    if (bins.length <= 1) return bins;
    const scores = new Map(bins.map((bin) => [bin, scoreOf(bin, spec)]));
    return bins.sort((a, b) => scores.get(b)! - scores.get(a)!);
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

  /** Tasks of the gang that do not fit on the bins that the filter admits in the zone. */
  private missingTasks(spec: JobSpec, zone: Zone | null, isAdmitted: BinFilter): number {
    let missing = spec.tasks;
    for (const bin of this.candidates) {
      if (missing <= 0) break;
      if (isAdmitted(bin)) missing -= placesOn(bin, spec, zone);
    }
    return Math.max(0, missing);
  }

  private isRentable(spec: JobSpec, zone: Zone | null): boolean {
    return rentalOptions(spec, this.input).some((option) => zone === null || option.zone === zone);
  }

  /** The machine is up and its shard does not need it for tasks of this plan. */
  private isSpare(bin: PackingBin): boolean {
    return isUp(bin) && bin.plannedTasks === 0 && this.input.isMovable(bin.machine);
  }

  private machinesToRelease(): MachineRecord[] {
    const machines: MachineRecord[] = [];
    for (const { machine, isEmpty, plannedTasks } of this.candidates)
      if (machine !== null && isEmpty && plannedTasks === 0 && this.input.isIdle(machine))
        machines.push(machine);
    return machines;
  }
}

/** How many tasks of the job the bin can take in the zone; `zone` null admits every zone. */
function placesOn(bin: PackingBin, spec: JobSpec, zone: Zone | null): number {
  if (!allowsMachine(spec, bin)) return 0;
  if (zone !== null && zone !== bin.zone) return 0;
  return tasksThatFit(spec.demand, bin.free);
}

/** How many more tasks the job's spread rule allows in the zone. */
function tasksAllowedInZone({ spec, tasksPerZone }: PendingDemand, zone: Zone): number {
  return maxTasksPerZone(spec) - (tasksPerZone.get(zone) ?? 0);
}

function isLeftToGangs(bin: PackingBin, demand: PendingDemand): boolean {
  return demand.leavesWholeMachinesToGangs && bin.machine !== null && bin.isEmpty && !bin.spot;
}

/** Bins with a higher score are filled first: of the job's billing kind, in use already, up rather than booting. */
function scoreOf(bin: PackingBin, spec: JobSpec): number {
  let score = 0;
  if (bin.spot === spec.spot) score += SCORE_MATCHING_BILLING_KIND;
  if (!bin.isEmpty || bin.plannedTasks > 0) score += SCORE_IN_USE;
  if (isUp(bin)) score += SCORE_UP;
  else if (bin.machine !== null) score += SCORE_BOOTING;
  return score;
}

function pack(demand: PendingDemand, bin: PackingBin, tasks: number): void {
  const { spec, tasksPerZone } = demand;
  bin.free = addResources(bin.free, spec.demand, -tasks);
  bin.plannedTasks += tasks;
  addToCount(tasksPerZone, bin.zone, tasks);
  // The first task of a job whose tasks must share a zone decides which one.
  if (spec.oneZone) demand.zone ??= bin.zone;
}
