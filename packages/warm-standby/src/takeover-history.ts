/** What became of the last takeovers: their phases, for operators, metrics and traces. */
import type { ServiceEvent } from '../../../src/core/events.js';
import type { Incarnation, MachineName, NodeName, Version } from '../../../src/core/model/ids.js';
import type { PluginServices, TraceParent } from '../../../src/plugin-host/api.js';

/** Why a slice came to this controller. */
export type TakeoverCause =
  /** This standby took the holder for failed. */
  | 'suspicion'
  /** Its holder gave it. */
  | 'handover'
  /** The leader gave it, after the holder's session had run out. */
  | 'assigned';

/** The moments of a takeover on this controller's steady clock; null: not (yet) reached. */
export interface TakeoverMoments {
  readonly lastHeard: number | null;
  readonly suspected: number | null;
  readonly confirmed: number | null;
  fenced: number;
  view: number | null;
  firstReport: number | null;
  firstStart: number | null;
  /** Every machine of the slice was heard under its new token. */
  allReports: number | null;
}

/** One takeover. */
export interface Takeover {
  readonly shard: NodeName;
  readonly from: NodeName;
  readonly fromIncarnation: Incarnation;
  /** The session of that life was seen to be gone. */
  sessionGone: boolean;
  readonly cause: TakeoverCause;
  readonly epoch: Version;
  readonly wasWarm: boolean;
  /** What the replica knew: workers, and ended tasks whose results may not have been committed. */
  readonly workersKnown: number;
  readonly endedTasks: number;
  readonly machines: number;
  readonly wall: number;
  readonly at: TakeoverMoments;
  readonly traceParent: TraceParent;
  /** The span of the planned handover that it belongs to, if it does. */
  readonly handoverTrace: TraceParent | undefined;
  /** The former holder turned out to be alive. */
  wasFalse: boolean;
}

/** Phases in order, with the moments between which they lie. */
export const PHASES: readonly (readonly [string, keyof TakeoverMoments, keyof TakeoverMoments])[] = [
  ['detection', 'lastHeard', 'suspected'],
  ['confirmation', 'suspected', 'confirmed'],
  ['fencing', 'confirmed', 'fenced'],
  ['view', 'fenced', 'view'],
  ['first_report', 'view', 'firstReport'],
  ['first_start', 'view', 'firstStart'],
  ['all_reports', 'view', 'allReports'],
];

/** How long each phase took that was reached, in milliseconds. */
export function phasesOf({ at }: Takeover): Record<string, number> {
  const out: Record<string, number> = {};
  for (const [name, from, to] of PHASES) {
    const [start, end] = [at[from], at[to]];
    if (start !== null && end !== null) out[name] = Math.max(0, Math.round(end - start));
  }
  return out;
}

const KEPT = 20;
/** A takeover is followed for so long at most. */
const FOLLOWED_MS = 60_000;

/** Follows takeovers until their last phase is over. */
export class TakeoverHistory {
  readonly takeovers: Takeover[] = [];
  private readonly open = new Map<Takeover, Set<MachineName>>();

  constructor(
    private readonly service: PluginServices,
    private readonly finished: (takeover: Takeover) => void,
  ) {
    service.onEvent((event) => {
      if (this.open.size > 0) this.note(event);
    });
  }

  add(takeover: Takeover): void {
    this.takeovers.push(takeover);
    if (this.takeovers.length > KEPT) this.takeovers.shift();
    this.open.set(takeover, new Set(this.service.facts.machinesOf(takeover.shard).map((m) => m.name)));
  }

  /** Ends what is complete, was overtaken, or is too old. */
  step(): void {
    for (const [takeover, missing] of this.open) {
      this.update(takeover, missing);
      if (!this.isOver(takeover)) continue;
      this.open.delete(takeover);
      this.finished(takeover);
    }
  }

  private update({ at, shard }: Takeover, missing: Set<MachineName>): void {
    const { facts, clock } = this.service;
    if (at.view === null && facts.isHeldCompletely(shard)) at.view = clock.now();
    for (const name of missing) if (facts.machine(name)?.owner !== shard) missing.delete(name);
    if (at.view !== null && missing.size === 0) at.allReports ??= clock.now();
  }

  private isOver({ at, shard, epoch }: Takeover): boolean {
    const { facts, clock, incarnation } = this.service;
    const fact = facts.shard(shard);
    if (fact?.epoch !== epoch || fact.incarnation !== incarnation) return true;
    if (at.allReports !== null && at.firstStart !== null) return true;
    return clock.now() - at.fenced >= FOLLOWED_MS;
  }

  private note(event: ServiceEvent): void {
    const { facts, clock } = this.service;
    const machine =
      event.kind === 'heartbeat_recorded'
        ? event.heartbeat.machine
        : event.kind === 'command_sent'
          ? event.machine
          : null;
    if (machine === null) return;
    const owner = facts.machine(machine)?.owner;
    for (const [{ shard, at }, missing] of this.open) {
      if (shard !== owner) continue;
      // The first event of a machine may come before this package has looked at the view again.
      at.view ??= clock.now();
      if (event.kind === 'heartbeat_recorded') {
        at.firstReport ??= clock.now();
        missing.delete(machine);
      } else if (event.kind === 'command_sent' && event.command.op === 'start') at.firstStart ??= clock.now();
    }
  }
}
