/**
 * Preempts tasks for jobs that have not fitted on any machine for a while: production jobs, jobs within their team's
 * guarantee, and gangs that tasks of lower priority keep from whole machines. A pass preempts for at most one job, so
 * that the next pass sees the effect.
 */
import { LOG_EVENT } from '../../core/log-events.js';
import type { JobId, MachineName } from '../../core/model/ids.js';
import type { JobRecord } from '../../core/model/jobs.js';
import type { Allocation, MachineRecord } from '../../core/model/machines.js';
import { monotonicMs, type MonotonicMs } from '../../core/model/time.js';
import { selectGangVictims } from '../../core/placement/gang-preemption.js';
import { isWithinGuarantee } from '../../core/placement/guarantees.js';
import type { WaitReason } from '../../core/placement/placement-types.js';
import { selectVictims, type PreemptionInput } from '../../core/placement/preemption.js';
import { key } from '../../core/records/keys.js';
import { markStopping } from '../../core/state/allocations.js';
import type { ChangeSet } from '../../io/state/change-set.js';
import type { ControllerContext } from '../controller-context.js';

/** A pass searches no further victims after this time, in milliseconds; the next one continues with the other jobs. */
const MAX_SEARCH_MS = 10;

/** Reservation of a machine for the job that tasks were stopped for. */
interface Claim {
  readonly job: JobId;
  readonly until: MonotonicMs;
}

/** Tasks of one job that are stopped for another job. */
interface Preemption {
  readonly job: JobRecord;
  readonly machine: MachineRecord;
  readonly victim: Allocation;
  /** Whether the job that tasks are stopped for is within its team's guarantee. */
  readonly isEntitled: boolean;
}

/** Chooses tasks to preempt, and reserves their machines for the job that they are stopped for. */
export class Preemptor {
  private readonly claims = new Map<MachineName, Claim>();
  /** Time at which each pending job was first considered for preemption. */
  private readonly waitingSince = new Map<JobId, MonotonicMs>();

  /** Jobs without victims in the passes since the last one that searched for all others. */
  private readonly searchedInVain = new Set<JobId>();

  constructor(
    private readonly context: ControllerContext,
    private readonly roomOf: PreemptionInput['roomOf'],
  ) {}

  /** Whether the last pass ended before it searched for victims for all jobs. */
  get hasUnsearchedJobs(): boolean {
    return this.searchedInVain.size > 0;
  }

  /** Whether the machine is reserved for another job. */
  isClaimedByOther(job: JobId, machine: MachineName): boolean {
    const claim = this.claims.get(machine);
    return claim !== undefined && claim.job !== job && claim.until > this.context.clock.now();
  }

  /** Ends the claim on the machine after a task was placed there. */
  releaseClaim(machine: MachineName): void {
    this.claims.delete(machine);
  }

  /**
   * The changes that preempt tasks for the first pending job that may preempt and has victims; empty if there is none.
   */
  preempt(waitReasons: ReadonlyMap<JobId, WaitReason>, machines: readonly MachineRecord[]): ChangeSet[] {
    this.forgetOutdated(waitReasons);
    const { startable } = this.context.dependencies.current();
    const startableJobs = new Map(startable.map((job) => [job.spec.id, job]));
    const startedAt = this.context.clock.now();
    for (const [id, reason] of waitReasons) {
      if (reason !== 'no_room' || this.searchedInVain.has(id)) continue;
      const job = startableJobs.get(id);
      if (!this.hasWaited(id) || job === undefined || !this.mayPreempt(job)) continue;
      const changes = isMultiTaskGang(job)
        ? this.preemptForGang(job, machines)
        : this.preemptForTask(job, machines);
      if (changes.length > 0) {
        this.searchedInVain.clear();
        return changes;
      }
      this.searchedInVain.add(id);
      if (this.context.clock.now() - startedAt >= MAX_SEARCH_MS) return [];
    }
    this.searchedInVain.clear();
    return [];
  }

  private forgetOutdated(waitReasons: ReadonlyMap<JobId, WaitReason>): void {
    const now = this.context.clock.now();
    for (const id of this.waitingSince.keys()) if (!waitReasons.has(id)) this.waitingSince.delete(id);
    for (const [machine, claim] of this.claims) if (claim.until <= now) this.claims.delete(machine);
  }

  /**
   * Whether the job has waited as long as operators allow (`patience_s`) for resources to become free without
   * preemption. The time starts with the first call for the job.
   */
  private hasWaited(id: JobId): boolean {
    const { clock, operator } = this.context;
    const now = clock.now();
    const since = this.waitingSince.get(id);
    if (since === undefined) this.waitingSince.set(id, now);
    return since !== undefined && now - since >= operator.placement.patience_s * 1000;
  }

