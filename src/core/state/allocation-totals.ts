/**
 * Sums over the machine records: what every team uses, where each job's tasks are, and what is free. All of
 * it counts each placed task that is not yet proved gone. The sums follow the records one by one, so that the
 * work goes with what changed and not with the size of the fleet.
 */
import { dominantShare, teamWeight } from '../model/dominant-share.js';
import type { Team } from '../model/cluster.js';
import type { Attempt, JobId, MachineName, TaskIndex, TeamName, TypeName, Zone } from '../model/ids.js';
import type { MachineRecord, MachineType, Allocation } from '../model/machines.js';
import { CPU, GPU, NO_RESOURCES, addResources, type ResourceVector } from '../model/resources.js';

/** Where a job's tasks are placed. */
export interface JobAllocations {
  readonly tasks: Map<TaskIndex, { machine: MachineName; attempt: Attempt }>;
  readonly tasksPerZone: Map<Zone, number>;
  readonly tasksPerAttempt: Map<Attempt, number>;
  /** Entries whose tasks are to go. */
  stoppingAllocations: number;
  /** A task stood in two records at once: who takes one of them out must look for the other. */
  hasDuplicates: boolean;
}

interface TeamTotals {
  used: ResourceVector;
  /** The part of it that does not end by itself. */
  usedByServices: ResourceVector;
  /** Sum of the dominant shares of the team's tasks, not yet divided by its weight. */
  dominantShare: number;
  tasks: number;
}

const addCount = <K>(map: Map<K, number>, k: K, n: number): void => {
  const sum = (map.get(k) ?? 0) + n;
  if (sum === 0) map.delete(k);
  else map.set(k, sum);
};

/** Sums over the machine records, kept up to date record by record. */
export class AllocationTotals {
  readonly jobs = new Map<JobId, JobAllocations>();
  readonly freeByMachine = new Map<MachineName, ResourceVector>();
  private readonly machines = new Map<MachineName, MachineRecord>();
  private readonly teamTotals = new Map<TeamName, TeamTotals>();
  private capacitySum: ResourceVector = NO_RESOURCES;
  private capacityNow: ResourceVector = NO_RESOURCES;
  /** The dominant shares were added up for another total. */
  private areSharesStale = false;

  constructor(
    machines: Iterable<MachineRecord>,
    private readonly types: ReadonlyMap<TypeName, MachineType>,
    private readonly teams: ReadonlyMap<TeamName, Team>,
  ) {
    this.recomputeCapacity();
    for (const m of machines) this.setMachine(m.name, m);
  }

  get fleetCapacity(): ResourceVector {
    return this.capacityNow;
  }

  usedBy(team: TeamName): ResourceVector {
    return this.teamTotals.get(team)?.used ?? NO_RESOURCES;
  }

  /** Takes in the present record of a machine, or that it has none. */
  setMachine(name: MachineName, m: MachineRecord | undefined): void {
    const before = this.machines.get(name);
    if (before !== undefined) {
      this.machines.delete(name);
      for (const p of before.placed) this.removeAllocation(before, p);
      this.freeByMachine.delete(name);
      this.countCapacity(before, -1);
    }
    if (m === undefined) return;
    this.machines.set(name, m);
    this.freeByMachine.set(name, this.types.get(m.type)?.capacity ?? NO_RESOURCES);
    this.countCapacity(m, 1);
    for (const p of m.placed) this.addAllocation(m, p);
  }

  private countCapacity(m: MachineRecord, times: number): void {
    const t = this.types.get(m.type);
    if (t === undefined || m.phase === 'releasing') return;
    this.capacitySum = addResources(this.capacitySum, t.capacity, times);
    this.recomputeCapacity();
  }

  private recomputeCapacity(): void {
    this.capacityNow = this.capacitySum;
    this.areSharesStale = true;
    if (this.capacitySum.some((x) => x > 0)) return;
    // An empty fleet counts as one machine's room.
    for (const t of this.types.values())
      if (this.capacityNow[CPU] < t.capacity[CPU]) this.capacityNow = t.capacity;
  }

  addAllocation(m: { name: MachineName; zone: Zone }, p: Allocation): void {
    this.apply(m, p, 1);
    let job = this.jobs.get(p.job);
    if (job === undefined) {
      job = {
        tasks: new Map(),
        tasksPerZone: new Map(),
        tasksPerAttempt: new Map(),
        stoppingAllocations: 0,
        hasDuplicates: false,
      };
      this.jobs.set(p.job, job);
    }
    for (const i of p.tasks) {
      if (job.tasks.has(i)) job.hasDuplicates = true;
      job.tasks.set(i, { machine: m.name, attempt: p.attempt });
    }
    addCount(job.tasksPerZone, m.zone, p.tasks.length);
    addCount(job.tasksPerAttempt, p.attempt, p.tasks.length);
    if (p.stop === true) job.stoppingAllocations++;
  }

