/**
 * Decides which changes the records of machines need: for tasks that have exited, for machines that have booted, drain
 * or are unreachable, and for tasks that are stopped on the preemption notice of a spot machine.
 */
import { hasShownToken, type AgentSession } from '../../core/agents/agent-session.js';
import { confirmedExits, type TaskExit } from '../../core/agents/confirmed-exits.js';
import type { DesiredState } from '../../core/agents/desired-state.js';
import { taskKey } from '../../core/agents/task-key.js';
import { LOG_EVENT } from '../../core/log-events.js';
import { taskId, type MachineName } from '../../core/model/ids.js';
import type { Allocation, MachinePhase, MachineRecord } from '../../core/model/machines.js';
import { key } from '../../core/records/keys.js';
import { removeExits } from '../../core/state/allocations.js';
import type { ChangeSet } from '../../io/state/change-set.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health/health-tracker.js';
import type { AgentSessions } from './agent-sessions.js';
import { MachineReachability } from './machine-reachability.js';
import type { TaskExits, UncommittedResults } from './task-exits.js';
import {
  CLEANUP_DELAY_EMPTY_MS,
  CLEANUP_DELAY_SPARE_MS,
  LARGE_BATCH_TASKS,
  MAX_CLEANUP_DELAY_MS,
  firstContactDelayMs,
} from './timing.js';
import { TokenRecorder } from './token-recorder.js';

/** A change to a machine's record. */
export interface MachineChange {
  readonly changeSet: ChangeSet;
  readonly urgency: ChangeUrgency;
}

/**
 * When a change is committed: before the starts of the pass, after them, or after all other changes, so that it delays
 * none of them.
 */
export type ChangeUrgency = 'urgent' | 'deferred' | 'last';

/** Condition of a machine, as decided from its record, its heartbeats and its health. */
interface MachineCondition {
  /** Whether the cloud has announced that it will reclaim the machine. */
  readonly hasPreemptionNotice: boolean;
  readonly isDraining: boolean;
  readonly isUnreachable: boolean;
  /** Whether the record says that the machine boots, although its agent has sent a heartbeat. */
  readonly hasBooted: boolean;
}

/** The allocations of a machine at the stages of one pass. */
interface ReconciledAllocations {
  /** Exits whose tasks are removed from the record. */
  readonly removableExits: readonly TaskExit[];
  /** The record's allocations without the tasks of `removableExits`. */
  readonly remaining: readonly Allocation[];
  /** The allocations of `remaining`, with those that stop on a preemption notice marked as stopping. */
  readonly updated: readonly Allocation[];
}

/** Reconciles records of owned machines with the heartbeats of their agents. */
export class MachineReconciler {
  private readonly reachability: MachineReachability;
  private readonly tokens: TokenRecorder;

  constructor(
    private readonly context: ControllerContext,
    private readonly sessions: AgentSessions,
    private readonly health: HealthTracker,
    private readonly taskExits: TaskExits,
    /** Called when a task has left its machine, so that its resources are allocated again. */
    private readonly onTaskExit: () => void,
  ) {
    this.reachability = new MachineReachability(context, sessions);
    this.tokens = new TokenRecorder(context);
  }

  /** Discards the evaluation of the zones' reachability by earlier passes, and lets the time since the last one count. */
  beginPass(): void {
    this.reachability.beginPass();
    this.tokens.beginPass();
  }

  /**
   * The change that the machine's record needs now; null if there is none. Adds the results of the machine's tasks to
   * `results`.
   */
  reconcile(name: MachineName, desired: DesiredState, results: UncommittedResults): MachineChange | null {
    const { context } = this;
    const machine = context.view.machines.get(name);
    if (machine === undefined || !context.ownership.owns(machine)) {
      this.sessions.forget(name);
      this.taskExits.forget(name);
      return null;
    }
    const session = this.sessions.current(machine);
    const exits = confirmedExits(machine, session, desired);
    this.taskExits.recordExits(machine, session.token, exits);
    for (const exit of exits) {
      this.taskExits.collectResult(exit, results);
      this.recordExit(machine, session, exit);
    }
    return this.changeFor(machine, session, exits);
  }

  /** Fields of the machine's record that come from heartbeats; written along with reconciled changes and starts. */
  observedFields(machine: MachineRecord, session: AgentSession): Partial<MachineRecord> {
    const address = session.heartbeat?.address ?? machine.address;
    const images = this.health.cachedImages(machine);
    return {
      ...(address === undefined ? {} : { address }),
      ...(images.length === 0 ? {} : { images }),
      ...(hasShownToken(session) ? { heard: session.token } : {}),
    };
  }

  /** Records, logs and publishes an exit once, and passes it to the health tracker. */
  private recordExit(machine: MachineRecord, session: AgentSession, exit: TaskExit): void {
    const { context } = this;
    const { allocation, index, reason } = exit;
    const { job, attempt } = allocation;
    const exitedKey = taskKey(job, index, attempt);
    if (session.exitedTasks.has(exitedKey)) return;
    session.exitedTasks.set(exitedKey, { exitedAt: context.clock.now(), reason });
    this.onTaskExit();
    this.health.recordExit(machine, allocation, reason);
    if (context.events.isActive)
      context.events.emit({
        kind: 'task_exited',
        task: { job, index, attempt, machine: machine.name },
        reason,
      });
    context.log.info(
      {
        task: taskId(job, index),
        attempt,
        machine: machine.name,
        token: session.token,
        reason: reason ?? 'absent',
      },
      LOG_EVENT.taskExited,
    );
  }

