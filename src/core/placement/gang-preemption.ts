/**
 * Chooses the machines on which a whole gang fits once tasks of arrays of the lowest priority are stopped. No
 * other tasks are preempted for a gang, since it takes many whole machines at once.
 */
import { allowsMachine, zoneChoices } from '../jobs/feasibility.js';
import type { Zone } from '../model/ids.js';
import { PRIORITY_RANK } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import { addResources, tasksThatFit } from '../model/resources.js';
import { roomWithout, tasksWithinRoom } from '../records/machine-room.js';
import { preemptionCost } from './preemption-cost.js';
import type { PreemptionChoice, PreemptionInput } from './preemption.js';

/** A machine with the victims to stop there so that it can take tasks of a gang. */
interface GangMachine extends PreemptionChoice {
  /** Number of the gang's tasks that fit once the victims have exited. */
  readonly taskCapacity: number;
  /** Cost of stopping the victims, approximately in seconds of one task's run time. */
  readonly cost: number;
}

/**
 * The machines on which the gang fits at the lowest preemption cost, some of them possibly without victims.
 * Null if there are not enough, or if the gang's priority is not above normal.
 */
export function selectGangVictims(input: PreemptionInput): PreemptionChoice[] | null {
  const { job } = input;
  if (PRIORITY_RANK[job.priority] >= PRIORITY_RANK.normal) return null;
  const allowed = input.machines.filter(
    (machine) => allowsMachine(job, machine) && !input.isClaimed(machine),
  );
  const byCost = allowed
    .map((machine) => gangMachine(machine, input))
    .filter(({ taskCapacity }) => taskCapacity > 0)
    .sort((a, b) => a.cost / a.taskCapacity - b.cost / b.taskCapacity);
  const zones = zoneChoices(
    job,
    allowed.map(({ zone }) => zone),
  );
  let best: GangMachine[] | null = null;
  let bestCost = 0;
  for (const zone of zones) {
    const chosen = cheapestMachinesIn(zone, byCost, job.tasks);
    if (chosen === null) continue;
    const cost = chosen.reduce((sum, machine) => sum + machine.cost, 0);
    if (best !== null && cost >= bestCost) continue;
    best = chosen;
    bestCost = cost;
  }
  return best;
}

/** The machine as an option for the gang; no victims if stopping them makes room for no further task. */
function gangMachine(machine: MachineRecord, { job, jobs, totals, roomOf }: PreemptionInput): GangMachine {
  const free = totals.freeByMachine.get(machine.name)!;
  const victims = machine.placed.filter(
    ({ priority, kind, stop }) => priority === 'low' && kind === 'array' && stop !== true,
  );
  const freeAfter = victims.reduce((sum, { demand, tasks }) => addResources(sum, demand, tasks.length), free);
  const room = roomOf(machine);
  const roomAfter = victims.reduce(roomWithout, room);
  const tasksNow = Math.min(tasksThatFit(job.demand, free), tasksWithinRoom(room, job, false));
  const tasksAfter = Math.min(tasksThatFit(job.demand, freeAfter), tasksWithinRoom(roomAfter, job, false));
  if (tasksAfter <= tasksNow) return { machine, victims: [], taskCapacity: tasksNow, cost: 0 };
  const cost = victims.reduce((sum, victim) => sum + preemptionCost(victim, jobs.get(victim.job)), 0);
  return { machine, victims, taskCapacity: tasksAfter, cost };
}

/** The first machines of the zone (null: of all zones) that together fit all tasks; null if too few. */
function cheapestMachinesIn(
  zone: Zone | null,
  byCost: readonly GangMachine[],
  tasks: number,
): GangMachine[] | null {
  const chosen: GangMachine[] = [];
  let tasksLeft = tasks;
  for (const candidate of byCost) {
    if (tasksLeft <= 0) break;
    if (zone !== null && candidate.machine.zone !== zone) continue;
    chosen.push(candidate);
    tasksLeft -= candidate.taskCapacity;
  }
  return tasksLeft <= 0 ? chosen : null;
}
