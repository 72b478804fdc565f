/** Placement of arrays and services, one task at a time. */
import { requiredZone } from '../jobs/feasibility.js';
import type { Zone } from '../model/ids.js';
import type { JobRecord } from '../model/jobs.js';
import type { PlacementState } from './placement-state.js';
import type { PlacementOutcome } from './placement-types.js';

const NO_TASKS_PER_ZONE: ReadonlyMap<Zone, number> = new Map();

/**
 * Places the next unfinished task of an array or service; `share` is the weighted dominant share of its team.
 */
export function placeNextTask(state: PlacementState, job: JobRecord, share: number): PlacementOutcome {
  const { spec } = job;
  const { input } = state;
  const index = state.nextTaskOf(job);
  if (index === null) return 'no_tasks_left';
  const allocations = input.totals.allocationsByJob.get(spec.id);
  if (allocations !== undefined && input.isFailingEverywhere(job)) return 'failing';
  if (!input.totals.isWithinQuota(spec.team, spec.demand, 1)) return 'team_limit';

  const tasksPerZone = allocations?.tasksPerZone ?? NO_TASKS_PER_ZONE;
  const choice = state.bestMachineFor(job, { zone: requiredZone(spec, tasksPerZone), tasksPerZone });
  if (choice === null) return 'no_room';
  state.recordPlacement({ ...choice, spec, indexes: [index], attempt: state.attemptOf(spec.id), share });
  return 'placed';
}