  private changeFor(
    machine: MachineRecord,
    session: AgentSession,
    exits: readonly TaskExit[],
  ): MachineChange | null {
    const condition = this.conditionOf(machine, session);
    const allocations = this.reconcileAllocations(machine, exits, condition);
    const urgency = this.urgencyOf(machine, session, condition, allocations);
    if (urgency === null) return null;
    if (condition.isUnreachable) this.logUnreachable(machine, session);
    const { isDraining } = condition;
    const value: MachineRecord = {
      ...machine,
      phase: nextPhase(machine, condition),
      placed: allocations.updated,
      ...this.observedFields(machine, session),
      ...(isDraining ? { drain: isDraining } : {}),
    };
    return { changeSet: this.changeSetFor(value, urgency), urgency };
  }

  /** When the machine's record has to be written; null if it need not be in this pass. */
  private urgencyOf(
    machine: MachineRecord,
    session: AgentSession,
    condition: MachineCondition,
    allocations: ReconciledAllocations,
  ): ChangeUrgency | null {
    if (this.isUrgent(machine, condition, allocations)) return 'urgent';
    if (this.isCleanupDue(session, condition, allocations)) return 'deferred';
    if (!this.tokens.isDue(machine, session)) return null;
    return machine.placed.length === 0 ? 'deferred' : 'last';
  }

  private conditionOf(machine: MachineRecord, session: AgentSession): MachineCondition {
    const hasPreemptionNotice = session.heartbeat?.preemptionNoticeS != null;
    return {
      hasPreemptionNotice,
      isDraining: machine.drain === true || hasPreemptionNotice || this.health.isQuarantined(machine),
      isUnreachable: this.reachability.isUnreachable(machine, session),
      hasBooted: machine.phase === 'booting' && session.heartbeat !== null,
    };
  }

  private reconcileAllocations(
    machine: MachineRecord,
    exits: readonly TaskExit[],
    { hasPreemptionNotice }: MachineCondition,
  ): ReconciledAllocations {
    const removableExits = exits.filter(
      (exit) => !this.taskExits.mayKeepAllocation(exit) || this.taskExits.isDurable(exit),
    );
    const remaining = removeExits(machine.placed, removableExits);
    const updated = hasPreemptionNotice ? this.stopOnPreemptionNotice(remaining) : remaining;
    return { removableExits, remaining, updated };
  }

  /**
   * Marks services and tasks with checkpoints as stopping, so that they move to other machines before the cloud
   * reclaims this one.
   */
  private stopOnPreemptionNotice(allocations: readonly Allocation[]): Allocation[] {
    return allocations.map((allocation) =>
      allocation.stop === true || !this.stopsOnPreemptionNotice(allocation)
        ? allocation
        : { ...allocation, stop: true },
    );
  }

  private stopsOnPreemptionNotice(allocation: Allocation): boolean {
    const job = this.context.view.jobs.get(allocation.job);
    return job !== undefined && (job.spec.kind === 'service' || job.spec.checkpointS > 0);
  }

  private isUrgent(
    machine: MachineRecord,
    { isUnreachable, isDraining }: MachineCondition,
    { removableExits, remaining, updated }: ReconciledAllocations,
  ): boolean {
    if (isUnreachable || isDraining !== (machine.drain === true)) return true;
    if (removableExits.some((exit) => isDraining || !this.taskExits.mayKeepAllocation(exit))) return true;
    return updated.some((allocation, position) => allocation !== remaining[position]);
  }

  /**
   * Whether a change that is not urgent has waited long enough for a start on the same machine, whose write would
   * include it.
   */
  private isCleanupDue(
    session: AgentSession,
    { hasBooted }: MachineCondition,
    { removableExits, remaining }: ReconciledAllocations,
  ): boolean {
    if (removableExits.length >= LARGE_BATCH_TASKS) return true;
    const { clock, state } = this.context;
    const now = clock.now();
    const { hasSpareBudget } = state;
    const delayMs = cleanupDelayMs({ hasSpareBudget, isEmpty: remaining.length === 0 });
    if (removableExits.some((exit) => now - exitedAt(session, exit) > delayMs)) return true;
    if (!hasBooted) return false;
    return now - session.firstHeartbeatAt! > firstContactDelayMs(hasSpareBudget, CLEANUP_DELAY_EMPTY_MS);
  }

  private changeSetFor(value: MachineRecord, urgency: ChangeUrgency): ChangeSet {
    const reason = urgency === 'urgent' ? 'machine_state' : 'tidying';
    return {
      operations: [{ key: key.machine(value.name), value, reason }],
      // The guards include the shard's: a controller that has lost the shard must not write the records of its
      // machines.
      guards: this.context.guards.forMachine(value),
    };
  }

  private logUnreachable(machine: MachineRecord, session: AgentSession): void {
    const silentMs = this.context.clock.now() - session.lastContactAt;
    this.context.log.info(
      { machine: machine.name, token: session.token, silentMs },
      LOG_EVENT.machineUnreachable,
    );
  }
}

function nextPhase(machine: MachineRecord, { isUnreachable, hasBooted }: MachineCondition): MachinePhase {
  if (isUnreachable) return 'releasing';
  return hasBooted ? 'up' : machine.phase;
}

interface CleanupConditions {
  readonly hasSpareBudget: boolean;
  /** Whether the machine's record has no allocations but those to be removed. */
  readonly isEmpty: boolean;
}

function cleanupDelayMs({ hasSpareBudget, isEmpty }: CleanupConditions): number {
  if (hasSpareBudget) return CLEANUP_DELAY_SPARE_MS;
  return isEmpty ? CLEANUP_DELAY_EMPTY_MS : MAX_CLEANUP_DELAY_MS;
}

function exitedAt(session: AgentSession, { allocation, index }: TaskExit): number {
  return session.exitedTasks.get(taskKey(allocation.job, index, allocation.attempt))!.exitedAt;
}
