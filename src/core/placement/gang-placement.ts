/** Placement of gangs: all tasks of a gang start together or none does. */
import { addToCount } from '../collections.js';
import { maxTasksPerZone, zoneChoices } from '../jobs/feasibility.js';
import type { Zone } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import { estimateTaskCapacity, type CandidateMachine } from './candidate-machines.js';
import type { MachineChoice, MachineSearch } from './machine-search.js';
import type { PlacementState } from './placement-state.js';
import type { PlacementOutcome } from './placement-types.js';

/** Part of a large gang's remaining tasks that go to the best machine at once; those of a small gang go one by one. */
const CHOICE_STEP = 1 / 256;

/** Some tasks of a gang on one machine. */
interface GangChoice extends MachineChoice {
  readonly tasks: number;
}

/** Places all tasks of a gang under one attempt, or none of them if there is no room for all. */
export function placeGang(state: PlacementState, { spec }: JobRecord, share: number): PlacementOutcome {
  const { totals, newAttempt } = state.input;
  if (totals.allocationsByJob.has(spec.id)) return 'old_attempt';
  if (!totals.isWithinQuota(spec.team, spec.demand, spec.tasks)) return 'team_limit';
  const choices = chooseMachines(state, spec);
  if (choices === null) return 'no_room';
  const attempt = newAttempt();
  let first = 0;
  for (const { candidate, fitness, tasks } of choices) {
    const indexes = Array.from({ length: tasks }, (_, offset) => first + offset);
    first += tasks;
    state.recordPlacement({ candidate, fitness, spec, indexes, attempt, share });
  }
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
  state.reserve(best, spec);
}

/**
 * The machine for each task of a gang, in the zone with the lowest total fitness; null if it fits in none.
 */
function chooseMachines(state: PlacementState, spec: JobSpec): GangChoice[] | null {
  const zones = candidateZones(state, spec).filter((zone) => mayFit(state, spec, zone));
  if (zones.length === 0) return null;
  const search = state.newSearch(spec);
  let best: GangChoice[] | null = null;
  let bestFitness = 0;
  for (const zone of zones) {
    const choices = chooseMachinesIn(search, spec, zone);
    if (choices === null) continue;
    const totalFitness = choices.reduce((sum, { fitness, tasks }) => sum + fitness * tasks, 0);
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

/** The machines for all tasks of a gang in a zone (null: in all zones together); null if they do not all fit. */
function chooseMachinesIn(search: MachineSearch, spec: JobSpec, zone: Zone | null): GangChoice[] | null {
  const tasksPerZone = new Map<Zone, number>();
  const choices: GangChoice[] = [];
  let left = spec.tasks;
  while (left > 0) {
    const choice = search.best({ zone, tasksPerZone });
    if (choice === null) break;
    const { candidate } = choice;
    const zoneLeft = maxTasksPerZone(spec) - (tasksPerZone.get(candidate.machine.zone) ?? 0);
    const step = Math.max(1, Math.floor(left * CHOICE_STEP));
    const tasks = Math.min(step, search.tasksThatFitOn(candidate), zoneLeft);
    choices.push({ ...choice, tasks });
    search.choose(candidate, tasks);
    addToCount(tasksPerZone, candidate.machine.zone, tasks);
    left -= tasks;
  }
  for (const { candidate, tasks } of choices) search.choose(candidate, -tasks);
  return left > 0 ? null : choices;
}

/** The zones to try for the gang; null stands for all zones together. */
const candidateZones = ({ candidates }: PlacementState, spec: JobSpec): (Zone | null)[] =>
  zoneChoices(
    spec,
    candidates.map(({ machine }) => machine.zone),
  );
