/**
 * Dominant shares and the fitness H of "Multi-Resource Fair Allocation in Heterogeneous Cloud Computing
 * Systems", Sec. 4 and 5.2, with the GPU as a third resource.
 */
import type { Team } from './cluster.js';
import { CPU, GPU, type ResourceVector } from './resources.js';

/** Each resource of `a` as a share of the fleet's total; a resource the fleet lacks counts as none. */
export function resourceShares(a: ResourceVector, total: ResourceVector): [number, number, number] {
  const s = (i: 0 | 1 | 2) => (total[i] > 0 ? a[i] / total[i] : 0);
  return [s(0), s(1), s(2)];
}

/** The largest of the shares. */
export function dominantShare(demand: ResourceVector, total: ResourceVector): number {
  return Math.max(...resourceShares(demand, total));
}

/** The team's guarantee, in whole units of the resource it is given in; 1 for a team without one. */
export function teamWeight(team: Team): number {
  const most = Math.max(team.guarantee[GPU], team.guarantee[CPU]) / 1_000_000;
  return most > 0 ? most : 1;
}

/**
 * H(i, l) = |D/D1 - c/c1| summed over the resources, D the demand and c the machine's free room, both as
 * shares of the fleet's totals. Index 1 is the CPU, or the dominant resource for a task that asks no CPU.
 */
export function fitness(demand: ResourceVector, free: ResourceVector, total: ResourceVector): number {
  // Called for every machine of a slice and every task: nothing is allocated here.
  let first = CPU as 0 | 1 | 2;
  if (demand[CPU] <= 0 || total[CPU] <= 0)
    for (const r of [1, 2] as const)
      if (total[r] > 0 && (total[first] <= 0 || demand[r] / total[r] > demand[first] / total[first]))
        first = r;
  const d1 = demand[first] / total[first];
  const c1 = free[first] / total[first];
  if (!(d1 > 0 && c1 > 0)) return Number.POSITIVE_INFINITY;
  let h = 0;
  for (let r = 0; r < 3; r++) {
    const t = total[r]!;
    if (t > 0) h += Math.abs(demand[r]! / t / d1 - free[r]! / t / c1);
  }
  return h;
}
