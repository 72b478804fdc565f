/** The latest failovers to this controller and the duration of their phases, for operators, metrics and traces. */
import type { ServiceEvent } from '../../../src/core/events.js';
import type { Incarnation, MachineName, NodeName, Version } from '../../../src/core/model/ids.js';
import type { PluginServices, TraceParent } from '../../../src/plugin-host/api.js';

/** Why a shard came to this controller. */
export type FailoverCause =
  /** This controller was a standby of the shard and took it over from a holder that it suspected. */
  | 'suspicion'
  /** The former holder handed the shard over, as an operator had requested. */
  | 'handover'
  /** The leader assigned the shard after the holder's session had expired. */
  | 'assigned';

/** Times of a failover's steps, in milliseconds on this controller's monotonic clock; null where a step was not reached. */
export interface FailoverMoments {
  /** The last message of the former holder arrived. */
  readonly lastHeard: number | null;
  /** The former holder became suspected. */
  readonly suspected: number | null;
  /** The former holder was confirmed unreachable. */
  readonly confirmed: number | null;
  /** The new holder was committed, which fences off the former one. */
  fenced: number;
  /** This controller's view had all that was committed before the shard was acquired. */
  viewComplete: number | null;
  /** The first heartbeat of a machine of the shard was recorded under its new fencing token. */
  firstHeartbeat: number | null;
  /** The first command to start a task was sent to a machine of the shard. */
  firstStart: number | null;
  /** Every machine of the shard had sent a heartbeat under its new fencing token. */
  allHeartbeats: number | null;
}

/** One failover of a shard to this controller. */
export interface Failover {
  readonly shard: NodeName;
  /** The former holder. */
  readonly from: NodeName;
  /** The incarnation under which the former holder held the shard. */
  readonly fromIncarnation: Incarnation;
  /** Whether the session of that incarnation has disappeared from the view; if it reappears, the holder had not failed. */
  isSessionGone: boolean;
  readonly cause: FailoverCause;
  readonly epoch: Version;
  /** Whether this controller was a warm standby of the shard. */
  readonly wasWarm: boolean;
  /** Number of agents that the replica knew. */
  readonly knownAgentCount: number;
  /** Number of task exits in the replica whose results may not have been committed. */
  readonly uncommittedExits: number;
  /** Number of the shard's machines. */
  readonly machineCount: number;
  /** Wall-clock time at which this controller received the shard, in milliseconds. */
  readonly receivedAt: number;
  readonly at: FailoverMoments;
  /** The context reserved for the span of the failover. */
  readonly traceParent: TraceParent;
  /** The span of the planned handover; undefined where the shard was not handed over. */
  readonly handoverTrace: TraceParent | undefined;
  /** Whether the former holder turned out to be alive. */
  isFalse: boolean;
}

/** The phases of a failover in order: name, step at which the phase begins, step at which it ends. */
export const PHASES: readonly (readonly [string, keyof FailoverMoments, keyof FailoverMoments])[] = [
  ['detection', 'lastHeard', 'suspected'],
  ['confirmation', 'suspected', 'confirmed'],
  ['fencing', 'confirmed', 'fenced'],
  ['view', 'fenced', 'viewComplete'],
  ['first_report', 'viewComplete', 'firstHeartbeat'],
  ['first_start', 'viewComplete', 'firstStart'],
  ['all_reports', 'viewComplete', 'allHeartbeats'],
];

/** The durations of a failover's completed phases, in milliseconds by name. */
export function phasesOf({ at }: Failover): Record<string, number> {
  const out: Record<string, number> = {};
  for (const [name, from, to] of PHASES) {
    const [start, end] = [at[from], at[to]];
    if (start !== null && end !== null) out[name] = Math.max(0, Math.round(end - start));
  }
  return out;
}

/** Maximum number of failovers in the history; beyond it the oldest one is dropped. */
const MAX_FAILOVERS = 20;
/** Maximum time for which a failover is tracked: its last phases never end if no task starts or a machine stays silent. */
const MAX_TRACKED_MS = 60_000;

/** Keeps the latest failovers, and tracks each one until its last phase has ended. */
export class FailoverHistory {
  readonly failovers: Failover[] = [];
  /** Failovers being tracked, each with the machines that have sent no heartbeat yet. */
  private readonly inProgress = new Map<Failover, Set<MachineName>>();

  constructor(
    private readonly service: PluginServices,
    private readonly onFinished: (failover: Failover) => void,
  ) {
    service.onEvent((event) => {
      if (this.inProgress.size > 0) this.onEvent(event);
    });
  }

  /** Adds a failover and begins to track it; the oldest one is dropped beyond `MAX_FAILOVERS`. */
  add(failover: Failover): void {
    this.failovers.push(failover);
    if (this.failovers.length > MAX_FAILOVERS) this.failovers.shift();
    this.inProgress.set(
      failover,
      new Set(this.service.committedState.machinesOf(failover.shard).map((m) => m.name)),
    );
  }

  /** Ends the tracking of failovers that are complete, too old, or whose shard has changed holder or epoch since. */
  update(): void {
    for (const [failover, missing] of this.inProgress) {
      this.updateMoments(failover, missing);
      if (!this.isOver(failover)) continue;
      this.inProgress.delete(failover);
      this.onFinished(failover);
    }
  }

  private updateMoments({ at, shard }: Failover, missing: Set<MachineName>): void {
    const { committedState, clock } = this.service;
    if (at.viewComplete === null && committedState.isHeldCompletely(shard)) at.viewComplete = clock.now();
    for (const name of missing) if (committedState.machine(name)?.owner !== shard) missing.delete(name);
    if (at.viewComplete !== null && missing.size === 0) at.allHeartbeats ??= clock.now();
  }

  private isOver({ at, shard, epoch }: Failover): boolean {
    const { committedState, clock, incarnation } = this.service;
    const current = committedState.shard(shard);
    if (current?.epoch !== epoch || current.incarnation !== incarnation) return true;
    if (at.allHeartbeats !== null && at.firstStart !== null) return true;
    return clock.now() - at.fenced >= MAX_TRACKED_MS;
  }

  private onEvent(event: ServiceEvent): void {
    if (event.kind === 'heartbeat_recorded') this.recordHeartbeat(event.heartbeat.machine);
    else if (event.kind === 'command_sent') this.recordCommand(event.machine, event.command.op === 'start');
  }

  private recordHeartbeat(machine: MachineName): void {
    const { clock } = this.service;
    for (const [{ at }, missing] of this.inProgressOf(machine)) {
      // The event may come between the completion of the view and the next call of `update`.
      at.viewComplete ??= clock.now();
      at.firstHeartbeat ??= clock.now();
      missing.delete(machine);
    }
  }

  private recordCommand(machine: MachineName, isStart: boolean): void {
    const { clock } = this.service;
    for (const [{ at }] of this.inProgressOf(machine)) {
      at.viewComplete ??= clock.now();
      if (isStart) at.firstStart ??= clock.now();
    }
  }

  /** Failovers in progress of the shard that owns the machine, each with the machines that have sent no heartbeat yet. */
  private inProgressOf(machine: MachineName): [Failover, Set<MachineName>][] {
    const owner = this.service.committedState.machine(machine)?.owner;
    return [...this.inProgress].filter(([{ shard }]) => shard === owner);
  }
}
