/** Finds jobs that wait although the simulated cluster has room for them. */
import type { ObservedCluster } from './placement-invariants.js';
import type { SimulatedAgent } from './simulated-agent.js';
import { MACHINE_CAPACITY, teamOf } from './simulated-task.js';
import type { SubmittedJob } from './submitted-job.js';

interface FreeResources {
  readonly agent: SimulatedAgent;
  vcpus: number;
  cards: number;
  memoryGb: number;
}

/** What the machines hold now. */
interface ClusterLoad {
  readonly gpusByTeam: Map<string, number>;
  readonly runningJobs: Set<string>;
  /** Machines that every controller reaches. */
  readonly free: FreeResources[];
}

/** Accepted jobs of which nothing runs though a machine has room for a task and the team is below its quota. */
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

/** Whether the job has tasks left that may run now. */
function isRunnable({ submitted }: ObservedCluster, job: SubmittedJob): boolean {
  if (!job.accepted || job.isCancellationRequested || job.alwaysFails) return false;
  if (job.observedFinalState !== null || isDone(job)) return false;
  return job.needs.every((id) => isDone(submitted.get(id)!));
}

function isDone(job: SubmittedJob): boolean {
  return job.doneTasks.size === job.tasks;
}

/** Whether the team's quota and the machines allow a task of the job, or its whole gang. */
function hasRoom({ quota }: ObservedCluster, job: SubmittedJob, load: ClusterLoad): boolean {
  const team = teamOf(job);
  const cards = Number(job.body['cards']);
  const needed = job.kind === 'ensemble' ? job.tasks : 1;
  const left = quota.get(team)! - (load.gpusByTeam.get(team) ?? 0);
  if (cards > 0 && cards * needed > left) return false;
  // Tasks that fit by zone, where all of them must be in one.
  const fits = new Map<string, number>();
  for (const free of load.free) {
    if (!mayUse(job, free.agent)) continue;
    const place = job.body['samePlace'] === true ? free.agent.zone : '';
    fits.set(place, (fits.get(place) ?? 0) + tasksThatFit(job, free));
  }
  return [...fits.values()].some((count) => count >= needed);
}

function mayUse(job: SubmittedJob, agent: SimulatedAgent): boolean {
  if (agent.isSpot && job.body['loaner'] !== true) return false;
  return (job.body['vault'] ?? agent.zone) === agent.zone;
}

function tasksThatFit(job: SubmittedJob, free: FreeResources): number {
  const cards = Number(job.body['cards']);
  const fit = Math.min(
    free.vcpus / Number(job.body['vcpus']),
    cards > 0 ? free.cards / cards : Number.POSITIVE_INFINITY,
    free.memoryGb / Number(job.body['memoryGb']),
  );
  return Math.max(0, Math.floor(fit));
}
