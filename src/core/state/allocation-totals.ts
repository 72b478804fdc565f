/**
 * Totals over the machine records: the resources that each team uses, the machines of each job's tasks, and
 * the free resources of each machine. An allocated task counts until its exit is confirmed. Records are
 * applied one by one, so that the cost of an update depends on the number of changes and not on the size of
 * the fleet. Only the dominant shares are summed again over all records after capacity was added or removed.
 */
import type { Team } from '../model/cluster.js';
import { dominantShare, teamWeight } from '../model/dominant-share.js';
import type { Attempt, JobId, MachineName, TaskIndex, TeamName, TypeName, Zone } from '../model/ids.js';
import type { Allocation, MachineRecord, MachineType } from '../model/machines.js';
import { CPU, GPU, NO_RESOURCES, addResources, type ResourceVector } from '../model/resources.js';

/** The allocated tasks of a job. */
export interface JobAllocations {
  /** Machine and attempt of each allocated task; one of them for a task that is in several records. */
  readonly tasks: Map<TaskIndex, { machine: MachineName; attempt: Attempt }>;
  readonly tasksPerZone: Map<Zone, number>;
  readonly tasksPerAttempt: Map<Attempt, number>;
  /** Number of the job's allocations whose tasks are being stopped. */
  stoppingAllocations: number;
  /**
   * Whether a task has been in two records at once; then each removal requires a search for the remaining
   * records.
   */
  hasDuplicates: boolean;
}

/** What `releaseProvisionally` releases of a task that has exited but is still in its machine's record. */
export interface ProvisionalRelease {
  /** Whether the task's share of its team's quota is released; its resources on the machine always are. */
  readonly includesQuota: boolean;
}

type MachineId = Pick<MachineRecord, 'name'>;
type MachineLocation = Pick<MachineRecord, 'name' | 'zone'>;

interface TeamTotals {
  used: ResourceVector;
  /** The part of `used` that belongs to services, whose tasks do not end by themselves. */
  usedByServices: ResourceVector;
  /** Sum of the dominant shares of the team's tasks, not divided by its weight. */
  dominantShare: number;
  tasks: number;
}

/** Totals over the machine records, updated record by record. */
export class AllocationTotals {
  /** Allocated tasks by job; only jobs with allocated tasks. */
  readonly allocationsByJob = new Map<JobId, JobAllocations>();
  /** Capacity of each machine minus its allocated resources; that of an unknown type counts as zero. */
  readonly freeByMachine = new Map<MachineName, ResourceVector>();
  private readonly machines = new Map<MachineName, MachineRecord>();
  private readonly teamTotals = new Map<TeamName, TeamTotals>();
  private summedCapacity: ResourceVector = NO_RESOURCES;
  private effectiveCapacity: ResourceVector = NO_RESOURCES;
  /** Whether the fleet capacity may have changed since the dominant shares were summed. */
  private areSharesStale = false;

  constructor(
    machines: Iterable<MachineRecord>,
    private readonly types: ReadonlyMap<TypeName, MachineType>,
    private readonly teams: ReadonlyMap<TeamName, Team>,
  ) {
    this.updateEffectiveCapacity();
    for (const machine of machines) this.setMachine(machine.name, machine);
  }

  /**
   * Capacity of all machines that are not being released. That of an empty fleet is replaced by the capacity
   * of one machine of the type with the most CPUs, so that dominant shares of it are defined.
   */
  get fleetCapacity(): ResourceVector {
    return this.effectiveCapacity;
  }

  /** Resources that the team's allocated tasks use. */
  usedBy(team: TeamName): ResourceVector {
    return this.teamTotals.get(team)?.used ?? NO_RESOURCES;
  }

  /** Replaces the record of a machine in the totals; undefined removes the machine. */
  setMachine(name: MachineName, machine: MachineRecord | undefined): void {
    const before = this.machines.get(name);
    if (before !== undefined) {
      this.machines.delete(name);
      for (const allocation of before.placed) this.removeAllocation(before, allocation);
      this.freeByMachine.delete(name);
      this.addCapacity(before, -1);
    }
    if (machine === undefined) return;
    this.machines.set(name, machine);
    this.freeByMachine.set(name, this.types.get(machine.type)?.capacity ?? NO_RESOURCES);
    this.addCapacity(machine, 1);
    for (const allocation of machine.placed) this.addAllocation(machine, allocation);
  }

