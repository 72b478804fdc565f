/** Cost of preempting tasks. */
import type { JobRecord } from '../model/jobs.js';
import type { Allocation } from '../model/machines.js';

/** Time to stop a task and start it again, without the time to save its checkpoint. */
const RESTART_S = 5;
/** Lower bound of the run time that a task without checkpoints loses. */
const MIN_LOST_RUN_S = 30;
/** Additional weight of gangs, whose tasks on all other machines stop and restart, too. */
const GANG_COST_FACTOR = 4;

/**
 * Cost of stopping an allocation, approximately in seconds of one task's run time; 0 if its job is unknown.
 */
export function preemptionCost({ tasks }: Allocation, job: JobRecord | undefined): number {
  if (job === undefined) return 0;
  const { spec } = job;
  const hasCheckpoints = spec.checkpointS > 0;
  const costPerTask = hasCheckpoints ? spec.saveS + RESTART_S : Math.max(MIN_LOST_RUN_S, spec.estimateS / 2);
  return spec.kind === 'gang' ? costPerTask * spec.tasks * GANG_COST_FACTOR : costPerTask * tasks.length;
}
