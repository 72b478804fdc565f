/**
 * Works out which changes a machine's record needs: tasks proved to be gone, machines that came up, drain or are out of
 * reach, tasks that leave on a spot notice.
 */
import { LOG_EVENT } from '../../core/log-events.js';
import { taskId } from '../../core/model/ids.js';
import { key } from '../../core/records/keys.js';
import {
  confirmedExits,
  taskKey,
  removeExits,
  type TaskExit,
  type AgentSession,
  type DesiredState,
} from '../../core/agents/agent-session.js';
import type { MachineName, Zone } from '../../core/model/ids.js';
import type { MachineRecord, Allocation } from '../../core/model/machines.js';
import type { ChangeSet } from '../../io/state/transactions.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health-tracker.js';
import type { AgentSessions } from './agent-sessions.js';
import type { UncommittedResults, TaskExits } from './task-exits.js';
import {
  CLEANUP_DELAY_EMPTY_MS,
  MAX_CLEANUP_DELAY_MS,
  CLEANUP_DELAY_SPARE_MS,
  FULL_RECONCILE_INTERVAL_MS,
} from './timing.js';
import { isUnreachable, zoneReachability, type ZoneReachability } from './machine-reachability.js';

/** A change to a machine's record; what only tidies up can wait for starts. */
export interface MachineChange {
  readonly changeSet: ChangeSet;
  readonly isUrgent: boolean;
}

/** Makes the changes that records of machines need. */
export class MachineReconciler {
  constructor(
    private readonly context: ControllerContext,
    private readonly sessions: AgentSessions,
    private readonly health: HealthTracker,
    private readonly results: TaskExits,
    /** Told when a task has left its machine, so that its room is used again. */
    private readonly onTaskExit: () => void,
  ) {}

  /** What is heard of each zone, worked out when it is first asked for in a pass. */
  private zones: ReadonlyMap<Zone, ZoneReachability> | null = null;

  /** Another pass begins: what was heard may have changed. */
  beginPass(): void {
    this.zones = null;
  }

  private presence(): ReadonlyMap<Zone, ZoneReachability> {
    return (this.zones ??= zoneReachability(this.context, this.sessions));
  }

  /** The change that the machine's record needs now, if any; results of its tasks are added to `found`. */
  reconcile(name: MachineName, wanted: DesiredState, found: UncommittedResults): MachineChange | null {
    const { context } = this;
    const machine = context.view.machines.get(name);
    if (machine === undefined || !context.ownership.owns(machine)) {
      this.sessions.forget(name);
      this.results.forget(name);
      return null;
    }
    const memory = this.sessions.of(machine);
    const left = confirmedExits(machine, memory, wanted);
    this.results.recordExits(machine, memory.token, left);
    for (const exit of left) {
      this.results.collectResult(exit, found);
      this.noteExit(machine, memory, exit);
    }
    return this.changeFor(machine, memory, left);
  }

  private noteExit(machine: MachineRecord, memory: AgentSession, { placed, index, reason }: TaskExit): void {
    const { context } = this;
    const k = taskKey(placed.job, index, placed.attempt);
    if (memory.exitedTasks.has(k)) return;
    memory.exitedTasks.set(k, { exitedAt: context.clock.now(), why: reason });
    this.onTaskExit();
    this.health.recordExit(machine, placed, reason);
    const { job, attempt } = placed;
    if (context.events.isActive)
      context.events.emit({
        kind: 'task_exited',
        task: { job, index, attempt, machine: machine.name },
        why: reason,
      });
    context.log.info(
      {
        task: taskId(placed.job, index),
        attempt: placed.attempt,
        machine: machine.name,
        token: memory.token,
        why: reason ?? 'absent',
      },
      LOG_EVENT.taskExited,
    );
  }

