/** Which machines change slice with low-priority work on them, for work of higher priority that the cloud has no room for. */
import type { PackingBin, ScalingInput, UnmetDemand } from './scaling-types.js';
import { allowsMachineType } from '../jobs/feasibility.js';
import type { NodeName, Zone } from '../model/ids.js';
import { PRIORITY_RANK } from '../model/jobs.js';
import type { Allocation } from '../model/machines.js';
import { tasksThatFit } from '../model/resources.js';

/** Moves cost changes of the state service, and a plan is made every second or so. */
const MAX_RECLAIMED_PER_PLAN = 6;

/** Whether the machine runs nothing but low-priority tasks that end by themselves: whoever owns it may stop them. */
const isReclaimable = (placed: readonly Allocation[]): boolean =>
  placed.length > 0 && placed.every((p) => p.kind === 'array' && p.priority === 'low');

/**
 * Machines to move so that their new owner can stop what is on them, which only an owner may. Without it the background
 * work of a team without a guarantee kept whole machines for minutes that gangs of high priority waited for.
 */
export function reclaimMachines(
  input: ScalingInput,
  bins: readonly PackingBin[],
  refused: readonly UnmetDemand[],
): { bin: PackingBin; to: NodeName }[] {
  const types = new Map(input.types.map((t) => [t.name, t]));
  const out: { bin: PackingBin; to: NodeName }[] = [];
  for (const { demand, tasks } of refused) {
    const { spec, shard } = demand;
    if (PRIORITY_RANK[spec.priority] >= PRIORITY_RANK.normal) continue;
    const places = (b: PackingBin): number => {
      if (b.shard === shard || b.machine?.phase !== 'up' || !input.isMovable(b.machine)) return 0;
      if (!isReclaimable(b.machine.placed) || out.some((x) => x.bin === b)) return 0;
      if (!allowsMachineType(spec, b.type) || (b.spot && !spec.spot) || (spec.zone ?? b.zone) !== b.zone)
        return 0;
      return tasksThatFit(spec.demand, types.get(b.type)!.capacity);
    };
    const zone = demand.zone ?? (spec.oneZone ? zoneWithMost(bins, places) : null);
    let left = tasks;
    for (const bin of bins) {
      if (left <= 0 || out.length >= MAX_RECLAIMED_PER_PLAN) break;
      const n = zone === null || bin.zone === zone ? places(bin) : 0;
      if (n === 0) continue;
      out.push({ bin, to: shard });
      left -= n;
    }
  }
  return out;
}

function zoneWithMost(bins: readonly PackingBin[], places: (b: PackingBin) => number): Zone | null {
  const sums = new Map<Zone, number>();
  for (const b of bins) sums.set(b.zone, (sums.get(b.zone) ?? 0) + places(b));
  let best: Zone | null = null;
  for (const [zone, sum] of sums) if (best === null || sum > sums.get(best)!) best = zone;
  return best;
}
