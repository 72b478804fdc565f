/**
 * Whom to stop for a job that finds no room. Allowed are: work of lower priority, and, for a job within its
 * team's guarantee, work that another team runs beyond its own. What loses least goes first.
 */
import { allowsMachineType, maxTasksPerZone } from '../jobs/feasibility.js';
import type { AllocationTotals } from '../state/allocation-totals.js';
import type { Team } from '../model/cluster.js';
import type { JobId, TeamName } from '../model/ids.js';
import { PRIORITY_RANK, type JobRecord, type JobSpec } from '../model/jobs.js';
import type { MachineRecord, Allocation } from '../model/machines.js';
import { CPU, GPU, fitsWithin, addResources, tasksThatFit } from '../model/resources.js';

/** Whether the team, with so much more, stays within what it is guaranteed. */
export function isWithinGuarantee(
  team: Team | undefined,
  totals: AllocationTotals,
  spec: JobSpec,
  tasks: number,
): boolean {
  if (team === undefined) return false;
  const used = addResources(totals.usedBy(team.name), spec.demand, tasks);
  const asked = [CPU, GPU].filter((r) => team.guarantee[r as 0 | 2] > 0 && spec.demand[r as 0 | 2] > 0);
  return asked.length > 0 && asked.every((r) => used[r as 0 | 2] <= team.guarantee[r as 0 | 2]);
}

function isBeyondGuarantee(team: Team | undefined, totals: AllocationTotals): boolean {
  if (team === undefined) return true;
  const used = totals.usedBy(team.name);
  // All that a team without any guarantee runs is beyond it.
  if (team.guarantee.every((amount) => amount === 0)) return used.some((amount) => amount > 0);
  return [CPU, GPU].some(
    (r) => team.guarantee[r as 0 | 2] > 0 && used[r as 0 | 2] > team.guarantee[r as 0 | 2],
  );
}

/** What stopping loses, roughly in seconds of one task's run. */
function preemptionCost(p: Allocation, job: JobRecord | undefined): number {
  if (job === undefined) return 0;
  const { spec } = job;
  const each = spec.checkpointS > 0 ? spec.saveS + 5 : Math.max(30, spec.estimateS / 2);
  // A gang goes as a whole, on its other machines too.
  return spec.kind === 'gang' ? each * spec.tasks * 4 : each * p.tasks.length;
}

/** What the choice of tasks to stop needs to know. */
export interface PreemptionInput {
  readonly job: JobSpec;
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  readonly machines: readonly MachineRecord[];
  readonly totals: AllocationTotals;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly isClaimed: (m: MachineRecord) => boolean;
}

/** One machine on which one task of the job fits once the victims are gone. */
export function selectVictims(
  input: PreemptionInput,
): { machine: MachineRecord; victims: Allocation[] } | null {
  const { job, jobs, totals, teams } = input;
  const entitled = isWithinGuarantee(teams.get(job.team), totals, job, 1);
  const zones = totals.jobs.get(job.id)?.tasksPerZone;
  const may = (p: Allocation): boolean => {
    if (p.stop === true || p.kind === 'service' || p.job === job.id) return false;
    if (PRIORITY_RANK[p.priority] > PRIORITY_RANK[job.priority]) return true;
    return entitled && p.team !== job.team && isBeyondGuarantee(teams.get(p.team), totals);
  };
  let best: { machine: MachineRecord; victims: Allocation[] } | null = null;
  let bestLoss = Number.POSITIVE_INFINITY;
  for (const machine of input.machines) {
    if (!allowsMachineType(job, machine.type) || (machine.spot && !job.spot) || input.isClaimed(machine))
      continue;
    if (job.zone !== null && machine.zone !== job.zone) continue;
    if ((zones?.get(machine.zone) ?? 0) >= maxTasksPerZone(job)) continue;
    if (job.oneZone && zones !== undefined && zones.size > 0 && !zones.has(machine.zone)) continue;
    const order = machine.placed
      .filter(may)
      // Of tasks that end by themselves one can go without the others.
      .flatMap((p) => (p.kind === 'array' ? p.tasks.map((i) => ({ ...p, tasks: [i] })) : [p]))
      .map((p) => ({ p, cost: preemptionCost(p, jobs.get(p.job)) }))
      .sort((a, b) => a.cost - b.cost);
    let free = totals.freeByMachine.get(machine.name)!;
    let cost = 0;
    const victims: Allocation[] = [];
    for (const { p, cost: c } of order) {
      if (fitsWithin(job.demand, free)) break;
      free = addResources(free, p.demand, p.tasks.length);
      cost += c;
      victims.push(p);
    }
    if (victims.length === 0 || !fitsWithin(job.demand, free) || cost >= bestLoss) continue;
    best = { machine, victims };
    bestLoss = cost;
  }
  return best;
}

