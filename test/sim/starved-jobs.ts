/** Finds jobs with tasks that wait although the simulated cluster has room for them, for the check of starvation. */
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
  /** The zone of each task that is on a machine, by index of the task, for each job. */
  readonly taskZones: Map<string, Map<number, string>>;
  /** Unused resources of the machines that every controller reaches. */
  readonly free: FreeResources[];
}

/**
 * Ids of accepted jobs with at least one task that is neither done nor on a machine, although the reachable machines, the
 * team's quota and the job's other tasks allow it to start, or all tasks of a gang.
 */
export function starvedJobs(cluster: ObservedCluster, agents: readonly SimulatedAgent[]): string[] {
  const load = loadOf(cluster, agents);
  return [...cluster.submitted]
    .filter(([id, job]) => isRunnable(cluster, job) && hasWaitingTask(id, job, load))
    .filter(([id, job]) => hasRoom(cluster, id, job, load))
    .map(([id]) => id);
}

/** Whether a task of the job is neither done nor on a machine; a gang starts as a whole. */
function hasWaitingTask(id: string, job: SubmittedJob, { taskZones }: ClusterLoad): boolean {
  const onMachines = taskZones.get(id) ?? new Map<number, string>();
  if (job.kind === 'ensemble' || isDone(job)) return onMachines.size === 0;
  for (let index = 0; index < job.tasks; index++)
    if (!onMachines.has(index) && !job.doneTasks.has(index)) return true;
  return false;
}

function loadOf({ placements }: ObservedCluster, agents: readonly SimulatedAgent[]): ClusterLoad {
  const load: ClusterLoad = { gpusByTeam: new Map(), taskZones: new Map(), free: [] };
  for (const agent of agents) {
    const free: FreeResources = { agent, ...MACHINE_CAPACITY };
    for (const { id, index, job } of placements.tasksOn(agent)) {
      const team = teamOf(job);
      const zones = load.taskZones.get(id) ?? new Map<number, string>();
      load.taskZones.set(id, zones.set(index, agent.zone));
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
  if (job.observedFinalState !== null || isKnownDone(job)) return false;
  return job.needs.every((id) => isKnownDone(submitted.get(id)!));
}

/**
 * Whether the controllers can know that the job is done. A job that has lost results has to run again where they were lost:
 * until it is called done it counts as waiting itself, and those that depend on it do not.
 */
function isKnownDone(job: SubmittedJob): boolean {
  return isDone(job) && (!job.mayLackResults || job.observedFinalState === 'done');
}

function isDone(job: SubmittedJob): boolean {
  return job.doneTasks.size === job.tasks;
}

/** Whether the team's quota and the reachable machines allow a further task of the job, or all tasks of a gang. */
function hasRoom({ quota }: ObservedCluster, id: string, job: SubmittedJob, load: ClusterLoad): boolean {
  const team = teamOf(job);
  const cards = Number(job.body['cards']);
  const tasksNeeded = job.kind === 'ensemble' ? job.tasks : 1;
  const quotaLeft = quota.get(team)! - (load.gpusByTeam.get(team) ?? 0);
  if (cards > 0 && cards * tasksNeeded > quotaLeft) return false;
  const ownZones = [...(load.taskZones.get(id)?.values() ?? [])];
  // Tasks that fit, counted by zone for a job that must run in a single zone, and over all zones for any other.
  const fittingByPlace = new Map<string, number>();
  for (const free of load.free) {
    if (!mayUse(job, free.agent) || !allowsZone(job, ownZones, free.agent.zone)) continue;
    const place = job.body['samePlace'] === true ? free.agent.zone : '';
    fittingByPlace.set(place, (fittingByPlace.get(place) ?? 0) + tasksThatFit(job, free));
  }
  return [...fittingByPlace.values()].some((count) => count >= tasksNeeded);
}

/** Whether a further task may run in the zone, given the zones of the job's tasks that are on machines. */
function allowsZone({ body, tasks }: SubmittedJob, ownZones: readonly string[], zone: string): boolean {
  if (body['samePlace'] === true && ownZones.some((own) => own !== zone)) return false;
  if (body['scatter'] !== true) return true;
  return ownZones.filter((own) => own === zone).length < Math.ceil(tasks / 2);
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
