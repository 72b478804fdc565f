/** Decides which pending tasks start on which of this controller's machines, and commits the starts. */
import { attempt, type JobId } from '../../core/model/ids.js';
import type { JobRecord } from '../../core/model/jobs.js';
import type { Allocation, MachineRecord } from '../../core/model/machines.js';
import { PassContinuation } from '../../core/placement/pass-continuation.js';
import {
  FETCH_RANK_BUSY,
  type Placement,
  type PlacementInput,
  type WaitReason,
} from '../../core/placement/placement-types.js';
import { placeTasks } from '../../core/placement/placement.js';
import type { MachineRoom } from '../../core/records/machine-room.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import { commitChangeSets } from '../../io/state/transaction-commit.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health/health-tracker.js';
import type { AgentSessions } from './agent-sessions.js';
import { FRESH_HEARTBEAT_INTERVALS } from './machine-reachability.js';
import type { MachineReconciler } from './machine-reconciler.js';
import { PendingJobLog } from './pending-job-log.js';
import { Preemptor } from './preemptor.js';
import { StartTransactions, type PlacementPlan } from './start-transactions.js';
import type { TaskExits } from './task-exits.js';

/**
 * Partly used machines are preferred for this long after the last gang was seen, so that empty ones are left for gangs.
 */
const RECENT_GANG_MS = 600_000;
/** Maximum number of starts planned in one pass; each costs processor time. */
const MAX_PLACEMENTS = 256;
/**
 * One pass may place tasks on this many machines even where fewer can be written within `MAX_COMMIT_MS`; each machine
 * costs a write.
 */
const MIN_MACHINES_PER_PASS = 16;
/** Maximum number of machines that one pass places tasks on, whatever the write budget. */
const MAX_MACHINES_PER_PASS = 64;
/** Between its two bounds, the number of machines of a pass is limited to what can be written within this time. */
const MAX_COMMIT_MS = 2500;

/** Fetch rank of a machine that is already fetching the image. */
const FETCH_RANK_IN_PROGRESS = 1;
/** Fetch rank of a machine that lacks the image and fetches no other one. */
const FETCH_RANK_IDLE = 2;

/** An exited task whose allocation is still in its machine's record. */
interface ExitedAllocation {
  readonly machine: MachineRecord;
  readonly allocation: Allocation;
  /** Whether the task's result is in the state service; only then its part of the team's quota counts as free. */
  readonly isDurable: boolean;
}

/** Plans and commits the starts of successive placement passes. */
export class PlacementPass {
  /** Why the last pass left jobs of this controller's teams pending. */
  waitReasons: ReadonlyMap<JobId, WaitReason> = new Map();
  private attemptCounter = 0;
  private lastGangSeenAt = Number.NEGATIVE_INFINITY;
  private readonly continuation = new PassContinuation();
  private readonly preemptor: Preemptor;
  private readonly startTransactions: StartTransactions;
  private readonly pendingJobLog: PendingJobLog;

  constructor(
    private readonly context: ControllerContext,
    private readonly sessions: AgentSessions,
    private readonly health: HealthTracker,
    private readonly taskExits: TaskExits,
    machines: MachineReconciler,
  ) {
    this.preemptor = new Preemptor(context, (machine) => this.roomOf(machine));
    this.startTransactions = new StartTransactions(context, sessions, taskExits, machines);
    this.pendingJobLog = new PendingJobLog(context);
  }

  /** Whether the last pass left jobs to the next one because it had done as much work as one pass may do. */
  get hasUntriedJobs(): boolean {
    return this.continuation.jobsTriedInVain.size > 0 || this.preemptor.hasUnsearchedJobs;
  }

  /** The changes that start pending tasks; where none can be placed, those that preempt tasks for one job. */
  plan(): PlacementPlan {
    const placements = this.place();
    if (placements.length > 0) return this.startTransactions.build(placements);
    return { gangs: [], nonGangs: this.preemptor.preempt(this.waitReasons, this.availableMachines()) };
  }

  /**
   * Commits a plan, gangs first: a gang of which only some starts are committed would have to be stopped again. Returns
   * whether the whole plan was committed.
   */
  async commit({ gangs, nonGangs }: PlacementPlan): Promise<boolean> {
    const { state, watcher } = this.context;
    const areGangsCommitted = await commitChangeSets(state, watcher, gangs, REQUEST_PRIORITY.starts);
    const areOthersCommitted = await commitChangeSets(state, watcher, nonGangs, REQUEST_PRIORITY.starts);
    return areGangsCommitted && areOthersCommitted;
  }

