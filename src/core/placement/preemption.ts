/**
 * Chooses the tasks to stop for a job that finds no room: tasks of lower priority, and, for a job within its team's
 * guarantee, tasks that another team runs beyond its own. The tasks that lose least go first.
 */
import { allowsMachine, maxTasksPerZone } from '../jobs/feasibility.js';
import type { Team } from '../model/cluster.js';
import type { JobId, TeamName, Zone } from '../model/ids.js';
import { PRIORITY_RANK, type JobRecord, type JobSpec } from '../model/jobs.js';
import type { Allocation, MachineRecord } from '../model/machines.js';
import { addResources, fitsWithin } from '../model/resources.js';
import type { AllocationTotals } from '../state/allocation-totals.js';
import { isBeyondGuarantee, isWithinGuarantee } from './guarantees.js';
import { preemptionCost } from './preemption-cost.js';

const NO_TASKS_PER_ZONE: ReadonlyMap<Zone, number> = new Map();

/** What the choice of tasks to stop needs to know. */
export interface PreemptionInput {
  readonly job: JobSpec;
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  readonly machines: readonly MachineRecord[];
  readonly totals: AllocationTotals;
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** Whether room on the machine is being made for another job already. */
  readonly isClaimed: (machine: MachineRecord) => boolean;
}

/** A machine on which the job fits once the victims are gone. */
export interface PreemptionChoice {
  readonly machine: MachineRecord;
  readonly victims: readonly Allocation[];
}

/** A choice and what it loses, roughly in seconds of one task's run. */
interface CostedChoice extends PreemptionChoice {
  readonly cost: number;
}

/** The machine on which one task of the job fits at the lowest cost; null if there is none. */
export function selectVictims(input: PreemptionInput): PreemptionChoice | null {
  const { job, totals, teams } = input;
  const isEntitled = isWithinGuarantee(teams.get(job.team), totals, job, 1);
  const tasksPerZone = totals.jobs.get(job.id)?.tasksPerZone ?? NO_TASKS_PER_ZONE;
  let best: CostedChoice | null = null;
  for (const machine of input.machines) {
    if (!allowsMachine(job, machine) || input.isClaimed(machine)) continue;
    if (!allowsZone(job, machine.zone, tasksPerZone)) continue;
    const choice = cheapestVictimsOn(machine, input, isEntitled);
    if (choice !== null && choice.cost < (best?.cost ?? Number.POSITIVE_INFINITY)) best = choice;
  }
  return best;
}

/** Whether one more task of the job may run in the zone, given the zones of its others. */
function allowsZone(job: JobSpec, zone: Zone, tasksPerZone: ReadonlyMap<Zone, number>): boolean {
  if ((tasksPerZone.get(zone) ?? 0) >= maxTasksPerZone(job)) return false;
  return !job.oneZone || tasksPerZone.size === 0 || tasksPerZone.has(zone);
}

/** The cheapest allocations whose end makes room for one task; null if none are needed or they are not enough. */
function cheapestVictimsOn(
  machine: MachineRecord,
  input: PreemptionInput,
  isEntitled: boolean,
): CostedChoice | null {
  const { job, jobs, totals } = input;
  const byCost = machine.placed
    .filter((allocation) => isPreemptible(allocation, input, isEntitled))
    .flatMap(separableParts)
    .map((allocation) => ({ allocation, cost: preemptionCost(allocation, jobs.get(allocation.job)) }))
    .sort((a, b) => a.cost - b.cost);
  const victims: Allocation[] = [];
  let free = totals.freeByMachine.get(machine.name)!;
  let totalCost = 0;
  for (const { allocation, cost } of byCost) {
    if (fitsWithin(job.demand, free)) break;
    free = addResources(free, allocation.demand, allocation.tasks.length);
    totalCost += cost;
    victims.push(allocation);
  }
  if (victims.length === 0 || !fitsWithin(job.demand, free)) return null;
  return { machine, victims, cost: totalCost };
}

function isPreemptible(allocation: Allocation, input: PreemptionInput, isEntitled: boolean): boolean {
  const { job, teams, totals } = input;
  if (allocation.stop === true || allocation.kind === 'service' || allocation.job === job.id) return false;
  if (PRIORITY_RANK[allocation.priority] > PRIORITY_RANK[job.priority]) return true;
  if (!isEntitled || allocation.team === job.team) return false;
  return isBeyondGuarantee(teams.get(allocation.team), totals);
}

/** Tasks of an array can be stopped one by one; those of a gang only together. */
function separableParts(allocation: Allocation): Allocation[] {
  if (allocation.kind !== 'array') return [allocation];
  return allocation.tasks.map((index) => ({ ...allocation, tasks: [index] }));
}
