/**
 * Dominant shares and the fitness H of "Multi-Resource Fair Allocation in Heterogeneous Cloud Computing
 * Systems", Sec. 4 and 5.2, with the GPU as a third resource.
 */
import type { Team } from './cluster.js';
import { CPU, GPU, MEMORY, MICRO_UNITS, type ResourceVector } from './resources.js';

type ResourceIndex = typeof CPU | typeof MEMORY | typeof GPU;

/** Each amount as a share of the fleet's total; 0 for a resource that the fleet does not have. */
export function resourceShares(amounts: ResourceVector, total: ResourceVector): [number, number, number] {
  const shareOf = (resource: ResourceIndex) =>
    total[resource] > 0 ? amounts[resource] / total[resource] : 0;
  return [shareOf(CPU), shareOf(MEMORY), shareOf(GPU)];
}

/** The largest of the demand's shares of the fleet's totals. */
export function dominantShare(demand: ResourceVector, total: ResourceVector): number {
  return Math.max(...resourceShares(demand, total));
}

/** The team's weight in fair sharing: the larger of its guarantees of GPUs and CPUs, in units; 1 without one. */
export function teamWeight(team: Team): number {
  const weight = Math.max(team.guarantee[GPU], team.guarantee[CPU]) / MICRO_UNITS;
  return weight > 0 ? weight : 1;
}

/**
 * Fitness H(i, l) = |D/D1 - c/c1| summed over the resources, D the demand and c the machine's free resources, both as
 * shares of the fleet's totals. It is 0 for a machine whose free resources have the proportions of the demand, and
 * infinite if the demand or the machine has nothing of the reference resource: the CPU, or the dominant resource of a
 * task that asks for no CPU.
 *
 * Called for every pair of a task and a machine of a shard, therefore it allocates no objects.
 */
export function fitness(demand: ResourceVector, free: ResourceVector, total: ResourceVector): number {
  const reference = referenceResource(demand, total);
  const demandShare = demand[reference] / total[reference];
  const freeShare = free[reference] / total[reference];
  if (!(demandShare > 0 && freeShare > 0)) return Number.POSITIVE_INFINITY;
  let distance = 0;
  for (let resource = 0; resource < 3; resource++) {
    const fleetTotal = total[resource]!;
    if (fleetTotal > 0)
      distance += Math.abs(
        demand[resource]! / fleetTotal / demandShare - free[resource]! / fleetTotal / freeShare,
      );
  }
  return distance;
}

function referenceResource(demand: ResourceVector, total: ResourceVector): ResourceIndex {
  if (demand[CPU] > 0 && total[CPU] > 0) return CPU;
  let dominant: ResourceIndex = CPU;
  for (let resource = MEMORY as ResourceIndex; resource <= GPU; resource++) {
    if (total[resource] <= 0) continue;
    const share = demand[resource] / total[resource];
    if (total[dominant] <= 0 || share > demand[dominant] / total[dominant]) dominant = resource;
  }
  return dominant;
}
