/** Placement of gangs: all tasks of a gang start together or none does. */
import { addToCount } from '../collections.js';
import { zoneChoices } from '../jobs/feasibility.js';
import type { MachineName, Zone } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import {
  bestMachineFor,
  estimateTaskCapacity,
  type CandidateMachine,
  type MachineChoice,
} from './candidate-machines.js';
import type { PlacementState } from './placement-state.js';
import type { PlacementOutcome } from './placement-types.js';

/** Places all tasks of a gang under one attempt, or none of them if there is no room for all. */
export function placeGang(state: PlacementState, { spec }: JobRecord, share: number): PlacementOutcome {
  const { totals, newAttempt } = state.input;
  if (totals.allocationsByJob.has(spec.id)) return 'old_attempt';
  if (!totals.isWithinQuota(spec.team, spec.demand, spec.tasks)) return 'team_limit';
  const choices = chooseMachines(state, spec);
  if (choices === null) return 'no_room';
  const attempt = newAttempt();
  choices.forEach((choice, index) => {
    state.recordPlacement({ ...choice, spec, index, attempt, share });
  });
  return 'placed';
}

/**
 * Reserves machines for a gang that has waited long: those of the zone with the most machines that fit a
 * task, at most one machine per task. Without a reservation, smaller jobs take each machine as it becomes
 * free and a gang that needs many whole machines starves. Only one gang has a reservation at a time: two
 * could each hold half of the machines that both need, and neither would start.
 */
export function reserveForGang(state: PlacementState, spec: JobSpec): void {
  state.hasReservation = true;
  let best: CandidateMachine[] = [];
  for (const zone of candidateZones(state, spec)) {
    const fitting = state.candidates
      .filter((candidate) => estimateTaskCapacity(candidate, spec, zone, state.input.totals) > 0)
      .slice(0, spec.tasks);
    if (fitting.length > best.length) best = fitting;
  }
  for (const candidate of best) candidate.reservedFor = spec;
}

/**
 * The machine for each task of a gang, in the zone with the lowest total fitness; null if it fits in none.
 */
function chooseMachines(state: PlacementState, spec: JobSpec): MachineChoice[] | null {
  let best: MachineChoice[] | null = null;
  let bestFitness = 0;
  for (const zone of candidateZones(state, spec)) {
    if (!mayFit(state, spec, zone)) continue;
    const choices = chooseMachinesIn(state, spec, zone);
    if (choices === null) continue;
    const totalFitness = choices.reduce((sum, { fitness }) => sum + fitness, 0);
    if (best === null || totalFitness < bestFitness) {
      best = choices;
      bestFitness = totalFitness;
    }
  }
  return best;
}

/**
 * Whether all tasks of the gang may fit in a zone (null: in all zones together), by an estimate that never
 * rules out a zone with enough room. Cheaper than the choice of a machine for each task.
 */
function mayFit({ candidates, input }: PlacementState, spec: JobSpec, zone: Zone | null): boolean {
  let tasks = 0;
  for (const candidate of candidates) {
    tasks += estimateTaskCapacity(candidate, spec, zone, input.totals);
    if (tasks >= spec.tasks) return true;
  }
  return false;
}

/**
 * The machine for each task of a gang in a zone (null: in all zones together); null if they do not all fit.
 */
function chooseMachinesIn(
  { candidates, input }: PlacementState,
  spec: JobSpec,
  zone: Zone | null,
): MachineChoice[] | null {
  const chosenTasks = new Map<MachineName, number>();
  const tasksPerZone = new Map<Zone, number>();
  const request = { spec, zone, chosenTasks, tasksPerZone, leavesWholeMachinesToGangs: false };
  const choices: MachineChoice[] = [];
  while (choices.length < spec.tasks) {
    const choice = bestMachineFor(candidates, input, request);
    if (choice === null) return null;
    const { machine } = choice.candidate;
    choices.push(choice);
    addToCount(chosenTasks, machine.name, 1);
    addToCount(tasksPerZone, machine.zone, 1);
  }
  return choices;
}

/** The zones to try for the gang; null stands for all zones together. */
const candidateZones = ({ candidates }: PlacementState, spec: JobSpec): (Zone | null)[] =>
  zoneChoices(
    spec,
    candidates.map(({ machine }) => machine.zone),
  );