  private mayPreempt(job: JobRecord): boolean {
    const { spec, done, failing } = job;
    // No tasks are stopped for a job that fails on every machine.
    if (failing !== undefined) return false;
    const claimed = this.claimsOf(spec.id);
    if (isMultiTaskGang(job)) return claimed === 0;
    const allocated = this.context.allocations.current().allocationsByJob.get(spec.id)?.tasks.size ?? 0;
    if (claimed >= spec.tasks - done.count - allocated) return false;
    return spec.priority === 'production' || this.isEntitled(job);
  }

  private claimsOf(job: JobId): number {
    let claimed = 0;
    for (const claim of this.claims.values()) if (claim.job === job) claimed++;
    return claimed;
  }

  /** Whether one more task stays within the guarantee of the job's team. */
  private isEntitled({ spec }: JobRecord): boolean {
    return isWithinGuarantee(this.context.teams.get(spec.team), this.context.allocations.current(), spec, 1);
  }

  private preemptForTask(job: JobRecord, machines: readonly MachineRecord[]): ChangeSet[] {
    const selected = selectVictims(this.preemptionInput(job, machines));
    return selected === null ? [] : [this.stopVictims(job, selected.machine, selected.victims)];
  }

  /** Preempts tasks on all machines that the gang needs and claims them at once, since a gang starts as a whole. */
  private preemptForGang(job: JobRecord, machines: readonly MachineRecord[]): ChangeSet[] {
    const selected = selectGangVictims(this.preemptionInput(job, machines)) ?? [];
    const changes: ChangeSet[] = [];
    for (const { machine, victims } of selected) {
      if (victims.length > 0) changes.push(this.stopVictims(job, machine, victims));
      else this.claim(job, machine);
    }
    return changes;
  }

  private preemptionInput({ spec }: JobRecord, machines: readonly MachineRecord[]): PreemptionInput {
    const { context } = this;
    return {
      job: spec,
      jobs: context.view.jobs,
      machines,
      totals: context.allocations.current(),
      teams: context.teams,
      roomOf: this.roomOf,
      isClaimed: (machine) => this.claims.has(machine.name),
    };
  }

  private claim({ spec }: JobRecord, machine: MachineRecord): void {
    const { clock, operator } = this.context;
    const until = monotonicMs(clock.now() + operator.placement.claim_s * 1000);
    this.claims.set(machine.name, { job: spec.id, until });
  }

  /** The change that marks the victims as stopping; claims their machine for the job. */
  private stopVictims(job: JobRecord, machine: MachineRecord, victims: readonly Allocation[]): ChangeSet {
    this.claim(job, machine);
    const value: MachineRecord = { ...machine, placed: markStopping(machine.placed, victims) };
    // An allocation that stops in part is split, for which a record near its limit has no bytes left.
    if (!this.context.recordBudget.isStorable(value)) return this.stopWholeAllocations(job, machine, victims);
    return this.stopChange(job, value, victims);
  }

  /** The change that stops all tasks of the allocations that the victims belong to, which splits none of them. */
  private stopWholeAllocations(
    job: JobRecord,
    machine: MachineRecord,
    victims: readonly Allocation[],
  ): ChangeSet {
    const isOfVictim = ({ job: id, attempt }: Allocation) =>
      victims.some((victim) => victim.job === id && victim.attempt === attempt);
    const whole = machine.placed.filter((allocation) => allocation.stop !== true && isOfVictim(allocation));
    const value: MachineRecord = { ...machine, placed: markStopping(machine.placed, whole) };
    return this.stopChange(job, value, whole);
  }

  /** The change that writes the machine's record, in which the victims are marked as stopping. */
  private stopChange(job: JobRecord, value: MachineRecord, victims: readonly Allocation[]): ChangeSet {
    const isEntitled = this.isEntitled(job);
    for (const victim of victims) this.reportPreemption({ job, machine: value, victim, isEntitled });
    return {
      operations: [{ key: key.machine(value.name), value, reason: 'preemption' }],
      guards: this.context.guards.forMachine(value),
      // A gang needs the room on all its machines.
      groups: [job.spec.id],
    };
  }

  private reportPreemption({ job: preemptingJob, machine, victim, isEntitled }: Preemption): void {
    const { events, log } = this.context;
    const { job, tasks, attempt } = victim;
    const preemptingId = preemptingJob.spec.id;
    if (events.isActive)
      for (const index of tasks)
        events.emit({
          kind: 'task_preempted',
          task: { job, index, attempt, machine: machine.name },
          preemptor: preemptingId,
        });
    log.info(
      { job, tasks, attempt, machine: machine.name, for: preemptingId, entitled: isEntitled },
      LOG_EVENT.taskPreempted,
    );
  }
}

const isMultiTaskGang = ({ spec }: JobRecord): boolean => spec.kind === 'gang' && spec.tasks > 1;
