/** The jobs of a placement pass, queued by team. */
import { groupBy } from '../collections.js';
import type { TeamName } from '../model/ids.js';
import type { JobRecord } from '../model/jobs.js';
import type { ResourceVector } from '../model/resources.js';
import type { AllocationTotals } from '../state/allocation-totals.js';

/** The active jobs by team, each queue sorted by `compareJobs`. */
export function queuesByTeam(
  jobs: Iterable<JobRecord>,
  compareJobs: (a: JobRecord, b: JobRecord) => number,
): Map<TeamName, JobRecord[]> {
  const active = [...jobs].filter((job) => job.phase === 'active');
  const queues: Map<TeamName, JobRecord[]> = groupBy(active, (job) => job.spec.team);
  for (const queue of queues.values()) queue.sort(compareJobs);
  return queues;
}

/** The smallest amount of each resource that a task of any queued job needs; null if no job is queued. */
export function smallestDemand(queues: Iterable<readonly JobRecord[]>): ResourceVector | null {
  let smallest: ResourceVector | null = null;
  for (const queue of queues)
    for (const { spec } of queue) smallest = minimumOf(spec.demand, smallest ?? spec.demand);
  return smallest;
}

const minimumOf = (a: ResourceVector, b: ResourceVector): ResourceVector => [
  Math.min(a[0], b[0]),
  Math.min(a[1], b[1]),
  Math.min(a[2], b[2]),
];

/** The team with the lowest weighted dominant share, the first by name on a tie; null without teams. */
export function nextTeam(teams: Iterable<TeamName>, totals: AllocationTotals): TeamName | null {
  let next: TeamName | null = null;
  let lowestShare = Number.POSITIVE_INFINITY;
  for (const team of teams) {
    const share = totals.dominantShareOf(team);
    if (share < lowestShare || (share === lowestShare && next !== null && team < next)) {
      next = team;
      lowestShare = share;
    }
  }
  return next;
}
