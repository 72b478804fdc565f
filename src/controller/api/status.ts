/** What an operator sees: who holds what, how the teams stand to one another, and why jobs wait. */
import type { DependencyStatus } from '../../core/jobs/dependencies.js';
import { nodeName, taskId } from '../../core/model/ids.js';
import { CPU, GPU, NO_RESOURCES, MICRO_UNITS, type ResourceVector } from '../../core/model/resources.js';
import { key } from '../../core/records/keys.js';
import type { ControllerContext } from '../controller-context.js';
import { leaderOf } from '../leader/leader.js';
import type { ShardController } from '../shard/shard-controller.js';

/** Lists are cut to this length, so that an answer stays readable and small. */
const MOST = 200;

const waitsFor = (d: Exclude<DependencyStatus, { kind: 'ready' }>) =>
  d.kind === 'blocked'
    ? `waits for ${d.by.join(', ')}`
    : d.kind === 'unknown'
      ? `waits to know how ${d.unread.join(', ')} ended`
      : `withdrawn with ${d.because}, which it needs`;

const amounts = (a: ResourceVector) => ({ cpus: a[CPU] / MICRO_UNITS, gpus: a[GPU] / MICRO_UNITS });

/** The state of the fleet as this controller sees it, for operators. */
export function status(context: ControllerContext, owner: ShardController, healthy: boolean) {
  const { view } = context;
  const totals = context.allocations.current();
  const wall = context.clock.wallClock();
  const waiting = [...view.jobs.values()].flatMap((j) => {
    const placed = totals.jobs.get(j.spec.id)?.tasks.size ?? 0;
    const tasks = j.spec.tasks - j.done.count - placed;
    if (tasks <= 0) return [];
    const { id, team, kind, priority } = j.spec;
    const need = context.dependencies.current().byJob.get(id);
    const why =
      need !== undefined && need.kind !== 'ready'
        ? waitsFor(need)
        : context.ownership.ownsTeam(team)
          ? (owner.waitReasons.get(id) ?? (j.phase === 'cancelling' ? 'cancelling' : 'about to be placed'))
          : `ask ${context.ownership.holderOf(view.teams.get(team)) ?? 'again: its slice has no holder now'}`;
    return [{ job: id, team, kind, priority, tasks, waitsS: Math.round((wall - j.submitted) / 1000), why }];
  });
  return {
    node: context.settings.node,
    healthy,
    revision: view.revision,
    leader: leaderOf(context),
    slices: [...view.shards].map(([name, s]) => ({
      slice: name,
      holder: context.ownership.holderOf({ owner: nodeName(name) }),
      token: view.versionOf(key.shard(name)),
      last: s.holder,
    })),
    teams: [...context.teams.values()].map((t) => ({
      team: t.name,
      slice: view.teams.get(t.name)?.owner ?? null,
      share: Number(totals.dominantShareOf(t.name).toPrecision(5)),
      uses: amounts(totals.usedBy(t.name)),
      guaranteed: amounts(t.guarantee),
      limit: {
        cpus: t.limitCpu === null ? null : t.limitCpu / MICRO_UNITS,
        gpus: t.limitGpu === null ? null : t.limitGpu / MICRO_UNITS,
      },
    })),
    machines: [...view.machines.values()].slice(0, MOST).map((m) => ({
      machine: m.name,
      slice: m.owner,
      token: view.fencingTokenOf(m),
      zone: m.zone,
      spot: m.spot,
      phase: m.phase,
      drain: m.drain === true,
      answeredBy: context.ownership.proxyOf(m) ?? context.ownership.holderOf(m),
      free: amounts(totals.freeByMachine.get(m.name) ?? NO_RESOURCES),
      tasks: m.placed.flatMap((p) => p.tasks.map((i) => taskId(p.job, i))),
    })),
    waiting: waiting.sort((a, b) => b.waitsS - a.waitsS).slice(0, MOST),
  };
}
