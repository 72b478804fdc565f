/**
 * Machines that no record knows: workers that report, and machines that the cloud lists. One report may be a late copy
 * from a machine that was returned long ago, and the list lags, so that either is believed only after a while.
 */
import type { PlatformSettings } from '../../config/platform-settings.js';
import { isNewer } from '../../core/agents/agent-session.js';
import type { Heartbeat, HeartbeatId } from '../../core/model/heartbeats.js';
import type { MachineName, TypeName, Zone } from '../../core/model/ids.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { ListedMachine } from '../../io/cloud/cloud-messages.js';
import type { ControllerContext } from '../controller-context.js';

/** What is known of a machine without a record. */
export interface UnregisteredMachine {
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  /** The highest token that it has seen. */
  readonly token: number;
}

/** A worker that is there reports again after so long, and before so long. */
const REPORTS_AGAIN_MS = 700;
const REPORTS_WITHIN_MS = 30_000;
/** Bounds the memory that reports of machines which nobody knows can take: several times the largest fleet. */
const MOST_REPORTERS = 20_000;
/** A machine that was returned may be listed, and late copies of its reports may come, for so long. */
const RELEASED_MEMORY_MS = 120_000;
/** The list lags by up to so many times its usual lag. */
const LAG_TIMES = 2;
/** So long the record of a rental may take. */
const RECORD_S = 3;

/** How old the cloud's list may be. */
export const longestListLagS = ({ cloudLimits }: Pick<PlatformSettings, 'cloudLimits'>): number =>
  LAG_TIMES * cloudLimits.list_lag_s;

/** Collects machines without a record until they are surely there. */
export class UnregisteredMachines {
  private readonly confirmed = new Map<MachineName, UnregisteredMachine>();
  /** Workers without a record, as they first reported. */
  private readonly reporters = new Map<MachineName, HeartbeatId & { at: MonotonicMs }>();
  /** Since when the list shows a machine without a record. */
  private readonly listedSince = new Map<MachineName, MonotonicMs>();
  private readonly released = new Map<MachineName, MonotonicMs>();

  constructor(private readonly context: ControllerContext) {}

  get size(): number {
    return this.confirmed.size;
  }

  /** Takes all that are surely there. */
  take(): ReadonlyMap<MachineName, UnregisteredMachine> {
    const taken = new Map(this.confirmed);
    this.confirmed.clear();
    return taken;
  }

  clear(): void {
    this.confirmed.clear();
  }

  /** The cloud has returned these machines. */
  noteReleased(names: readonly MachineName[]): void {
    const now = this.context.clock.now();
    for (const [name, at] of this.released) if (now - at > RELEASED_MEMORY_MS) this.released.delete(name);
    for (const name of names) this.released.set(name, now);
  }

  /** A worker without a record has reported. True once it has done so again, later and newer: then it is there. */
  recordHeartbeat(r: Heartbeat): boolean {
    if (this.released.has(r.machine)) return false;
    const now = this.context.clock.now();
    const before = this.reporters.get(r.machine);
    if (before !== undefined && !isNewer(r, before)) return false;
    if (before === undefined || now - before.at > REPORTS_WITHIN_MS) {
      this.makeRoom(now);
      this.reporters.delete(r.machine);
      this.reporters.set(r.machine, { agentEpoch: r.agentEpoch, sequence: r.sequence, at: now });
      return false;
    }
    if (now - before.at < REPORTS_AGAIN_MS) return false;
    this.reporters.delete(r.machine);
    this.confirmed.set(r.machine, { type: r.type, zone: r.zone, spot: r.spot, token: r.token });
    return true;
  }

  /**
   * Those that did not report again in time go, and the oldest where that is not enough. All at once they must not: where
   * thousands report for the first time, none would be remembered by its second report.
   */
  private makeRoom(now: MonotonicMs): void {
    for (const [name, { at }] of this.reporters) {
      if (this.reporters.size < MOST_REPORTERS && now - at <= REPORTS_WITHIN_MS) return;
      this.reporters.delete(name);
    }
  }

  /** The cloud lists a machine that has no record. */
  noteListed(l: ListedMachine): void {
    if (this.released.has(l.name)) return;
    const now = this.context.clock.now();
    const since = this.listedSince.get(l.name);
    const lagS = longestListLagS(this.context.settings) + RECORD_S;
    if (since === undefined) this.listedSince.set(l.name, now);
    else if (now - since > lagS * 1000)
      this.confirmed.set(l.name, { type: l.type, zone: l.zone, spot: l.spot, token: 0 });
  }

  /** Only these are listed without a record now. */
  keepListed(names: ReadonlySet<MachineName>): void {
    for (const name of this.listedSince.keys()) if (!names.has(name)) this.listedSince.delete(name);
  }
}
