/** The graph of jobs that depend on others, and its topological order. */
import type { JobId } from '../model/ids.js';
import type { JobRecord } from '../model/jobs.js';

const NO_DEPENDENCIES: readonly JobId[] = [];

/** The direct dependencies of a job. */
export const dependenciesOf = (job: JobRecord): readonly JobId[] => job.spec.needs ?? NO_DEPENDENCIES;

/**
 * The candidates that have dependencies, each after those of its unfinished dependencies that have dependencies
 * themselves. Works without recursion, so that a chain of any length does not overflow the stack.
 */
export function topologicalOrder(
  candidates: Iterable<JobRecord>,
  unfinished: ReadonlyMap<JobId, JobRecord>,
): JobRecord[] {
  const inDegrees = new Map<JobId, number>();
  const dependents = new Map<JobId, JobRecord[]>();
  const ordered: JobRecord[] = [];
  for (const job of candidates) {
    if (!hasDependencies(job)) continue;
    const predecessors = dependenciesOf(job).filter((id) => hasDependencies(unfinished.get(id)));
    for (const id of predecessors) addDependent(dependents, id, job);
    if (predecessors.length === 0) ordered.push(job);
    else inDegrees.set(job.spec.id, predecessors.length);
  }
  // `ordered` grows while it is iterated over.
  for (const { spec } of ordered)
    for (const dependent of dependents.get(spec.id) ?? []) {
      const inDegree = inDegrees.get(dependent.spec.id)! - 1;
      inDegrees.set(dependent.spec.id, inDegree);
      if (inDegree === 0) ordered.push(dependent);
    }
  return ordered;
}

/** The job and the unfinished jobs that it depends on, directly or transitively. */
export function transitiveDependencies(
  job: JobRecord,
  unfinished: ReadonlyMap<JobId, JobRecord>,
): ReadonlySet<JobRecord> {
  const found = new Set<JobRecord>([job]);
  // Iteration over a set includes the elements that are added to it meanwhile.
  for (const dependent of found)
    for (const id of dependenciesOf(dependent)) {
      const dependency = unfinished.get(id);
      if (dependency !== undefined) found.add(dependency);
    }
  return found;
}

const hasDependencies = (job: JobRecord | undefined): boolean =>
  job !== undefined && dependenciesOf(job).length > 0;

function addDependent(dependents: Map<JobId, JobRecord[]>, dependency: JobId, job: JobRecord): void {
  const list = dependents.get(dependency);
  if (list === undefined) dependents.set(dependency, [job]);
  else list.push(job);
}
