/**
 * Makes room for jobs that have found none for a while: services that are wanted all the time, and jobs within their
 * team's guarantee, and gangs that low-priority work keeps from whole machines. At most one job a pass, so that the next pass sees what came of it.
 */
import { LOG_EVENT } from '../../core/log-events.js';
import { key } from '../../core/records/keys.js';
import type { WaitReason } from '../../core/placement/placement.js';
import {
  selectGangVictims,
  selectVictims,
  markStopping,
  isWithinGuarantee,
  type PreemptionInput,
} from '../../core/placement/preemption.js';
import type { JobId, MachineName } from '../../core/model/ids.js';
import type { JobRecord } from '../../core/model/jobs.js';
import type { MachineRecord, Allocation } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { ChangeSet } from '../../io/state/transactions.js';
import type { ControllerContext } from '../controller-context.js';

/** Room that was made by stopping something, kept for the job that it was made for. */
interface Claim {
  readonly job: JobId;
  readonly until: number;
}

/** A gang of several tasks: it needs room on several machines at once. */
const isSeveral = ({ spec }: JobRecord): boolean => spec.kind === 'gang' && spec.tasks > 1;

/** Chooses tasks to stop and keeps the room that they leave for the job that it was made for. */
export class Preemptor {
  private readonly claims = new Map<MachineName, Claim>();
  private readonly waitingSince = new Map<JobId, MonotonicMs>();

  constructor(private readonly context: ControllerContext) {}

  isClaimedByOther(job: JobId, machine: MachineName): boolean {
    const claim = this.claims.get(machine);
    return claim !== undefined && claim.job !== job && claim.until > this.context.clock.now();
  }

  /** Something was placed on the machine: what was claimed there is used. */
  used(machine: MachineName): void {
    this.claims.delete(machine);
  }

  /** The changes that stop tasks for one of the jobs passed over, if any may have tasks stopped for it. */
  preempt(waitReasons: ReadonlyMap<JobId, WaitReason>, shard: readonly MachineRecord[]): ChangeSet[] {
    const { context } = this;
    this.forgetOld(waitReasons);
    const startable = new Map(context.dependencies.current().startable.map((j) => [j.spec.id, j]));
    for (const [id, reason] of waitReasons) {
      if (reason !== 'no_room') continue;
      const job = startable.get(id);
      if (!this.hasWaited(id) || job === undefined || !this.mayPreempt(job)) continue;
      const groups = isSeveral(job) ? this.makeGangRoom(job, shard) : this.makeRoom(job, shard);
      if (groups.length > 0) return groups;
    }
    return [];
  }

  private forgetOld(waitReasons: ReadonlyMap<JobId, WaitReason>): void {
    const now = this.context.clock.now();
    for (const id of this.waitingSince.keys()) if (!waitReasons.has(id)) this.waitingSince.delete(id);
    for (const [machine, claim] of this.claims) if (claim.until <= now) this.claims.delete(machine);
  }

  /** Room may come by itself for a while. */
  private hasWaited(id: JobId): boolean {
    const now = this.context.clock.now();
    const since = this.waitingSince.get(id);
    if (since === undefined) this.waitingSince.set(id, now);
    return since !== undefined && now - since >= this.context.operator.placement.patience_s * 1000;
  }

  private isEntitled({ spec }: JobRecord): boolean {
    return isWithinGuarantee(this.context.teams.get(spec.team), this.context.allocations.current(), spec, 1);
  }

  private mayPreempt(job: JobRecord): boolean {
    const { spec } = job;
    // Nothing is stopped for what fails wherever it runs.
    if (job.failing !== undefined) return false;
    if (isSeveral(job)) return [...this.claims.values()].every((claim) => claim.job !== spec.id);
    const placed = this.context.allocations.current().jobs.get(spec.id)?.tasks.size ?? 0;
    let claimed = 0;
    for (const claim of this.claims.values()) if (claim.job === spec.id) claimed++;
    if (claimed >= spec.tasks - job.done.count - placed) return false;
    return spec.priority === 'production' || this.isEntitled(job);
  }

  private makeRoom(job: JobRecord, shard: readonly MachineRecord[]): ChangeSet[] {
    const found = selectVictims(this.input(job, shard));
    if (found === null) return [];
    return [this.stop(job, found.machine, found.victims)];
  }

  /** A gang starts as a whole, so that all its room is made and kept at once. */
  private makeGangRoom(job: JobRecord, shard: readonly MachineRecord[]): ChangeSet[] {
    const places = selectGangVictims(this.input(job, shard)) ?? [];
    const groups: ChangeSet[] = [];
    for (const { machine, victims } of places) {
      if (victims.length > 0) groups.push(this.stop(job, machine, victims));
      else this.claim(job, machine);
    }
    return groups;
  }

  private input({ spec }: JobRecord, shard: readonly MachineRecord[]): PreemptionInput {
    const { context } = this;
    const isClaimed = (m: MachineRecord) => this.claims.has(m.name);
    return {
      job: spec,
      jobs: context.view.jobs,
      machines: shard,
      totals: context.allocations.current(),
      teams: context.teams,
      isClaimed,
    };
  }

  private claim({ spec }: JobRecord, machine: MachineRecord): void {
    const { clock, operator } = this.context;
    const until = clock.now() + operator.placement.claim_s * 1000;
    this.claims.set(machine.name, { job: spec.id, until });
  }

  /** The change that stops the victims; the room that they leave is kept for the job. */
  private stop(job: JobRecord, machine: MachineRecord, victims: readonly Allocation[]): ChangeSet {
    const { context } = this;
    this.claim(job, machine);
    const entitled = this.isEntitled(job);
    for (const v of victims) {
      if (context.events.isActive)
        for (const index of v.tasks)
          context.events.emit({
            kind: 'task_preempted',
            task: { job: v.job, index, attempt: v.attempt, machine: machine.name },
            inFavourOf: job.spec.id,
          });
      context.log.info(
        {
          job: v.job,
          tasks: v.tasks,
          attempt: v.attempt,
          machine: machine.name,
          for: job.spec.id,
          entitled,
        },
        LOG_EVENT.taskPreempted,
      );
    }
    const value: MachineRecord = { ...machine, placed: markStopping(machine.placed, victims) };
    const k = key.machine(machine.name);
    return {
      operations: [{ key: k, value, reason: 'preemption' }],
      guards: [context.guards.forKey(k), context.guards.forKey(key.shard(machine.owner))],
    };
  }
}
