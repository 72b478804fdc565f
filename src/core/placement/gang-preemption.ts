/**
 * Chooses the machines on which a whole gang fits once tasks of the lowest priority are stopped. Only those give way:
 * a gang takes whole machines, and many at once.
 */
import { allowsMachine, zoneChoices } from '../jobs/feasibility.js';
import type { Zone } from '../model/ids.js';
import { PRIORITY_RANK } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import { addResources, tasksThatFit } from '../model/resources.js';
import { preemptionCost } from './preemption-cost.js';
import type { PreemptionChoice, PreemptionInput } from './preemption.js';

/** Tasks of a gang that one machine can take, now or once the victims are gone, and what stopping them loses. */
interface GangMachine extends PreemptionChoice {
  readonly capacityTasks: number;
  readonly cost: number;
}

/** The machines of a shard on which the gang fits at the lowest cost; null if there are not enough. */
export function selectGangVictims(input: PreemptionInput): PreemptionChoice[] | null {
  const { job } = input;
  if (PRIORITY_RANK[job.priority] >= PRIORITY_RANK.normal) return null;
  const allowed = input.machines.filter(
    (machine) => allowsMachine(job, machine) && !input.isClaimed(machine),
  );
  const byCost = allowed
    .map((machine) => gangMachine(machine, input))
    .filter(({ capacityTasks }) => capacityTasks > 0)
    .sort((a, b) => a.cost / a.capacityTasks - b.cost / b.capacityTasks);
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

/** What the machine offers to the gang; no victims where stopping them would fit no further task. */
function gangMachine(machine: MachineRecord, { job, jobs, totals }: PreemptionInput): GangMachine {
  const free = totals.freeByMachine.get(machine.name)!;
  const victims = machine.placed.filter(
    ({ priority, kind, stop }) => priority === 'low' && kind === 'array' && stop !== true,
  );
  const freeAfter = victims.reduce((sum, { demand, tasks }) => addResources(sum, demand, tasks.length), free);
  const tasksNow = tasksThatFit(job.demand, free);
  const tasksAfter = tasksThatFit(job.demand, freeAfter);
  if (tasksAfter <= tasksNow) return { machine, victims: [], capacityTasks: tasksNow, cost: 0 };
  const cost = victims.reduce((sum, victim) => sum + preemptionCost(victim, jobs.get(victim.job)), 0);
  return { machine, victims, capacityTasks: tasksAfter, cost };
}

/** The first machines of the zone (null: of all zones) that together take all tasks; null if there are not enough. */
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
    tasksLeft -= candidate.capacityTasks;
  }
  return tasksLeft <= 0 ? chosen : null;
}
