/** The status of the cluster as one controller sees it: shards, teams, machines, and why jobs are pending. */
import type { DependencyStatus } from '../../core/jobs/dependencies.js';
import type { Team } from '../../core/model/cluster.js';
import { nodeName, taskId } from '../../core/model/ids.js';
import type { JobRecord } from '../../core/model/jobs.js';
import type { MachineRecord } from '../../core/model/machines.js';
import { CPU, GPU, MICRO_UNITS, NO_RESOURCES, type ResourceVector } from '../../core/model/resources.js';
import { key } from '../../core/records/keys.js';
import type { ControllerContext } from '../controller-context.js';
import { leaderOf } from '../leader/leader.js';
import type { ShardController } from '../shard/shard-controller.js';

/** Limit on the lists of machines and of pending jobs, which keeps the answer readable and small. */
const MAX_LISTED = 200;

/** The status for operators; its field names are part of the interface. */
export function status(context: ControllerContext, shardController: ShardController, isHealthy: boolean) {
  const { settings, view, teams } = context;
  return {
    node: settings.node,
    healthy: isHealthy,
    revision: view.revision,
    leader: leaderOf(context),
    slices: shardStatuses(context),
    teams: [...teams.values()].map((team) => teamStatus(context, team)),
    machines: [...view.machines.values()]
      .slice(0, MAX_LISTED)
      .map((machine) => machineStatus(context, machine)),
    waiting: pendingJobStatuses(context, shardController),
  };
}

const shardStatuses = ({ view, ownership }: ControllerContext) =>
  [...view.shards].map(([name, shard]) => ({
    slice: name,
    holder: ownership.holderOf({ owner: nodeName(name) }),
    token: view.versionOf(key.shard(name)),
    last: shard.holder,
  }));

function teamStatus({ view, allocations }: ControllerContext, team: Team) {
  const totals = allocations.current();
  return {
    team: team.name,
    slice: view.teams.get(team.name)?.owner ?? null,
    share: Number(totals.dominantShareOf(team.name).toPrecision(5)),
    uses: fromMicroUnits(totals.usedBy(team.name)),
    guaranteed: fromMicroUnits(team.guarantee),
    limit: {
      cpus: team.cpuQuota === null ? null : team.cpuQuota / MICRO_UNITS,
      gpus: team.gpuQuota === null ? null : team.gpuQuota / MICRO_UNITS,
    },
  };
}

function machineStatus({ view, allocations, ownership }: ControllerContext, machine: MachineRecord) {
  return {
    machine: machine.name,
    slice: machine.owner,
    token: view.fencingTokenOf(machine),
    zone: machine.zone,
    spot: machine.spot,
    phase: machine.phase,
    drain: machine.drain === true,
    answeredBy: ownership.proxyOf(machine) ?? ownership.holderOf(machine),
    free: fromMicroUnits(allocations.current().freeByMachine.get(machine.name) ?? NO_RESOURCES),
    tasks: machine.placed.flatMap(({ job, tasks }) => tasks.map((index) => taskId(job, index))),
  };
}

/** Jobs with tasks that are neither done nor on a machine, those that have waited longest first. */
function pendingJobStatuses(context: ControllerContext, shardController: ShardController) {
  const totals = context.allocations.current();
  const now = context.clock.wallClock();
  const pending = [...context.view.jobs.values()].flatMap((job) => {
    const { id, team, kind, priority } = job.spec;
    const placed = totals.allocationsByJob.get(id)?.tasks.size ?? 0;
    const tasks = job.spec.tasks - job.done.count - placed;
    if (tasks <= 0) return [];
    const waitsS = Math.round((now - job.submitted) / 1000);
    const why = pendingReason(context, shardController, job);
    return [{ job: id, team, kind, priority, tasks, waitsS, why }];
  });
  return pending.sort((a, b) => b.waitsS - a.waitsS).slice(0, MAX_LISTED);
}

function pendingReason(context: ControllerContext, shardController: ShardController, job: JobRecord): string {
  const { dependencies, ownership, view } = context;
  const { id, team } = job.spec;
  const dependency = dependencies.current().byJob.get(id);
  if (dependency !== undefined && dependency.kind !== 'ready') return dependencyReason(dependency);
  if (!ownership.ownsTeam(team))
    return `ask ${ownership.holderOf(view.teams.get(team)) ?? 'again: its slice has no holder now'}`;
  const waitReason = shardController.waitReasons.get(id);
  if (waitReason !== undefined) return waitReason;
  return job.phase === 'cancelling' ? 'cancelling' : 'about to be placed';
}

function dependencyReason(dependency: Exclude<DependencyStatus, { kind: 'ready' }>): string {
  switch (dependency.kind) {
    case 'blocked':
      return `waits for ${dependency.by.join(', ')}`;
    case 'unknown':
      return `waits to know how ${dependency.unread.join(', ')} ended`;
    case 'cancelled':
      return `withdrawn with ${dependency.because}, which it needs`;
  }
}

const fromMicroUnits = (resources: ResourceVector) => ({
  cpus: resources[CPU] / MICRO_UNITS,
  gpus: resources[GPU] / MICRO_UNITS,
});
