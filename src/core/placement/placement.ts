/**
 * Best-Fit DRFH over the machines of one controller: the waiting team with the lowest weighted dominant share
 * is served next, its task goes to the fitting machine with the lowest H, and a gang starts as a whole or not
 * at all.
 */
import type { JobRecord } from '../model/jobs.js';
import { placeGang, reserveForGang } from './gang-placement.js';
import { nextTeam } from './placement-queues.js';
import { PlacementState } from './placement-state.js';
import type { PlacementInput, PlacementOutcome, PlacementResult } from './placement-types.js';
import { placeNextTask } from './task-placement.js';

/** Runs one placement pass. The totals are changed during the pass and restored before it returns. */
export function placeTasks(input: PlacementInput): PlacementResult {
  const state = new PlacementState(input);
  while (!state.isComplete()) {
    const team = nextTeam(state.queues.keys(), input.totals);
    if (team === null) break;
    const queue = state.queues.get(team)!;
    serveTeam(state, queue, input.totals.dominantShareOf(team));
    if (queue.length === 0) state.queues.delete(team);
  }
  return state.finish();
}

/**
 * Places one task or gang of a team whose weighted dominant share is given. Removes jobs that have to wait or
 * have no tasks left from the queue; it is empty where nothing can be placed.
 */
function serveTeam(state: PlacementState, queue: JobRecord[], share: number): void {
  for (let job = queue[0]; job !== undefined && !state.isComplete(); job = queue[0]) {
    const isGang = job.spec.kind === 'gang';
    const outcome = isGang ? placeGang(state, job, share) : placeNextTask(state, job, share);
    if (outcome !== 'placed' && outcome !== 'no_tasks_left') state.recordWait(job.spec.id, outcome);
    if (outcome !== 'placed' || isGang) {
      queue.shift();
      state.endSearch(job.spec.id);
    }
    if (outcome === 'placed') return;
    if (isGang) protectPendingGang(state, job, outcome, queue);
  }
}

/** Keeps smaller jobs from starving a gang that is next in its team's order and could not be placed. */
function protectPendingGang(
  state: PlacementState,
  gang: JobRecord,
  outcome: PlacementOutcome,
  queue: JobRecord[],
): void {
  const { spec } = gang;
  const { input } = state;
  if (outcome === 'no_room' && !state.hasReservation && input.mayReserve(gang)) reserveForGang(state, spec);
  if (outcome === 'team_limit' && input.totals.willFitQuota(spec.team, spec.demand, spec.tasks))
    holdBackJobsBehindGang(state, queue);
}

/** Removes all jobs but the starving ones from the queue behind a gang that waits for its team's quota. */
function holdBackJobsBehindGang(state: PlacementState, queue: JobRecord[]): void {
  for (const job of queue.splice(0)) {
    if (state.input.isStarving(job)) queue.push(job);
    else state.recordWait(job.spec.id, 'behind_gang');
  }
}
