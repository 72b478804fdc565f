/**
 * Sums over the machine records: what every team uses, where each job's tasks are, and what is free. All of
 * it counts each placed task that is not yet proved gone. The sums follow the records one by one, so that the
 * work goes with what changed and not with the size of the fleet.
 */
import { dominantShare, teamWeight } from './drfh.js';
import {
  CPU,
  GPU,
  NO_RESOURCES,
  addResources,
  type ResourceVector,
  type Attempt,
  type JobId,
  type MachineName,
  type MachineRecord,
  type MachineType,
  type Placed,
  type TaskIndex,
  type Team,
  type TeamName,
  type TypeName,
  type Zone,
} from './types.js';

/** Where a job's tasks are placed. */
export interface JobPlacement {
  readonly tasks: Map<TaskIndex, { machine: MachineName; attempt: Attempt }>;
  readonly zones: Map<Zone, number>;
  readonly perAttempt: Map<Attempt, number>;
  /** Entries whose tasks are to go. */
  stopping: number;
  /** A task stood in two records at once: who takes one of them out must look for the other. */
  doubled: boolean;
}

interface TeamSums {
  used: ResourceVector;
  /** The part of it that does not end by itself. */
  lasting: ResourceVector;
  /** Sum of the dominant shares of the team's tasks, not yet divided by its weight. */
  dominant: number;
  tasks: number;
}

const count = <K>(map: Map<K, number>, k: K, n: number): void => {
  const sum = (map.get(k) ?? 0) + n;
  if (sum === 0) map.delete(k);
  else map.set(k, sum);
};

/** Sums over the machine records, kept up to date record by record. */
export class Ledger {
  readonly jobs = new Map<JobId, JobPlacement>();
  readonly free = new Map<MachineName, ResourceVector>();
  private readonly machines = new Map<MachineName, MachineRecord>();
  private readonly teamSums = new Map<TeamName, TeamSums>();
  private fleet: ResourceVector = NO_RESOURCES;
  private totalNow: ResourceVector = NO_RESOURCES;
  /** The dominant shares were added up for another total. */
  private stale = false;

  constructor(
    machines: Iterable<MachineRecord>,
    private readonly types: ReadonlyMap<TypeName, MachineType>,
    private readonly teams: ReadonlyMap<TeamName, Team>,
  ) {
    this.retotal();
    for (const m of machines) this.set(m.name, m);
  }

  get total(): ResourceVector {
    return this.totalNow;
  }

  used(team: TeamName): ResourceVector {
    return this.teamSums.get(team)?.used ?? NO_RESOURCES;
  }

  /** Takes in the present record of a machine, or that it has none. */
  set(name: MachineName, m: MachineRecord | undefined): void {
    const before = this.machines.get(name);
    if (before !== undefined) {
      this.machines.delete(name);
      for (const p of before.placed) this.remove(before, p);
      this.free.delete(name);
      this.counts(before, -1);
    }
    if (m === undefined) return;
    this.machines.set(name, m);
    this.free.set(name, this.types.get(m.type)?.capacity ?? NO_RESOURCES);
    this.counts(m, 1);
    for (const p of m.placed) this.add(m, p);
  }

  private counts(m: MachineRecord, times: number): void {
    const t = this.types.get(m.type);
    if (t === undefined || m.phase === 'releasing') return;
    this.fleet = addResources(this.fleet, t.capacity, times);
    this.retotal();
  }

  private retotal(): void {
    this.totalNow = this.fleet;
    this.stale = true;
    if (this.fleet.some((x) => x > 0)) return;
    // An empty fleet counts as one machine's room.
    for (const t of this.types.values()) if (this.totalNow[CPU] < t.capacity[CPU]) this.totalNow = t.capacity;
  }

  add(m: { name: MachineName; zone: Zone }, p: Placed): void {
    this.sum(m, p, 1);
    let job = this.jobs.get(p.job);
    if (job === undefined) {
      job = { tasks: new Map(), zones: new Map(), perAttempt: new Map(), stopping: 0, doubled: false };
      this.jobs.set(p.job, job);
    }
    for (const i of p.tasks) {
      if (job.tasks.has(i)) job.doubled = true;
      job.tasks.set(i, { machine: m.name, attempt: p.attempt });
    }
    count(job.zones, m.zone, p.tasks.length);
    count(job.perAttempt, p.attempt, p.tasks.length);
    if (p.stop === true) job.stopping++;
  }