  private place(): readonly Placement[] {
    const { ownership, dependencies } = this.context;
    const { startable } = dependencies.current();
    const jobs = startable.filter((job) => ownership.ownsTeam(job.spec.team));
    const triedJobs = this.continuation.select(jobs);
    const skipped = [...this.continuation.jobsTriedInVain];
    const result = this.placeWithExitsReleased(triedJobs);
    this.continuation.record(triedJobs, result);
    const { placements, waitReasons } = result;
    const backingOff = jobs.filter((job) => this.health.isBackingOff(job));
    this.waitReasons = new Map([
      ...skipped.map((id) => [id, 'no_room'] as const),
      ...waitReasons,
      ...backingOff.map((job) => [job.spec.id, 'failing'] as const),
    ]);
    this.pendingJobLog.log(jobs, this.waitReasons);
    for (const { machine } of placements) this.preemptor.releaseClaim(machine.name);
    return placements;
  }

  /** Places tasks with the resources of exited tasks counted as free, although their allocations are still recorded. */
  private placeWithExitsReleased(jobs: readonly JobRecord[]): ReturnType<typeof placeTasks> {
    const exited = this.exitedAllocations();
    const totals = this.context.allocations.current();
    for (const { machine, allocation, isDurable } of exited)
      totals.releaseProvisionally(machine, allocation, { includesQuota: isDurable });
    const result = placeTasks(this.placementInput(jobs));
    for (const { machine, allocation, isDurable } of exited)
      totals.restoreAllocation(machine, allocation, { includesQuota: isDurable });
    return result;
  }

  private placementInput(jobs: readonly JobRecord[]): PlacementInput {
    const { allocations, clock, operator, policy } = this.context;
    const { placement } = operator;
    return {
      jobs: jobs.filter((job) => !this.health.isBackingOff(job)),
      machines: this.availableMachines(),
      totals: allocations.current(),
      // Unique in this process only; `StartTransactions` adds the epoch of the shard's holder.
      newAttempt: () => attempt(++this.attemptCounter),
      fetchRank: (machine, image) => this.fetchRank(machine, image),
      isAvoided: (job, machine) =>
        this.health.avoidsMachine(job, machine) || this.preemptor.isClaimedByOther(job, machine),
      roomOf: (machine) => this.roomOf(machine),
      maxPlacements: MAX_PLACEMENTS,
      maxMachines: this.maxMachines(),
      order: policy.jobOrder(),
      preferPartlyUsedMachines: this.hasRecentGangs(),
      leavesWholeMachinesToGangs: policy.gangWholeMachinePolicy(),
      mayReserve: (job) => policy.mayReserve(job),
      isStarving: (job) => clock.wallClock() - job.submitted > placement.behind_s * 1000,
      isFailingEverywhere: (job) => this.health.isFailingEverywhere(job),
      fitnessTolerance: placement.h_slack,
    };
  }

  /** Owned machines that tasks may be placed on now. */
  private availableMachines(): MachineRecord[] {
    const { clock, ownership, settings } = this.context;
    const freshMs = settings.agentTimings.report_s * 1000 * FRESH_HEARTBEAT_INTERVALS;
    return ownership.ownedMachines().filter((machine) => {
      const session = this.sessions.find(machine.name);
      if (machine.phase === 'releasing' || machine.drain === true || session?.heartbeat == null) return false;
      return clock.now() - session.lastContactAt < freshMs && !this.health.isQuarantined(machine);
    });
  }

  private roomOf(machine: MachineRecord): MachineRoom {
    return this.context.machineRooms.roomOf(machine, this.sessions.find(machine.name)?.heartbeat ?? null);
  }

  private exitedAllocations(): ExitedAllocation[] {
    const exited: ExitedAllocation[] = [];
    for (const name of this.taskExits.machines()) {
      const machine = this.context.view.machines.get(name);
      if (machine === undefined) continue;
      for (const exit of this.taskExits.confirmedExitsOn(machine)) {
        const allocation = { ...exit.allocation, tasks: [exit.index] };
        exited.push({ machine, allocation, isDurable: this.taskExits.isDurable(exit) });
      }
    }
    return exited;
  }

  private maxMachines(): number {
    const affordable = this.context.state.writesWithin(MAX_COMMIT_MS);
    return Math.max(MIN_MACHINES_PER_PASS, Math.min(MAX_MACHINES_PER_PASS, affordable));
  }

  /** Whether an unfinished gang of any team was seen within `RECENT_GANG_MS`. */
  private hasRecentGangs(): boolean {
    const { clock, view } = this.context;
    const now = clock.now();
    for (const job of view.jobs.values()) {
      if (job.spec.kind !== 'gang') continue;
      this.lastGangSeenAt = now;
      break;
    }
    return now - this.lastGangSeenAt < RECENT_GANG_MS;
  }

  /** How soon the machine would have the image, as a rank from 0 (it has the image) to `FETCH_RANK_BUSY`. */
  private fetchRank(machine: MachineRecord, image: string): number {
    if (this.health.hasImage(machine, image)) return 0;
    let rank = FETCH_RANK_IDLE;
    for (const { job } of machine.placed) {
      const otherImage = this.context.view.jobs.get(job)?.spec.image;
      if (otherImage === image) return FETCH_RANK_IN_PROGRESS;
      if (otherImage !== undefined && !this.health.hasImage(machine, otherImage)) rank = FETCH_RANK_BUSY;
    }
    return rank;
  }
}
