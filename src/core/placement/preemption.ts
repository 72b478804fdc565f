/**
 * Chooses the tasks to stop (the victims) for a job that finds no room: tasks of lower priority and, for a
 * job within its team's guarantee, tasks of teams that are beyond theirs. Tasks with the lowest preemption
 * cost are stopped first.
 */
import { allowsMachine, maxTasksPerZone } from '../jobs/feasibility.js';
import type { Team } from '../model/cluster.js';
import type { JobId, TeamName, Zone } from '../model/ids.js';
import { PRIORITY_RANK, type JobRecord, type JobSpec } from '../model/jobs.js';
import type { Allocation, MachineRecord } from '../model/machines.js';
import { addResources, fitsWithin } from '../model/resources.js';
import { roomWithout, tasksWithinRoom, type MachineRoom } from '../records/machine-room.js';
import type { AllocationTotals } from '../state/allocation-totals.js';
import { isBeyondGuarantee, isWithinGuarantee } from './guarantees.js';
import { preemptionCost } from './preemption-cost.js';

const NO_TASKS_PER_ZONE: ReadonlyMap<Zone, number> = new Map();

/** Input of the choice of victims. */
export interface PreemptionInput {
  /** The job to make room for. */
  readonly job: JobSpec;
  /** All unfinished jobs; a victim whose job is not among them costs nothing to stop. */
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  readonly machines: readonly MachineRecord[];
  readonly totals: AllocationTotals;
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** What the machine's record and the heartbeats of its agent have left for further tasks. */
  readonly roomOf: (machine: MachineRecord) => MachineRoom;
  /** Whether room on the machine is already claimed for a job that tasks were stopped for. */
  readonly isClaimed: (machine: MachineRecord) => boolean;
}

/** A machine on which the job fits once the victims have exited. */
export interface PreemptionChoice {
  readonly machine: MachineRecord;
  readonly victims: readonly Allocation[];
}

/** A choice with the cost of stopping its victims, approximately in seconds of one task's run time. */
interface CostedChoice extends PreemptionChoice {
  readonly cost: number;
}

/** The machine on which one task of the job fits at the lowest preemption cost; null if there is none. */
export function selectVictims(input: PreemptionInput): PreemptionChoice | null {
  const { job, totals, teams } = input;
  const isEntitled = isWithinGuarantee(teams.get(job.team), totals, job, 1);
  const tasksPerZone = totals.allocationsByJob.get(job.id)?.tasksPerZone ?? NO_TASKS_PER_ZONE;
  let best: CostedChoice | null = null;
  for (const machine of input.machines) {
    if (!allowsMachine(job, machine) || input.isClaimed(machine)) continue;
    if (!allowsZone(job, machine.zone, tasksPerZone)) continue;
    const choice = cheapestVictimsOn(machine, input, isEntitled);
    if (choice !== null && choice.cost < (best?.cost ?? Number.POSITIVE_INFINITY)) best = choice;
  }
  return best;
}

/** Whether one more task of the job may run in the zone, given the number of its tasks per zone. */
function allowsZone(job: JobSpec, zone: Zone, tasksPerZone: ReadonlyMap<Zone, number>): boolean {
  if ((tasksPerZone.get(zone) ?? 0) >= maxTasksPerZone(job)) return false;
  return !job.oneZone || tasksPerZone.size === 0 || tasksPerZone.has(zone);
}

/**
 * The machine's cheapest victims that together make room for one task of the job. Null if there is room
 * without any, or not enough with all of them.
 */
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
  let room = input.roomOf(machine);
  const isRoomFor = () => fitsWithin(job.demand, free) && tasksWithinRoom(room, job, false) > 0;
  let totalCost = 0;
  for (const { allocation, cost } of byCost) {
    if (isRoomFor()) break;
    free = addResources(free, allocation.demand, allocation.tasks.length);
    room = roomWithout(room, allocation);
    totalCost += cost;
    victims.push(allocation);
  }
  if (victims.length === 0 || !isRoomFor()) return null;
  return { machine, victims, cost: totalCost };
}

/** Whether an allocation may be stopped for the job; `isEntitled`: the job is within its team's guarantee. */
function isPreemptible(allocation: Allocation, input: PreemptionInput, isEntitled: boolean): boolean {
  const { job, teams, totals } = input;
  if (allocation.stop === true || allocation.kind === 'service' || allocation.job === job.id) return false;
  if (PRIORITY_RANK[allocation.priority] > PRIORITY_RANK[job.priority]) return true;
  if (!isEntitled || allocation.team === job.team) return false;
  return isBeyondGuarantee(teams.get(allocation.team), totals);
}

/** Splits an allocation into parts that can be stopped separately: tasks of an array, but not of a gang. */
function separableParts(allocation: Allocation): Allocation[] {
  if (allocation.kind !== 'array') return [allocation];
  return allocation.tasks.map((index) => ({ ...allocation, tasks: [index] }));
}
