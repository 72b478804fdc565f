/** What became of the last failovers: their phases, for operators, metrics and traces. */
import type { ServiceEvent } from '../../../src/core/events.js';
import type { Incarnation, MachineName, NodeName, Version } from '../../../src/core/model/ids.js';
import type { PluginServices, TraceParent } from '../../../src/plugin-host/api.js';

/** Why a shard came to this controller. */
export type FailoverCause =
  /** This standby took the holder for failed. */
  | 'suspicion'
  /** Its holder gave it. */
  | 'handover'
  /** The leader gave it, after the holder's session had run out. */
  | 'assigned';

/** The moments of a failover on this controller's monotonic clock; null: not (yet) reached. */
export interface FailoverMoments {
  readonly lastHeard: number | null;
  readonly suspected: number | null;
  readonly confirmed: number | null;
  fenced: number;
  view: number | null;
  firstHeartbeat: number | null;
  firstStart: number | null;
  /** Every machine of the shard was heard under its new token. */
  allHeartbeats: number | null;
}

/** One failover. */
export interface Failover {
  readonly shard: NodeName;
  readonly from: NodeName;
  readonly fromIncarnation: Incarnation;
  /** The session of that life was seen to be gone. */
  isSessionGone: boolean;
  readonly cause: FailoverCause;
  readonly epoch: Version;
  readonly wasWarm: boolean;
  /** What the replica knew: agents, and ended tasks whose results may not have been committed. */
  readonly agentsKnown: number;
  readonly uncommittedExits: number;
  readonly machines: number;
  readonly wall: number;
  readonly at: FailoverMoments;
  readonly traceParent: TraceParent;
  /** The span of the planned handover that it belongs to, if it does. */
  readonly handoverTrace: TraceParent | undefined;
  /** The former holder turned out to be alive. */
  isFalse: boolean;
}

/** Phases in order, with the moments between which they lie. */
export const PHASES: readonly (readonly [string, keyof FailoverMoments, keyof FailoverMoments])[] = [
  ['detection', 'lastHeard', 'suspected'],
  ['confirmation', 'suspected', 'confirmed'],
  ['fencing', 'confirmed', 'fenced'],
  ['view', 'fenced', 'view'],
  ['first_report', 'view', 'firstHeartbeat'],
  ['first_start', 'view', 'firstStart'],
  ['all_reports', 'view', 'allHeartbeats'],
];

/** How long each phase took that was reached, in milliseconds. */
export function phasesOf({ at }: Failover): Record<string, number> {
  const out: Record<string, number> = {};
  for (const [name, from, to] of PHASES) {
    const [start, end] = [at[from], at[to]];
    if (start !== null && end !== null) out[name] = Math.max(0, Math.round(end - start));
  }
  return out;
}

const MAX_KEPT = 20;
/** A failover is followed for so long at most. */
const MAX_FOLLOWED_MS = 60_000;

/** Follows failovers until their last phase is over. */
export class FailoverHistory {
  readonly failovers: Failover[] = [];
  private readonly inProgress = new Map<Failover, Set<MachineName>>();

  constructor(
    private readonly service: PluginServices,
    private readonly onFinished: (failover: Failover) => void,
  ) {
    service.onEvent((event) => {
      if (this.inProgress.size > 0) this.onEvent(event);
    });
  }

  /** Begins to follow a failover; the oldest one is forgotten beyond the limit. */
  add(failover: Failover): void {
    this.failovers.push(failover);
    if (this.failovers.length > MAX_KEPT) this.failovers.shift();
    this.inProgress.set(failover, new Set(this.service.facts.machinesOf(failover.shard).map((m) => m.name)));
  }

  /** Ends what is complete, was overtaken, or is too old. */
  update(): void {
    for (const [failover, missing] of this.inProgress) {
      this.refresh(failover, missing);
      if (!this.isOver(failover)) continue;
      this.inProgress.delete(failover);
      this.onFinished(failover);
    }
  }

  private refresh({ at, shard }: Failover, missing: Set<MachineName>): void {
    const { facts, clock } = this.service;
    if (at.view === null && facts.isHeldCompletely(shard)) at.view = clock.now();
    for (const name of missing) if (facts.machine(name)?.owner !== shard) missing.delete(name);
    if (at.view !== null && missing.size === 0) at.allHeartbeats ??= clock.now();
  }

  private isOver({ at, shard, epoch }: Failover): boolean {
    const { facts, clock, incarnation } = this.service;
    const fact = facts.shard(shard);
    if (fact?.epoch !== epoch || fact.incarnation !== incarnation) return true;
    if (at.allHeartbeats !== null && at.firstStart !== null) return true;
    return clock.now() - at.fenced >= MAX_FOLLOWED_MS;
  }

  private onEvent(event: ServiceEvent): void {
    if (event.kind === 'heartbeat_recorded') this.recordHeartbeat(event.heartbeat.machine);
    else if (event.kind === 'command_sent') this.recordCommand(event.machine, event.command.op === 'start');
  }

  private recordHeartbeat(machine: MachineName): void {
    const { clock } = this.service;
    for (const [{ at }, missing] of this.inProgressFor(machine)) {
      // The first event of a machine may come before this package has looked at the view again.
      at.view ??= clock.now();
      at.firstHeartbeat ??= clock.now();
      missing.delete(machine);
    }
  }

  private recordCommand(machine: MachineName, isStart: boolean): void {
    const { clock } = this.service;
    for (const [{ at }] of this.inProgressFor(machine)) {
      at.view ??= clock.now();
      if (isStart) at.firstStart ??= clock.now();
    }
  }

  /** Failovers that are followed of the shard that the machine belongs to. */
  private inProgressFor(machine: MachineName): [Failover, Set<MachineName>][] {
    const owner = this.service.facts.machine(machine)?.owner;
    return [...this.inProgress].filter(([{ shard }]) => shard === owner);
  }
}
