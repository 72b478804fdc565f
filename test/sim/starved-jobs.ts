/** Finds jobs that wait although the simulated cluster has room for them, for the check of starvation. */
import type { ObservedCluster } from './placement-invariants.js';
import type { SimulatedAgent } from './simulated-agent.js';
import { MACHINE_CAPACITY, teamOf } from './simulated-task.js';
import type { SubmittedJob } from './submitted-job.js';

/** Unused resources of a machine. */
interface FreeResources {
  readonly agent: SimulatedAgent;
  vcpus: number;
  cards: number;
  memoryGb: number;
}

/** Resources in use and unused in the cluster. */
interface ClusterLoad {
  readonly gpusByTeam: Map<string, number>;
  readonly runningJobs: Set<string>;
  /** Unused resources of the machines that every controller reaches. */
  readonly free: FreeResources[];
}

/**
 * Ids of accepted jobs that have no task on any machine, although the reachable machines and the team's quota allow a task,
 * or all tasks of a gang.
 */
export function starvedJobs(cluster: ObservedCluster, agents: readonly SimulatedAgent[]): string[] {
  const load = loadOf(cluster, agents);
  return [...cluster.submitted]
    .filter(
      ([id, job]) => isRunnable(cluster, job) && !load.runningJobs.has(id) && hasRoom(cluster, job, load),
    )
    .map(([id]) => id);
}

function loadOf({ placements }: ObservedCluster, agents: readonly SimulatedAgent[]): ClusterLoad {
  const load: ClusterLoad = { gpusByTeam: new Map(), runningJobs: new Set(), free: [] };
  for (const agent of agents) {
    const free: FreeResources = { agent, ...MACHINE_CAPACITY };
    for (const { id, job } of placements.tasksOn(agent)) {
      const team = teamOf(job);
      load.runningJobs.add(id);
      free.vcpus -= Number(job.body['vcpus']);
      free.cards -= Number(job.body['cards']);
      free.memoryGb -= Number(job.body['memoryGb']);
      load.gpusByTeam.set(team, (load.gpusByTeam.get(team) ?? 0) + Number(job.body['cards']));
    }
    if (isReachable(agent)) load.free.push(free);
  }
  return load;
}

function isReachable(agent: SimulatedAgent): boolean {
  return (
    !agent.isHung &&
    !agent.isInboundPartitioned &&
    !agent.isOutboundPartitioned &&
    agent.partitionedFrom.size === 0
  );
}

/** Whether the job may run now: it is accepted, neither cancelled nor finished, and all of its dependencies are done. */
function isRunnable({ submitted }: ObservedCluster, job: SubmittedJob): boolean {
  if (!job.accepted || job.isCancellationRequested || job.alwaysFails) return false;
  if (job.observedFinalState !== null || isDone(job)) return false;
  return job.needs.every((id) => isDone(submitted.get(id)!));
}

function isDone(job: SubmittedJob): boolean {
  return job.doneTasks.size === job.tasks;
}

/** Whether the team's quota and the reachable machines allow a task of the job, or all tasks of a gang. */
function hasRoom({ quota }: ObservedCluster, job: SubmittedJob, load: ClusterLoad): boolean {
  const team = teamOf(job);
  const cards = Number(job.body['cards']);
  const tasksNeeded = job.kind === 'ensemble' ? job.tasks : 1;
  const quotaLeft = quota.get(team)! - (load.gpusByTeam.get(team) ?? 0);
  if (cards > 0 && cards * tasksNeeded > quotaLeft) return false;
  // Tasks that fit, counted by zone for a job that must run in a single zone, and over all zones for any other.
  const fittingByPlace = new Map<string, number>();
  for (const free of load.free) {
    if (!mayUse(job, free.agent)) continue;
    const place = job.body['samePlace'] === true ? free.agent.zone : '';
    fittingByPlace.set(place, (fittingByPlace.get(place) ?? 0) + tasksThatFit(job, free));
  }
  return [...fittingByPlace.values()].some((count) => count >= tasksNeeded);
}

function mayUse(job: SubmittedJob, agent: SimulatedAgent): boolean {
  if (agent.isSpot && job.body['loaner'] !== true) return false;
  return (job.body['vault'] ?? agent.zone) === agent.zone;
}

function tasksThatFit(job: SubmittedJob, free: FreeResources): number {
  const cards = Number(job.body['cards']);
  const fittingTasks = Math.min(
    free.vcpus / Number(job.body['vcpus']),
    cards > 0 ? free.cards / cards : Number.POSITIVE_INFINITY,
    free.memoryGb / Number(job.body['memoryGb']),
  );
  return Math.max(0, Math.floor(fittingTasks));
}
