/**
 * Reclaims machines for jobs of higher priority: while the cloud has no machines to rent, machines that run only
 * low-priority arrays are moved to the shard that needs them. They are moved before their tasks are stopped because
 * only the owner of a machine may stop tasks on it.
 */
import { addToCount } from '../collections.js';
import { allowsMachine } from '../jobs/feasibility.js';
import type { TypeName, Zone } from '../model/ids.js';
import { PRIORITY_RANK } from '../model/jobs.js';
import type { Allocation, MachineType } from '../model/machines.js';
import { type Steps } from '../steps.js';
import { isUp, tasksThatFitInto } from './packing-bins.js';
import type { BinMove, PackingBin, PendingDemand, ScalingInput, UnmetDemand } from './scaling-types.js';

/**
 * Limits the changes that one plan makes in the state service. The leader makes a plan about every 0.6 s, more often
 * while jobs or sessions change, and less often while its passes take long.
 */
const MAX_RECLAIMED_PER_PLAN = 6;

/** The moves that reclaim machines for unmet demands above normal priority, at most `MAX_RECLAIMED_PER_PLAN`. */
export function* reclaimMachines(
  input: ScalingInput,
  bins: readonly PackingBin[],
  unmet: readonly UnmetDemand[],
): Steps<BinMove[]> {
  const reclaim = new MachineReclaim(input, bins);
  for (const { demand, tasks } of unmet) {
    if (PRIORITY_RANK[demand.spec.priority] >= PRIORITY_RANK.normal) continue;
    reclaim.reclaimFor(demand, tasks);
    yield;
  }
  return reclaim.moves;
}

/** Collects the machines that one plan reclaims. */
class MachineReclaim {
  readonly moves: BinMove[] = [];
  private readonly types: ReadonlyMap<TypeName, MachineType>;

  constructor(
    private readonly input: ScalingInput,
    private readonly bins: readonly PackingBin[],
  ) {
    this.types = new Map(input.types.map((type) => [type.name, type]));
  }

  /** Reclaims machines until `tasks` tasks of the demand fit, no machine is left, or the plan's limit is reached. */
  reclaimFor(demand: PendingDemand, tasks: number): void {
    const zone = demand.zone ?? (demand.spec.oneZone ? this.zoneWithMostCapacity(demand) : null);
    let left = tasks;
    for (const bin of this.bins) {
      if (left <= 0 || this.moves.length >= MAX_RECLAIMED_PER_PLAN) return;
      if (zone !== null && bin.zone !== zone) continue;
      const taskCapacity = this.taskCapacityOf(bin, demand);
      if (taskCapacity === 0) continue;
      this.moves.push({ bin, to: demand.shard });
      left -= taskCapacity;
    }
  }

  private zoneWithMostCapacity(demand: PendingDemand): Zone | null {
    const taskCapacityPerZone = new Map<Zone, number>();
    for (const bin of this.bins) addToCount(taskCapacityPerZone, bin.zone, this.taskCapacityOf(bin, demand));
    let best: Zone | null = null;
    for (const [zone, taskCapacity] of taskCapacityPerZone)
      if (best === null || taskCapacity > taskCapacityPerZone.get(best)!) best = zone;
    return best;
  }

  /** How many tasks of the demand fit on the machine once its own are stopped; 0 if it cannot be reclaimed. */
  private taskCapacityOf(bin: PackingBin, { spec, shard }: PendingDemand): number {
    if (bin.shard === shard || !isUp(bin) || !this.input.isMovable(bin.machine)) return 0;
    if (!runsOnlyLowPriorityArrays(bin.machine.placed) || this.isReclaimed(bin)) return 0;
    if (!allowsMachine(spec, bin)) return 0;
    const room = this.input.roomOfNewMachine;
    return tasksThatFitInto({ free: this.types.get(bin.type)!.capacity, room }, spec);
  }

  private isReclaimed(bin: PackingBin): boolean {
    return this.moves.some((move) => move.bin === bin);
  }
}

function runsOnlyLowPriorityArrays(allocations: readonly Allocation[]): boolean {
  return allocations.length > 0 && allocations.every((a) => a.kind === 'array' && a.priority === 'low');
}
