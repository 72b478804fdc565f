/**
 * Best-Fit DRFH over the machines of one shard: the waiting team with the lowest weighted dominant share is served
 * next, its task goes to the fitting machine with the least H, and a gang starts as a whole or not at all.
 */
import type { JobRecord } from '../model/jobs.js';
import { placeGang, reserveForGang } from './gang-placement.js';
import { nextTeam } from './placement-queues.js';
import { PlacementState } from './placement-state.js';
import type { PlacementInput, PlacementOutcome, PlacementResult } from './placement-types.js';
import { placeNextTask } from './task-placement.js';

/** Places waiting tasks; the totals are left as they were. */
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

/** Places one task or gang of a team; jobs that have to wait or have no tasks left leave the queue. */
function serveTeam(state: PlacementState, queue: JobRecord[], share: number): void {
  for (let job = queue[0]; job !== undefined; job = queue[0]) {
    const isGang = job.spec.kind === 'gang';
    const outcome = isGang ? placeGang(state, job, share) : placeNextTask(state, job, share);
    if (outcome !== 'placed' && outcome !== 'no_tasks_left') state.recordWait(job.spec.id, outcome);
    if (outcome !== 'placed' || isGang) queue.shift();
    if (outcome === 'placed') return;
    if (isGang) protectWaitingGang(state, job, outcome, queue);
  }
}

/** Keeps smaller work from taking for ever what a gang next in its team's order waits for. */
function protectWaitingGang(
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

/** Removes the jobs behind a gang that waits for its team's quota from the queue, except for starving ones. */
function holdBackJobsBehindGang(state: PlacementState, queue: JobRecord[]): void {
  for (const job of queue.splice(0)) {
    if (state.input.isStarving(job)) queue.push(job);
    else state.recordWait(job.spec.id, 'behind_gang');
  }
}
