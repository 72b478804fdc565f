/** Plans which waiting tasks start on which of this controller's machines, and commits the starts. */
import { LOG_EVENT } from '../../core/log-events.js';
import { taskId } from '../../core/model/ids.js';
import { allocationFor, addAllocation } from '../../core/state/allocations.js';
import {
  FETCH_RANK_BUSY,
  placeTasks,
  type WaitReason,
  type Placement,
} from '../../core/placement/placement.js';
import { key } from '../../core/records/keys.js';
import { removeExits } from '../../core/agents/agent-session.js';
import { attempt, type JobId, type MachineName, type TeamName } from '../../core/model/ids.js';
import type { JobRecord, JobSpec } from '../../core/model/jobs.js';
import type { MachineRecord, Allocation } from '../../core/model/machines.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import {
  GUARDS_PER_OPERATION,
  GuardSet,
  commitChangeSets,
  type ChangeSet,
} from '../../io/state/transactions.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health-tracker.js';
import type { MachineReconciler } from './machine-reconciler.js';
import type { AgentSessions } from './agent-sessions.js';
import { Preemptor } from './preemptor.js';
import type { TaskExits } from './task-exits.js';
import { FRESH_HEARTBEAT_INTERVALS } from './machine-reachability.js';

/** Gangs seen so long ago still have empty machines kept for them. */
const GANG_MEMORY_MS = 600_000;
/** So long a job waits before the reason is logged, and from then to the next time. */
const LOG_WAIT_MS = 30_000;
/** Starts planned in one pass at most: a plan takes processor time with each. */
const MOST_PLANNED = 256;
/**
 * Bounds of the machines that one pass puts them on, each of which is a change; between them as many as can be written in
 * about the time below. Tasks that share a machine share its change, and those of a vast array of small ones are many.
 */
const LEAST_MACHINES = 16;
const MOST_MACHINES = 64;
const PASS_MS = 2500;
/** An attempt is made of the revision at which the team's slice got its holder and a counter below this. */
const ATTEMPT_COUNTER = 2 ** 22;

const rankOfKind = (job: JobSpec): number => (job.kind === 'gang' ? 0 : 1);

/** Plans and commits the starts of one pass. */
export class PlacementPass {
  /** Why waiting jobs of this controller's teams were passed over last time. */
  waitReasons: ReadonlyMap<JobId, WaitReason> = new Map();
  private counter = 0;
  private lastGangSeenAt = Number.NEGATIVE_INFINITY;
  private readonly pendingLoggedAt = new Map<JobId, number>();
  private readonly preemptor: Preemptor;

  constructor(
    private readonly context: ControllerContext,
    private readonly sessions: AgentSessions,
    private readonly health: HealthTracker,
    private readonly results: TaskExits,
    private readonly machines: MachineReconciler,
  ) {
    this.preemptor = new Preemptor(context);
  }

  /** Places waiting tasks; where none can be placed, makes room for one. */
  plan(): PlacementPlan {
    const placements = this.place();
    if (placements.length > 0) return this.transactionsFor(placements);
    return { gangs: [], nonGangs: this.preemptor.preempt(this.waitReasons, this.availableMachines()) };
  }

  /** False: not all were committed. */
  async commit({ gangs, nonGangs }: PlacementPlan): Promise<boolean> {
    const { state, watcher } = this.context;
    // Of a gang all tasks are committed, however long that takes: a part of it would only have to go again.
    const ok = await commitChangeSets(state, watcher, gangs, REQUEST_PRIORITY.starts);
    return (await commitChangeSets(state, watcher, nonGangs, REQUEST_PRIORITY.starts)) && ok;
  }

  /** Machines that may be given work now. */
  private availableMachines(): MachineRecord[] {
    const { context } = this;
    const heardMs = context.settings.workers.report_s * 1000 * FRESH_HEARTBEAT_INTERVALS;
    return context.ownership.ownedMachines().filter((m) => {
      const memory = this.sessions.get(m.name);
      if (m.phase === 'releasing' || m.drain === true || memory?.heartbeat == null) return false;
      return context.clock.now() - memory.lastContactAt < heardMs && !this.health.isQuarantined(m);
    });
  }