  /** Adds an allocation on a machine to the totals. */
  addAllocation(machine: MachineLocation, allocation: Allocation): void {
    const { tasks, attempt } = allocation;
    this.addToMachine(machine, allocation, tasks.length);
    this.addToTeam(allocation, tasks.length);
    const job = this.allocationsOf(allocation.job);
    for (const index of tasks) {
      if (job.tasks.has(index)) job.hasDuplicates = true;
      job.tasks.set(index, { machine: machine.name, attempt });
    }
    adjustCount(job.tasksPerZone, machine.zone, tasks.length);
    adjustCount(job.tasksPerAttempt, attempt, tasks.length);
    if (allocation.stop === true) job.stoppingAllocations++;
  }

  /** Reverses `addAllocation`. */
  removeAllocation(machine: MachineLocation, allocation: Allocation): void {
    const { tasks, attempt } = allocation;
    this.addToMachine(machine, allocation, -tasks.length);
    this.addToTeam(allocation, -tasks.length);
    const job = this.allocationsByJob.get(allocation.job);
    if (job === undefined) return;
    for (const index of tasks) {
      const location = job.tasks.get(index);
      if (location?.machine === machine.name && location.attempt === attempt) job.tasks.delete(index);
    }
    adjustCount(job.tasksPerZone, machine.zone, -tasks.length);
    adjustCount(job.tasksPerAttempt, attempt, -tasks.length);
    if (allocation.stop === true) job.stoppingAllocations--;
    if (job.hasDuplicates) this.reindexTasks(allocation.job, job);
    if (job.tasks.size === 0) this.allocationsByJob.delete(allocation.job);
  }

  /**
   * Releases the resources of tasks whose exit is confirmed while their machine's record still contains them.
   * Quota may be released only once the results of the tasks are durable: before that, a controller that
   * takes over the shard may start them again.
   */
  releaseProvisionally(machine: MachineId, allocation: Allocation, release: ProvisionalRelease): void {
    this.addToMachine(machine, allocation, -allocation.tasks.length);
    if (release.includesQuota) this.addToTeam(allocation, -allocation.tasks.length);
  }

  /** Reverses `releaseProvisionally`, called with the same arguments. */
  restoreAllocation(machine: MachineId, allocation: Allocation, release: ProvisionalRelease): void {
    this.addToMachine(machine, allocation, allocation.tasks.length);
    if (release.includesQuota) this.addToTeam(allocation, allocation.tasks.length);
  }

  /** The team's weight in fair sharing; 1 for an unknown team. */
  weightOf(team: TeamName): number {
    const knownTeam = this.teams.get(team);
    return knownTeam === undefined ? 1 : teamWeight(knownTeam);
  }

  /** The team's weighted dominant share: its dominant share of the fleet capacity, divided by its weight. */
  dominantShareOf(team: TeamName): number {
    if (this.areSharesStale) this.recomputeShares();
    return (this.teamTotals.get(team)?.dominantShare ?? 0) / this.weightOf(team);
  }

  /**
   * Whether the team stays within its quota with `tasks` more tasks of the demand; false for an unknown team.
   */
  isWithinQuota(team: TeamName, demand: ResourceVector, tasks: number): boolean {
    return this.fitsQuota(team, this.usedBy(team), demand, tasks);
  }

  /**
   * Whether `tasks` more tasks of the demand will fit into the team's quota once its tasks other than those
   * of services have ended; false for an unknown team.
   */
  willFitQuota(team: TeamName, demand: ResourceVector, tasks: number): boolean {
    return this.fitsQuota(team, this.teamTotals.get(team)?.usedByServices ?? NO_RESOURCES, demand, tasks);
  }

  /**
   * Number of further tasks that the team's quota allows beside its use and `extra`; infinite without a
   * quota, 0 for an unknown team.
   */
  tasksWithinQuota(team: TeamName, demand: ResourceVector, extra: ResourceVector): number {
    const knownTeam = this.teams.get(team);
    if (knownTeam === undefined) return 0;
    const used = addResources(this.usedBy(team), extra);
    return Math.min(
      tasksWithinResourceQuota(knownTeam.cpuQuota, used[CPU], demand[CPU]),
      tasksWithinResourceQuota(knownTeam.gpuQuota, used[GPU], demand[GPU]),
    );
  }

