/**
 * Machines without a record: agents that send heartbeats, and machines that the cloud lists. A heartbeat may be a late
 * copy from a machine that was released long ago, and the list lags, so either is believed only after a while.
 */
import type { PlatformSettings } from '../../config/platform-settings.js';
import { isNewer } from '../../core/agents/agent-session.js';
import type { MachineTraits } from '../../core/jobs/feasibility.js';
import type { Heartbeat, HeartbeatId } from '../../core/model/heartbeats.js';
import type { MachineName } from '../../core/model/ids.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { ListedMachine } from '../../io/cloud/cloud-messages.js';
import type { ControllerContext } from '../controller-context.js';

/** An agent is confirmed by a second heartbeat that comes no earlier and no later than this after the first. */
const MIN_CONFIRMATION_MS = 700;
const MAX_CONFIRMATION_MS = 30_000;
/** Bounds the memory that heartbeats of unknown machines can take: several times the largest fleet. */
const MAX_UNCONFIRMED = 20_000;
/** For so long after its release a machine may still be listed, and late copies of its heartbeats may arrive. */
const RELEASED_MEMORY_MS = 120_000;
/** The cloud's list lags by up to so many times its usual lag. */
const MAX_LAG_FACTOR = 2;
/** The longest that the record of a rented machine takes. */
const MAX_RECORD_DELAY_S = 3;

/** What is known of a machine without a record. */
export interface UnregisteredMachine extends MachineTraits {
  /** The highest fencing token that it has seen; 0 where none is known. */
  readonly token: number;
}

interface UnconfirmedAgent extends HeartbeatId {
  readonly heardAt: MonotonicMs;
}

/** How old the cloud's list may be, in seconds. */
export function maxListLagS({ cloudLimits }: Pick<PlatformSettings, 'cloudLimits'>): number {
  return MAX_LAG_FACTOR * cloudLimits.list_lag_s;
}

/** Collects machines without a record until it is certain that they exist. */
export class UnregisteredMachines {
  private readonly confirmed = new Map<MachineName, UnregisteredMachine>();
  /** First heartbeats of agents without a record, the oldest first. */
  private readonly unconfirmed = new Map<MachineName, UnconfirmedAgent>();
  /** Since when the list shows a machine without a record. */
  private readonly listedSince = new Map<MachineName, MonotonicMs>();
  private readonly releasedAt = new Map<MachineName, MonotonicMs>();

  constructor(private readonly context: ControllerContext) {}

  /** The number of confirmed machines. */
  get size(): number {
    return this.confirmed.size;
  }

  /** Removes and returns all confirmed machines. */
  takeConfirmed(): ReadonlyMap<MachineName, UnregisteredMachine> {
    const taken = new Map(this.confirmed);
    this.confirmed.clear();
    return taken;
  }

  /** Forgets the confirmed machines. */
  clear(): void {
    this.confirmed.clear();
  }

  /** Records that the cloud has released these machines. */
  recordReleased(names: readonly MachineName[]): void {
    const now = this.context.clock.now();
    for (const [name, at] of this.releasedAt) if (now - at > RELEASED_MEMORY_MS) this.releasedAt.delete(name);
    for (const name of names) this.releasedAt.set(name, now);
  }

  /** Records a heartbeat of an agent without a record; true if it confirms the machine, as a later and newer one does. */
  recordHeartbeat(heartbeat: Heartbeat): boolean {
    const { machine: name, type, zone, spot, token } = heartbeat;
    if (this.releasedAt.has(name)) return false;
    const now = this.context.clock.now();
    const first = this.unconfirmed.get(name);
    if (first !== undefined && !isNewer(heartbeat, first)) return false;
    if (first === undefined || now - first.heardAt > MAX_CONFIRMATION_MS) {
      this.recordFirst(heartbeat, now);
      return false;
    }
    if (now - first.heardAt < MIN_CONFIRMATION_MS) return false;
    this.unconfirmed.delete(name);
    this.confirmed.set(name, { type, zone, spot, token });
    return true;
  }

  /** Records that the cloud lists a machine without a record; it is confirmed once it is listed for longer than any lag. */
  recordListed({ name, type, zone, spot }: ListedMachine): void {
    if (this.releasedAt.has(name)) return;
    const now = this.context.clock.now();
    const since = this.listedSince.get(name);
    const maxDelayMs = (maxListLagS(this.context.settings) + MAX_RECORD_DELAY_S) * 1000;
    if (since === undefined) this.listedSince.set(name, now);
    else if (now - since > maxDelayMs) this.confirmed.set(name, { type, zone, spot, token: 0 });
  }

  /** Forgets since when machines were listed, except for those that are listed without a record now. */
  retainListed(names: ReadonlySet<MachineName>): void {
    for (const name of this.listedSince.keys()) if (!names.has(name)) this.listedSince.delete(name);
  }

  private recordFirst({ machine, agentEpoch, sequence }: Heartbeat, now: MonotonicMs): void {
    this.evictUnconfirmed(now);
    // Deleted first, so that it becomes the latest entry.
    this.unconfirmed.delete(machine);
    this.unconfirmed.set(machine, { agentEpoch, sequence, heardAt: now });
  }

  /**
   * Drops agents that were not confirmed in time and, while there are too many, the oldest. Not all of them: where
   * thousands send their first heartbeat, none would be remembered by its second.
   */
  private evictUnconfirmed(now: MonotonicMs): void {
    for (const [name, { heardAt }] of this.unconfirmed) {
      if (this.unconfirmed.size < MAX_UNCONFIRMED && now - heardAt <= MAX_CONFIRMATION_MS) return;
      this.unconfirmed.delete(name);
    }
  }
}
