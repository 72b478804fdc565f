/** Decides which recorded tasks should run, and why others should stop. */
import { isDone } from '../jobs/done-tasks.js';
import type { JobId, TaskIndex } from '../model/ids.js';
import type { JobRecord } from '../model/jobs.js';
import type { Allocation } from '../model/machines.js';
import type { AllocationTotals } from '../state/allocation-totals.js';

/** The recorded jobs and allocations, with which the tasks on machines are reconciled. */
export interface DesiredState {
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  readonly totals: AllocationTotals;
}

/**
 * Why a task should not be on its machine: its job has ended, is being cancelled or has a result for the task; its
 * allocation, or another one of its gang, is being stopped; or its gang lacks tasks of the same attempt.
 */
export type StopReason = 'job_ended' | 'cancelled' | 'task_done' | 'stopping' | 'gang_broken';

/** The reason why the task should not be on its machine; null if it should. */
export function stopReasonFor(
  allocation: Allocation,
  index: TaskIndex,
  desired: DesiredState,
): StopReason | null {
  const job = desired.jobs.get(allocation.job);
  if (job === undefined) return 'job_ended';
  if (job.phase === 'cancelling') return 'cancelled';
  if (isDone(job.done, index)) return 'task_done';
  if (allocation.kind === 'gang') {
    const allocations = desired.totals.allocationsByJob.get(allocation.job);
    // An attempt of a gang runs as a whole or not at all: a task without the others would only wait for them.
    const tasks = allocations?.tasksPerAttempt.get(allocation.attempt) ?? 0;
    if (tasks < job.spec.tasks) return 'gang_broken';
    if ((allocations?.stoppingAllocations ?? 0) > 0) return 'stopping';
  }
  return allocation.stop === true ? 'stopping' : null;
}
