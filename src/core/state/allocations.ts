/**
 * Changes to the allocations in machine records. An allocation has tasks of one job that share an attempt.
 */
import type { TaskExit } from '../agents/confirmed-exits.js';
import { taskKey } from '../agents/task-key.js';
import type { Attempt, TaskIndex } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { Allocation } from '../model/machines.js';

/** Creates the allocation of a machine's record for tasks of a job. */
export function allocationFor(spec: JobSpec, attempt: Attempt, tasks: readonly TaskIndex[]): Allocation {
  return {
    job: spec.id,
    team: spec.team,
    kind: spec.kind,
    priority: spec.priority,
    demand: spec.demand,
    attempt,
    tasks,
  };
}

/**
 * The allocations of a machine with one added; it is merged into an existing one of the same job and attempt.
 */
export function addAllocation(allocations: readonly Allocation[], added: Allocation): Allocation[] {
  const result = [...allocations];
  const position = result.findIndex((allocation) => canMerge(allocation, added));
  if (position < 0) {
    result.push(added);
    return result;
  }
  const existing = result[position]!;
  result[position] = { ...existing, tasks: [...existing.tasks, ...added.tasks] };
  return result;
}

/** The allocations of a machine without the tasks that have exited. */
export function removeExits(allocations: readonly Allocation[], exits: readonly TaskExit[]): Allocation[] {
  const exited = new Set(
    exits.map((exit) => taskKey(exit.allocation.job, exit.index, exit.allocation.attempt)),
  );
  const remaining: Allocation[] = [];
  for (const allocation of allocations) {
    const { job, attempt } = allocation;
    const tasks = allocation.tasks.filter((index) => !exited.has(taskKey(job, index, attempt)));
    if (tasks.length === allocation.tasks.length) remaining.push(allocation);
    else if (tasks.length > 0) remaining.push({ ...allocation, tasks });
  }
  return remaining;
}

const canMerge = (a: Allocation, b: Allocation): boolean =>
  a.job === b.job && a.attempt === b.attempt && a.stop === b.stop;

/**
 * The allocations of a machine with the victims' tasks marked as stopping; one that stops in part is split.
 */
export function markStopping(
  allocations: readonly Allocation[],
  victims: readonly Allocation[],
): Allocation[] {
  return allocations.flatMap((allocation) => {
    const stopping = victimTasks(allocation, victims);
    const remaining = allocation.tasks.filter((index) => !stopping.has(index));
    if (allocation.stop === true || remaining.length === allocation.tasks.length) return [allocation];
    const stoppingPart = {
      ...allocation,
      tasks: allocation.tasks.filter((index) => stopping.has(index)),
      stop: true,
    };
    return remaining.length === 0 ? [stoppingPart] : [{ ...allocation, tasks: remaining }, stoppingPart];
  });
}

function victimTasks(allocation: Allocation, victims: readonly Allocation[]): ReadonlySet<TaskIndex> {
  const { job, attempt } = allocation;
  const matching = victims.filter((victim) => victim.job === job && victim.attempt === attempt);
  return new Set(matching.flatMap(({ tasks }) => tasks));
}