  private place(): readonly Placement[] {
    const { context } = this;
    const { placement } = context.operator;
    const mine = context.dependencies
      .current()
      .startable.filter((j) => context.ownership.ownsTeam(j.spec.team));
    const ended = this.endedTasks();
    const totals = context.allocations.current();
    for (const { machine, allocation, isDurable } of ended)
      totals.releaseProvisionally(machine, allocation, { includesQuota: isDurable });
    const { placements, waitReasons } = placeTasks({
      jobs: mine.filter((j) => !this.health.isBackingOff(j)),
      machines: this.availableMachines(),
      totals,
      // A number for each start; the revision at which the team's slice got its holder is put before it below,
      // so that no attempt is ever used twice.
      newAttempt: () => attempt(++this.counter),
      fetchRank: (m, image) => this.fetchRank(m, image),
      isAvoided: (job, m) => this.health.avoidsMachine(job, m) || this.preemptor.isClaimedByOther(job, m),
      recordBytesLeft: (name) => context.recordBudget.bytesLeft(context.view.machines.get(name)!),
      maxPlacements: MOST_PLANNED,
      maxMachines: this.maxMachines(),
      order: context.policy.jobOrder(),
      preferPartlyUsedMachines: this.hasRecentGangs(),
      leavesWholeMachinesToGangs: context.policy.gangWholeMachinePolicy(),
      mayReserve: (j) => context.policy.mayReserve(j),
      isStarving: (j) => context.clock.wallClock() - j.submitted > placement.behind_s * 1000,
      isFailingEverywhere: (j) => this.health.isFailingEverywhere(j),
      fitnessTolerance: placement.h_slack,
    });
    for (const { machine, allocation, isDurable } of ended)
      totals.restoreAllocation(machine, allocation, { includesQuota: isDurable });
    const backedOff = mine.filter((j) => this.health.isBackingOff(j));
    this.waitReasons = new Map([...waitReasons, ...backedOff.map((j) => [j.spec.id, 'failing'] as const)]);
    this.logPendingJobs(mine);
    for (const p of placements) this.preemptor.used(p.machine.name);
    return placements;
  }

  /** Tasks that have ended and whose entries are still in their machines' records: their room can be used. */
  private endedTasks(): EndedTask[] {
    const ended: EndedTask[] = [];
    for (const name of this.results.machines()) {
      const machine = this.context.view.machines.get(name);
      if (machine === undefined) continue;
      for (const e of this.results.confirmedExitsOn(machine)) {
        const allocation = { ...e.placed, tasks: [e.index] };
        ended.push({ machine, allocation, isDurable: this.results.isDurable(e) });
      }
    }
    return ended;
  }

  private maxMachines(): number {
    return Math.max(LEAST_MACHINES, Math.min(MOST_MACHINES, this.context.state.writesWithin(PASS_MS)));
  }

  /** Gangs have been seen of late, in whatever team. */
  private hasRecentGangs(): boolean {
    const now = this.context.clock.now();
    for (const j of this.context.view.jobs.values())
      if (j.spec.kind === 'gang') {
        this.lastGangSeenAt = now;
        break;
      }
    return now - this.lastGangSeenAt < GANG_MEMORY_MS;
  }

  /** 0: the machine has the image; 1: it fetches it already; 2: it fetches nothing; 3: it fetches others. */
  private fetchRank(machine: MachineRecord, image: string): number {
    if (this.health.hasImage(machine, image)) return 0;
    let rank = 2;
    for (const p of machine.placed) {
      const other = this.context.view.jobs.get(p.job)?.spec.image;
      if (other === image) return 1;
      if (other !== undefined && !this.health.hasImage(machine, other)) rank = FETCH_RANK_BUSY;
    }
    return rank;
  }

