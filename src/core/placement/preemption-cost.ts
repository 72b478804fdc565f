/** What preempting tasks loses. */
import type { JobRecord } from '../model/jobs.js';
import type { Allocation } from '../model/machines.js';

/** Stopping a task and starting it again, beside saving its checkpoint. */
const RESTART_S = 5;
/** The least that a task without checkpoints loses. */
const MIN_LOST_RUN_S = 30;
/** Factor for gangs, whose tasks on all other machines stop and restart, too. */
const GANG_COST_FACTOR = 4;

/** What stopping an allocation loses, roughly in seconds of one task's run. */
export function preemptionCost({ tasks }: Allocation, job: JobRecord | undefined): number {
  if (job === undefined) return 0;
  const { spec } = job;
  const hasCheckpoints = spec.checkpointS > 0;
  const costPerTask = hasCheckpoints ? spec.saveS + RESTART_S : Math.max(MIN_LOST_RUN_S, spec.estimateS / 2);
  return spec.kind === 'gang' ? costPerTask * spec.tasks * GANG_COST_FACTOR : costPerTask * tasks.length;
}