  private changeFor(
    machine: MachineRecord,
    memory: AgentSession,
    left: readonly TaskExit[],
  ): MachineChange | null {
    const { context } = this;
    const noticed = memory.heartbeat?.preemptionNoticeS != null;
    const drain = machine.drain === true || noticed || this.health.isQuarantined(machine);
    const unreachable = isUnreachable(context, machine, memory, () => this.presence());
    const cameUp = machine.phase === 'booting' && memory.heartbeat !== null;
    const gone = left.filter((e) => !this.results.mayKeepAllocation(e) || this.results.isDurable(e));
    const kept = removeExits(machine.placed, gone);
    const placed = noticed ? this.stopOnNotice(kept) : kept;
    const isUrgent =
      unreachable ||
      gone.some((e) => !this.results.mayKeepAllocation(e) || drain) ||
      placed.some((p, i) => p !== kept[i]) ||
      drain !== (machine.drain === true);
    if (!isUrgent && !this.isCleanupDue(machine, memory, gone, kept, cameUp)) return null;
    if (unreachable) this.logUnreachable(machine, memory);
    const value: MachineRecord = {
      ...machine,
      phase: unreachable ? 'releasing' : cameUp ? 'up' : machine.phase,
      placed,
      ...this.observedFields(machine, memory),
      ...(drain ? { drain } : {}),
    };
    const changeSet: ChangeSet = {
      operations: [{ key: key.machine(machine.name), value, reason: isUrgent ? 'machine_state' : 'tidying' }],
      // The slice is guarded too: whoever has lost it must not write its machines any more.
      guards: [
        context.guards.forKey(key.machine(machine.name)),
        context.guards.forKey(key.shard(machine.owner)),
      ],
    };
    return { changeSet, isUrgent };
  }

  /** What need not be written by itself goes along with the machine's next start, or is written a little later. */
  private isCleanupDue(
    machine: MachineRecord,
    memory: AgentSession,
    gone: readonly TaskExit[],
    kept: readonly Allocation[],
    cameUp: boolean,
  ): boolean {
    const { clock, state } = this.context;
    const now = clock.now();
    const { hasSpareBudget } = state;
    const stayMs = hasSpareBudget
      ? CLEANUP_DELAY_SPARE_MS
      : kept.length === 0
        ? CLEANUP_DELAY_EMPTY_MS
        : MAX_CLEANUP_DELAY_MS;
    const leftAt = (e: TaskExit) =>
      memory.exitedTasks.get(taskKey(e.placed.job, e.index, e.placed.attempt))!.exitedAt;
    if (gone.some((e) => now - leftAt(e) > stayMs)) return true;
    const hears = memory.heartbeat?.token === memory.token;
    const showsToken = hears && machine.placed.length === 0 && (machine.heard ?? 0) < memory.token;
    return (
      (showsToken || cameUp) &&
      now - memory.firstHeartbeatAt! > (hasSpareBudget ? FULL_RECONCILE_INTERVAL_MS : CLEANUP_DELAY_EMPTY_MS)
    );
  }

  /** What can save, or is wanted all the time, goes elsewhere before the cloud takes the machine. */
  private stopOnNotice(placed: readonly Allocation[]): Allocation[] {
    return placed.map((p) => (p.stop === true || !this.leavesOnNotice(p) ? p : { ...p, stop: true }));
  }

  private leavesOnNotice(placed: Allocation): boolean {
    const job = this.context.view.jobs.get(placed.job);
    return job !== undefined && (job.spec.kind === 'service' || job.spec.checkpointS > 0);
  }

  /** What its reports taught of the machine; written along with whatever is written of it. */
  observedFields(machine: MachineRecord, memory: AgentSession): Partial<MachineRecord> {
    const address = memory.heartbeat?.address ?? machine.address;
    const images = this.health.cachedImages(machine);
    return {
      ...(address === undefined ? {} : { address }),
      ...(images.length === 0 ? {} : { images }),
      ...(memory.heartbeat?.token === memory.token ? { heard: memory.token } : {}),
    };
  }

  private logUnreachable(machine: MachineRecord, memory: AgentSession): void {
    this.context.log.info(
      {
        machine: machine.name,
        token: memory.token,
        heardMs: this.context.clock.now() - memory.lastContactAt,
      },
      LOG_EVENT.machineUnreachable,
    );
  }
}
