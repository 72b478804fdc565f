/**
 * Whom to stop for a job that finds no room. Allowed are: work of lower priority, and, for a job within its
 * team's guarantee, work that another team runs beyond its own. What loses least goes first.
 */
import { typeAllowed, zoneCap } from './jobs.js';
import type { Ledger } from './ledger.js';
import {
  CPU,
  GPU,
  PRIORITY_RANK,
  fits,
  plus,
  type JobId,
  type JobRecord,
  type JobSpec,
  type MachineRecord,
  type Placed,
  type Team,
  type TeamName,
} from './types.js';

/** Whether the team, with so much more, stays within what it is guaranteed. */
export function withinGuarantee(
  team: Team | undefined,
  ledger: Ledger,
  spec: JobSpec,
  tasks: number,
): boolean {
  if (team === undefined) return false;
  const used = plus(ledger.used(team.name), spec.demand, tasks);
  const asked = [CPU, GPU].filter((r) => team.guarantee[r as 0 | 2] > 0 && spec.demand[r as 0 | 2] > 0);
  return asked.length > 0 && asked.every((r) => used[r as 0 | 2] <= team.guarantee[r as 0 | 2]);
}

function beyondGuarantee(team: Team | undefined, ledger: Ledger): boolean {
  if (team === undefined) return true;
  const used = ledger.used(team.name);
  return [CPU, GPU].some(
    (r) => team.guarantee[r as 0 | 2] > 0 && used[r as 0 | 2] > team.guarantee[r as 0 | 2],
  );
}

/** What stopping loses, roughly in seconds of one task's run. */
function loss(p: Placed, job: JobRecord | undefined): number {
  if (job === undefined) return 0;
  const { spec } = job;
  const each = spec.checkpointS > 0 ? spec.saveS + 5 : Math.max(30, spec.estimateS / 2);
  // A gang goes as a whole, on its other machines too.
  return spec.kind === 'gang' ? each * spec.tasks * 4 : each * p.tasks.length;
}

/** What the choice of tasks to stop needs to know. */
export interface PreemptInput {
  readonly job: JobSpec;
  readonly jobs: ReadonlyMap<JobId, JobRecord>;
  readonly slice: readonly MachineRecord[];
  readonly ledger: Ledger;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly taken: (m: MachineRecord) => boolean;
}

/** One machine on which one task of the job fits once the victims are gone. */
export function pickVictims(input: PreemptInput): { machine: MachineRecord; victims: Placed[] } | null {
  const { job, jobs, ledger, teams } = input;
  const entitled = withinGuarantee(teams.get(job.team), ledger, job, 1);
  const zones = ledger.jobs.get(job.id)?.zones;
  const may = (p: Placed): boolean => {
    if (p.stop === true || p.kind === 'service' || p.job === job.id) return false;
    if (PRIORITY_RANK[p.priority] > PRIORITY_RANK[job.priority]) return true;
    return entitled && p.team !== job.team && beyondGuarantee(teams.get(p.team), ledger);
  };
  let best: { machine: MachineRecord; victims: Placed[] } | null = null;
  let bestLoss = Number.POSITIVE_INFINITY;
  for (const machine of input.slice) {
    if (!typeAllowed(job, machine.type) || (machine.spot && !job.spot) || input.taken(machine)) continue;
    if (job.zone !== null && machine.zone !== job.zone) continue;
    if ((zones?.get(machine.zone) ?? 0) >= zoneCap(job)) continue;
    if (job.oneZone && zones !== undefined && zones.size > 0 && !zones.has(machine.zone)) continue;
    const order = machine.placed
      .filter(may)
      // Of tasks that end by themselves one can go without the others.
      .flatMap((p) => (p.kind === 'array' ? p.tasks.map((i) => ({ ...p, tasks: [i] })) : [p]))
      .map((p) => ({ p, cost: loss(p, jobs.get(p.job)) }))
      .sort((a, b) => a.cost - b.cost);
    let free = ledger.free.get(machine.name)!;
    let cost = 0;
    const victims: Placed[] = [];
    for (const { p, cost: c } of order) {
      if (fits(job.demand, free)) break;
      free = plus(free, p.demand, p.tasks.length);
      cost += c;
      victims.push(p);
    }
    if (victims.length === 0 || !fits(job.demand, free) || cost >= bestLoss) continue;
    best = { machine, victims };
    bestLoss = cost;
  }
  return best;
}

/** What a machine holds once the victims are marked to go; entries of which only a part goes are split. */
export function stopped(placed: readonly Placed[], victims: readonly Placed[]): Placed[] {
  return placed.flatMap((p) => {
    const go = new Set(victims.flatMap((v) => (v.job === p.job && v.attempt === p.attempt ? v.tasks : [])));
    const stay = p.tasks.filter((i) => !go.has(i));
    if (p.stop === true || stay.length === p.tasks.length) return [p];
    const going = { ...p, tasks: p.tasks.filter((i) => go.has(i)), stop: true };
    return stay.length === 0 ? [going] : [{ ...p, tasks: stay }, going];
  });
}