  /** Takes back what `add` did. */
  remove(m: { name: MachineName; zone: Zone }, p: Placed): void {
    this.sum(m, p, -1);
    const job = this.jobs.get(p.job);
    if (job === undefined) return;
    for (const i of p.tasks) {
      const at = job.tasks.get(i);
      if (at?.machine === m.name && at.attempt === p.attempt) job.tasks.delete(i);
    }
    count(job.zones, m.zone, -p.tasks.length);
    count(job.perAttempt, p.attempt, -p.tasks.length);
    if (p.stop === true) job.stopping--;
    if (job.doubled)
      for (const o of this.machines.values())
        for (const q of o.placed)
          if (q.job === p.job)
            for (const i of q.tasks) job.tasks.set(i, { machine: o.name, attempt: q.attempt });
    if (job.tasks.size === 0) this.jobs.delete(p.job);
  }

  /**
   * Counts a task that is proved gone, but still stands in its machine's record, as not there; or as there again. Its part
   * of the team's limit is free only once its result is durable: until then a new owner may have to start it again.
   */
  vacate(m: { name: MachineName }, p: Placed, there: boolean, isDurable: boolean): void {
    const n = p.tasks.length * (there ? 1 : -1);
    this.sumMachine(m, p, n);
    if (isDurable) this.sumTeam(p, n);
  }

  private sum(m: { name: MachineName }, p: Placed, times: number): void {
    const n = p.tasks.length * times;
    this.sumMachine(m, p, n);
    this.sumTeam(p, n);
  }

  private sumMachine(m: { name: MachineName }, p: Placed, n: number): void {
    this.free.set(m.name, addResources(this.free.get(m.name) ?? NO_RESOURCES, p.demand, -n));
  }

  private sumTeam(p: Placed, n: number): void {
    let t = this.teamSums.get(p.team);
    if (t === undefined) {
      t = { used: NO_RESOURCES, lasting: NO_RESOURCES, dominant: 0, tasks: 0 };
      this.teamSums.set(p.team, t);
    }
    t.used = addResources(t.used, p.demand, n);
    if (p.kind === 'service') t.lasting = addResources(t.lasting, p.demand, n);
    t.tasks += n;
    t.dominant = t.tasks === 0 ? 0 : t.dominant + dominantShare(p.demand, this.total) * n;
  }

  weight(team: TeamName): number {
    const t = this.teams.get(team);
    return t === undefined ? 1 : teamWeight(t);
  }

  /** The team's global dominant share divided by its weight. */
  share(team: TeamName): number {
    if (this.stale) {
      this.stale = false;
      for (const s of this.teamSums.values()) s.dominant = 0;
      for (const m of this.machines.values())
        for (const p of m.placed)
          this.teamSums.get(p.team)!.dominant += dominantShare(p.demand, this.total) * p.tasks.length;
    }
    return (this.teamSums.get(team)?.dominant ?? 0) / this.weight(team);
  }

  withinLimit(team: TeamName, demand: ResourceVector, times: number): boolean {
    return this.fitsLimit(team, this.used(team), demand, times);
  }

  /** Whether so much will fit into the team's limit once its work that ends by itself has ended. */
  willFitLimit(team: TeamName, demand: ResourceVector, times: number): boolean {
    return this.fitsLimit(team, this.teamSums.get(team)?.lasting ?? NO_RESOURCES, demand, times);
  }

  /** How many more tasks the team's limit allows beside what it uses and `extra`. */
  timesWithinLimit(team: TeamName, demand: ResourceVector, extra: ResourceVector): number {
    const t = this.teams.get(team);
    if (t === undefined) return 0;
    const used = addResources(this.used(team), extra);
    const times = (limit: number | null, r: typeof CPU | typeof GPU) =>
      limit === null || demand[r] <= 0
        ? Number.POSITIVE_INFINITY
        : Math.max(0, Math.floor((limit - used[r]) / demand[r]));
    return Math.min(times(t.limitCpu, CPU), times(t.limitGpu, GPU));
  }

  private fitsLimit(team: TeamName, used: ResourceVector, demand: ResourceVector, times: number): boolean {
    const t = this.teams.get(team);
    if (t === undefined) return false;
    const after = addResources(used, demand, times);
    if (t.limitCpu !== null && demand[CPU] > 0 && after[CPU] > t.limitCpu) return false;
    return !(t.limitGpu !== null && demand[GPU] > 0 && after[GPU] > t.limitGpu);
  }
}