/** A machine on which tasks of a gang are to start, and what has to go for them. */
export interface GangPlace {
  readonly machine: MachineRecord;
  readonly victims: readonly Allocation[];
}

/** Tasks that the machine can take of a gang, now or once its low-priority work is gone, and what that loses. */
function gangPlaceOn(machine: MachineRecord, { job, jobs, totals }: PreemptionInput) {
  const free = totals.freeByMachine.get(machine.name)!;
  const victims = machine.placed.filter((p) => p.priority === 'low' && p.kind === 'array' && p.stop !== true);
  const now = tasksThatFit(job.demand, free);
  const all = victims.reduce((room, p) => addResources(room, p.demand, p.tasks.length), free);
  const later = tasksThatFit(job.demand, all);
  if (later <= now) return { machine, victims: [], places: now, cost: 0 };
  const cost = victims.reduce((sum, p) => sum + preemptionCost(p, jobs.get(p.job)), 0);
  return { machine, victims, places: later, cost };
}

/**
 * Machines of one slice on which a whole gang fits once low-priority work there is gone, with the least lost; null where
 * there are not enough. Only the lowest priority gives way to gangs: they take whole machines, and many at once.
 */
export function selectGangVictims(input: PreemptionInput): GangPlace[] | null {
  const { job } = input;
  if (PRIORITY_RANK[job.priority] >= PRIORITY_RANK.normal) return null;
  const able = input.machines.filter(
    (m) =>
      allowsMachineType(job, m.type) &&
      (!m.spot || job.spot) &&
      (job.zone ?? m.zone) === m.zone &&
      !input.isClaimed(m),
  );
  const places = able
    .map((m) => gangPlaceOn(m, input))
    .filter((p) => p.places > 0)
    .sort((a, b) => a.cost / a.places - b.cost / b.places);
  const zones = job.oneZone ? [...new Set(able.map((m) => m.zone))].sort() : [null];
  let best: { places: typeof places; cost: number } | null = null;
  for (const zone of zones) {
    const chosen: typeof places = [];
    let left = job.tasks;
    let cost = 0;
    for (const place of places) {
      if (left <= 0) break;
      if (zone !== null && place.machine.zone !== zone) continue;
      chosen.push(place);
      left -= place.places;
      cost += place.cost;
    }
    if (left <= 0 && (best === null || cost < best.cost)) best = { places: chosen, cost };
  }
  return best === null ? null : best.places.map(({ machine, victims }) => ({ machine, victims }));
}

/** What a machine holds once the victims are marked to go; entries of which only a part goes are split. */
export function markStopping(placed: readonly Allocation[], victims: readonly Allocation[]): Allocation[] {
  return placed.flatMap((p) => {
    const go = new Set(victims.flatMap((v) => (v.job === p.job && v.attempt === p.attempt ? v.tasks : [])));
    const stay = p.tasks.filter((i) => !go.has(i));
    if (p.stop === true || stay.length === p.tasks.length) return [p];
    const going = { ...p, tasks: p.tasks.filter((i) => go.has(i)), stop: true };
    return stay.length === 0 ? [going] : [{ ...p, tasks: stay }, going];
  });
}