  /** Takes back what `add` did. */
  removeAllocation(m: { name: MachineName; zone: Zone }, p: Allocation): void {
    this.apply(m, p, -1);
    const job = this.jobs.get(p.job);
    if (job === undefined) return;
    for (const i of p.tasks) {
      const at = job.tasks.get(i);
      if (at?.machine === m.name && at.attempt === p.attempt) job.tasks.delete(i);
    }
    addCount(job.tasksPerZone, m.zone, -p.tasks.length);
    addCount(job.tasksPerAttempt, p.attempt, -p.tasks.length);
    if (p.stop === true) job.stoppingAllocations--;
    if (job.hasDuplicates)
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
  vacate(m: { name: MachineName }, p: Allocation, there: boolean, isDurable: boolean): void {
    const n = p.tasks.length * (there ? 1 : -1);
    this.applyToMachine(m, p, n);
    if (isDurable) this.applyToTeam(p, n);
  }

  private apply(m: { name: MachineName }, p: Allocation, times: number): void {
    const n = p.tasks.length * times;
    this.applyToMachine(m, p, n);
    this.applyToTeam(p, n);
  }

  private applyToMachine(m: { name: MachineName }, p: Allocation, n: number): void {
    this.freeByMachine.set(
      m.name,
      addResources(this.freeByMachine.get(m.name) ?? NO_RESOURCES, p.demand, -n),
    );
  }

  private applyToTeam(p: Allocation, n: number): void {
    let t = this.teamTotals.get(p.team);
    if (t === undefined) {
      t = { used: NO_RESOURCES, usedByServices: NO_RESOURCES, dominantShare: 0, tasks: 0 };
      this.teamTotals.set(p.team, t);
    }
    t.used = addResources(t.used, p.demand, n);
    if (p.kind === 'service') t.usedByServices = addResources(t.usedByServices, p.demand, n);
    t.tasks += n;
    t.dominantShare = t.tasks === 0 ? 0 : t.dominantShare + dominantShare(p.demand, this.fleetCapacity) * n;
  }

  weightOf(team: TeamName): number {
    const t = this.teams.get(team);
    return t === undefined ? 1 : teamWeight(t);
  }

  /** The team's global dominant share divided by its weight. */
  dominantShareOf(team: TeamName): number {
    if (this.areSharesStale) {
      this.areSharesStale = false;
      for (const s of this.teamTotals.values()) s.dominantShare = 0;
      for (const m of this.machines.values())
        for (const p of m.placed)
          this.teamTotals.get(p.team)!.dominantShare +=
            dominantShare(p.demand, this.fleetCapacity) * p.tasks.length;
    }
    return (this.teamTotals.get(team)?.dominantShare ?? 0) / this.weightOf(team);
  }

  isWithinQuota(team: TeamName, demand: ResourceVector, times: number): boolean {
    return this.fitsQuota(team, this.usedBy(team), demand, times);
  }

  /** Whether so much will fit into the team's limit once its work that ends by itself has ended. */
  willFitQuota(team: TeamName, demand: ResourceVector, times: number): boolean {
    return this.fitsQuota(team, this.teamTotals.get(team)?.usedByServices ?? NO_RESOURCES, demand, times);
  }

  /** How many more tasks the team's limit allows beside what it uses and `extra`. */
  tasksWithinQuota(team: TeamName, demand: ResourceVector, extra: ResourceVector): number {
    const t = this.teams.get(team);
    if (t === undefined) return 0;
    const used = addResources(this.usedBy(team), extra);
    const times = (limit: number | null, r: typeof CPU | typeof GPU) =>
      limit === null || demand[r] <= 0
        ? Number.POSITIVE_INFINITY
        : Math.max(0, Math.floor((limit - used[r]) / demand[r]));
    return Math.min(times(t.limitCpu, CPU), times(t.limitGpu, GPU));
  }

  private fitsQuota(team: TeamName, used: ResourceVector, demand: ResourceVector, times: number): boolean {
    const t = this.teams.get(team);
    if (t === undefined) return false;
    const after = addResources(used, demand, times);
    if (t.limitCpu !== null && demand[CPU] > 0 && after[CPU] > t.limitCpu) return false;
    return !(t.limitGpu !== null && demand[GPU] > 0 && after[GPU] > t.limitGpu);
  }
}
