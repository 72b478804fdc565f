/** Which bins a demand of a scaling plan may be packed into, how much of it, and in which order. */
import { allowsMachine, maxTasksPerZone } from '../jobs/feasibility.js';
import type { Zone } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import { isUp, tasksThatFitInto } from './packing-bins.js';
import type { PackingBin, PendingDemand } from './scaling-types.js';

/** The parts of a bin's score: each is more than the sum of those below it. */
const SCORE_MATCHING_BILLING_KIND = 16;
const SCORE_IN_USE = 8;
const SCORE_UP = 4;
const SCORE_BOOTING = 2;

/** How many tasks of the job fit into the bin; 0 if the bin is outside `zone`, where null admits every zone. */
export function taskCapacityOf(bin: PackingBin, spec: JobSpec, zone: Zone | null): number {
  if (!allowsMachine(spec, bin)) return 0;
  if (zone !== null && zone !== bin.zone) return 0;
  return tasksThatFitInto(bin, spec);
}

/** How many more tasks the job's spread rule allows in the zone. */
export function tasksAllowedInZone({ spec, tasksPerZone }: PendingDemand, zone: Zone): number {
  return maxTasksPerZone(spec) - (tasksPerZone.get(zone) ?? 0);
}

/** Whether the demand must leave the bin, an empty on-demand machine, to gangs. */
export function isLeftToGangs(bin: PackingBin, demand: PendingDemand): boolean {
  return demand.leavesWholeMachinesToGangs && bin.machine !== null && bin.isEmpty && !bin.spot;
}

/**
 * The bin's score for the job; bins with a higher score are filled first. It prefers bins of the job's billing kind,
 * then bins in use, then machines that are up, then booting machines over rentals.
 */
export function scoreOf(bin: PackingBin, spec: JobSpec): number {
  let score = 0;
  if (bin.spot === spec.spot) score += SCORE_MATCHING_BILLING_KIND;
  if (!bin.isEmpty || bin.plannedTasks > 0) score += SCORE_IN_USE;
  if (isUp(bin)) score += SCORE_UP;
  else if (bin.machine !== null) score += SCORE_BOOTING;
  return score;
}
