/**
 * Comparison of teams' usage with their guarantees, which decides who may preempt and whose tasks may be
 * preempted.
 */
import type { Team } from '../model/cluster.js';
import type { JobSpec } from '../model/jobs.js';
import { CPU, GPU, addResources } from '../model/resources.js';
import type { AllocationTotals } from '../state/allocation-totals.js';

/** Resources that teams can have a guarantee for; memory is never guaranteed. */
const GUARANTEED_RESOURCES = [CPU, GPU] as const;

/**
 * Whether the team has a guarantee for resources that the job needs, and stays within it with `tasks` more
 * tasks of the job.
 */
export function isWithinGuarantee(
  team: Team | undefined,
  totals: AllocationTotals,
  spec: JobSpec,
  tasks: number,
): boolean {
  if (team === undefined) return false;
  const { guarantee } = team;
  const used = addResources(totals.usedBy(team.name), spec.demand, tasks);
  const relevant = GUARANTEED_RESOURCES.filter(
    (resource) => guarantee[resource] > 0 && spec.demand[resource] > 0,
  );
  return relevant.length > 0 && relevant.every((resource) => used[resource] <= guarantee[resource]);
}

/** Whether the team uses more than its guarantee; any use of a team without a guarantee is beyond it. */
export function isBeyondGuarantee(team: Team | undefined, totals: AllocationTotals): boolean {
  if (team === undefined) return true;
  const { guarantee } = team;
  const used = totals.usedBy(team.name);
  if (guarantee.every((amount) => amount === 0)) return used.some((amount) => amount > 0);
  return GUARANTEED_RESOURCES.some(
    (resource) => guarantee[resource] > 0 && used[resource] > guarantee[resource],
  );
}