  /** Why a job waits is asked for afterwards, too: it is logged now and then of those that wait for long. */
  private logPendingJobs(mine: readonly JobRecord[]): void {
    const wall = this.context.clock.wallClock();
    for (const id of this.pendingLoggedAt.keys())
      if (!this.waitReasons.has(id)) this.pendingLoggedAt.delete(id);
    for (const { spec, submitted } of mine) {
      const why = this.waitReasons.get(spec.id);
      const since = Math.max(submitted, this.pendingLoggedAt.get(spec.id) ?? 0);
      if (why === undefined || wall - since < LOG_WAIT_MS) continue;
      this.pendingLoggedAt.set(spec.id, wall);
      const waitsS = Math.round((wall - submitted) / 1000);
      this.context.log.info(
        { job: spec.id, team: spec.team, priority: spec.priority, waitsS, why },
        LOG_EVENT.jobPending,
      );
    }
  }

  private transactionsFor(placements: readonly Placement[]): PlacementPlan {
    const byMachine = new Map<MachineName, Placement[]>();
    for (const p of placements) {
      const list = byMachine.get(p.machine.name);
      if (list === undefined) byMachine.set(p.machine.name, [p]);
      else list.push(p);
    }
    const gangs: ChangeSet[] = [];
    const nonGangs: ChangeSet[] = [];
    for (const [name, list] of byMachine) {
      const isGang = list.some((p) => p.job.kind === 'gang');
      (isGang ? gangs : nonGangs).push(this.startTransaction(this.context.view.machines.get(name)!, list));
    }
    return { gangs, nonGangs };
  }

  /** The change that starts tasks on one machine, and takes out those that have ended. */
  private startTransaction(machine: MachineRecord, placements: readonly Placement[]): ChangeSet {
    const { context } = this;
    const k = key.machine(machine.name);
    const guards = new GuardSet(context.state.limits.operationsPerTransaction * GUARDS_PER_OPERATION);
    guards.add([context.guards.forKey(k), context.guards.forKey(key.shard(machine.owner))]);
    const gone = this.results.confirmedExitsOn(machine).filter((e) => this.results.isDurable(e));
    let placed: readonly Allocation[] = removeExits(machine.placed, gone);
    // Gangs first: of a gang no task may be left out.
    const gangsFirst = [...placements].sort((a, b) => rankOfKind(a.job) - rankOfKind(b.job));
    for (const p of gangsFirst) {
      // Tasks of dozens of small jobs on one machine need more guards than a transaction takes: it would be rejected for
      // ever, and the machine get nothing more. What does not fit is left to the next pass.
      if (!guards.add([...context.guards.forTeam(p.job.team), context.guards.forKey(key.job(p.job.id))]))
        continue;
      const full = attempt(this.epochOf(p.job.team) * ATTEMPT_COUNTER + (p.attempt % ATTEMPT_COUNTER));
      placed = addAllocation(placed, allocationFor(p.job, full, [p.index]));
      this.logPlacement(p, full);
    }
    const value: MachineRecord = {
      ...machine,
      phase: 'up',
      placed,
      ...this.machines.observedFields(machine, this.sessions.of(machine)),
    };
    return { operations: [{ key: k, value, reason: 'start' }], guards: guards.list() };
  }

  /** The revision at which the team's slice got its holder. */
  private epochOf(team: TeamName): number {
    const { view } = this.context;
    return view.versionOf(key.shard(view.teams.get(team)!.owner));
  }

  private logPlacement(p: Placement, full: number): void {
    const { context } = this;
    const { id, team } = p.job;
    const task = { job: id, index: p.index, attempt: attempt(full), machine: p.machine.name };
    if (context.events.isActive) context.events.emit({ kind: 'task_placed', task, team });
    context.log.info(
      {
        task: taskId(id, p.index),
        team,
        attempt: full,
        machine: p.machine.name,
        token: context.view.fencingTokenOf(p.machine),
        share: Number(p.share.toPrecision(5)),
        h: Number(p.fitness.toPrecision(5)),
        fetch: p.fetchRank,
      },
      LOG_EVENT.taskPlaced,
    );
  }
}

/** A task that has ended and whose entry is still in its machine's record. */
interface EndedTask {
  readonly machine: MachineRecord;
  readonly allocation: Allocation;
  readonly isDurable: boolean;
}

/** Changes that start tasks; those of gangs first. */
export interface PlacementPlan {
  readonly gangs: readonly ChangeSet[];
  readonly nonGangs: readonly ChangeSet[];
}
