/** Entries of machine records: tasks of one job and one attempt. */
import type { Attempt, TaskIndex } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { Allocation } from '../model/machines.js';

/** The entry of a machine's record for tasks of a job. */
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

/** Adds tasks to what a machine holds; those of one job and attempt stand together. */
export function addAllocation(placed: readonly Allocation[], add: Allocation): Allocation[] {
  const out = [...placed];
  const at = out.findIndex((p) => p.job === add.job && p.attempt === add.attempt && p.stop === add.stop);
  if (at < 0) out.push(add);
  else out[at] = { ...out[at]!, tasks: [...out[at]!.tasks, ...add.tasks] };
  return out;
}