  private fitsQuota(team: TeamName, used: ResourceVector, demand: ResourceVector, tasks: number): boolean {
    const knownTeam = this.teams.get(team);
    if (knownTeam === undefined) return false;
    const after = addResources(used, demand, tasks);
    if (knownTeam.cpuQuota !== null && demand[CPU] > 0 && after[CPU] > knownTeam.cpuQuota) return false;
    return !(knownTeam.gpuQuota !== null && demand[GPU] > 0 && after[GPU] > knownTeam.gpuQuota);
  }

  private addCapacity(machine: MachineRecord, sign: number): void {
    const type = this.types.get(machine.type);
    if (type === undefined || machine.phase === 'releasing') return;
    this.summedCapacity = addResources(this.summedCapacity, type.capacity, sign);
    this.updateEffectiveCapacity();
  }

  /** Applies the summed capacity; an empty fleet counts as one machine of the type with the most CPUs. */
  private updateEffectiveCapacity(): void {
    this.effectiveCapacity = this.summedCapacity;
    this.areSharesStale = true;
    if (this.summedCapacity.some((amount) => amount > 0)) return;
    for (const type of this.types.values())
      if (this.effectiveCapacity[CPU] < type.capacity[CPU]) this.effectiveCapacity = type.capacity;
  }

  private addToMachine(machine: MachineId, { demand }: Allocation, tasks: number): void {
    const free = this.freeByMachine.get(machine.name) ?? NO_RESOURCES;
    this.freeByMachine.set(machine.name, addResources(free, demand, -tasks));
  }

  private addToTeam({ team, kind, demand }: Allocation, tasks: number): void {
    const totals = this.totalsOf(team);
    totals.used = addResources(totals.used, demand, tasks);
    if (kind === 'service') totals.usedByServices = addResources(totals.usedByServices, demand, tasks);
    totals.tasks += tasks;
    // Sets the share of a team without tasks to exactly zero: the sum may keep rounding errors.
    if (totals.tasks === 0) totals.dominantShare = 0;
    else totals.dominantShare += dominantShare(demand, this.fleetCapacity) * tasks;
  }

  private totalsOf(team: TeamName): TeamTotals {
    let totals = this.teamTotals.get(team);
    if (totals === undefined) {
      totals = { used: NO_RESOURCES, usedByServices: NO_RESOURCES, dominantShare: 0, tasks: 0 };
      this.teamTotals.set(team, totals);
    }
    return totals;
  }

  private allocationsOf(id: JobId): JobAllocations {
    let job = this.allocationsByJob.get(id);
    if (job === undefined) {
      job = {
        tasks: new Map(),
        tasksPerZone: new Map(),
        tasksPerAttempt: new Map(),
        stoppingAllocations: 0,
        hasDuplicates: false,
      };
      this.allocationsByJob.set(id, job);
    }
    return job;
  }

  /** Restores the task locations of a job with duplicates from the remaining records. */
  private reindexTasks(id: JobId, job: JobAllocations): void {
    for (const machine of this.machines.values())
      for (const { job: owner, tasks, attempt } of machine.placed) {
        if (owner !== id) continue;
        for (const index of tasks) job.tasks.set(index, { machine: machine.name, attempt });
      }
  }

  private recomputeShares(): void {
    this.areSharesStale = false;
    for (const totals of this.teamTotals.values()) totals.dominantShare = 0;
    for (const machine of this.machines.values())
      for (const { team, demand, tasks } of machine.placed)
        this.teamTotals.get(team)!.dominantShare += dominantShare(demand, this.fleetCapacity) * tasks.length;
  }
}

/** Adds to a count and deletes it when it becomes zero. */
function adjustCount<Key>(counts: Map<Key, number>, key: Key, added: number): void {
  const count = (counts.get(key) ?? 0) + added;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}

/** Number of further tasks that the quota of one resource allows; infinite without a quota (null) or demand. */
function tasksWithinResourceQuota(quota: number | null, used: number, demand: number): number {
  if (quota === null || demand <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(0, Math.floor((quota - used) / demand));
}
