/**
 * Machines without a record, known from heartbeats of their agents or from the cloud's list. A heartbeat may be a late
 * copy from a machine that was released long ago, and the list lags, so a machine is confirmed only after a delay.
 */
import type { PlatformSettings } from '../../config/platform-settings.js';
import { isNewer } from '../../core/agents/agent-session.js';
import type { MachineTraits } from '../../core/jobs/feasibility.js';
import type { Heartbeat, HeartbeatId } from '../../core/model/heartbeats.js';
import type { MachineName } from '../../core/model/ids.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { ListedMachine } from '../../io/cloud/cloud-messages.js';
import type { ControllerContext } from '../controller-context.js';

/** Shortest and longest time from the first heartbeat of an agent to a second one that confirms its machine. */
const MIN_CONFIRMATION_MS = 700;
const MAX_CONFIRMATION_MS = 30_000;
/** Bounds the memory that heartbeats of unknown machines can take; several times the size of the largest fleet. */
const MAX_UNCONFIRMED = 20_000;
/** How long after its release a machine may still be listed, and late copies of its heartbeats may arrive. */
const RELEASED_RETENTION_MS = 120_000;
/** The cloud's list lags by up to this many times its usual lag, the setting `list_lag_s`. */
const MAX_LAG_FACTOR = 2;
/** Longest time until a machine that was rented has its record. */
const MAX_RECORD_DELAY_S = 3;

/** A machine without a record, as far as it is known. */
export interface UnregisteredMachine extends MachineTraits {
  /** The highest fencing token that its agent has seen; 0 where none is known. */
  readonly token: number;
}

interface UnconfirmedAgent extends HeartbeatId {
  readonly heardAt: MonotonicMs;
}

/** Longest lag of the cloud's list, in seconds. */
export function maxListLagS({ cloudLimits }: Pick<PlatformSettings, 'cloudLimits'>): number {
  return MAX_LAG_FACTOR * cloudLimits.list_lag_s;
}

/** Collects machines without a record until it is confirmed that they exist. */
export class UnregisteredMachines {
  private readonly confirmed = new Map<MachineName, UnregisteredMachine>();
  /** First heartbeats of agents whose machines have no record and are not confirmed, the oldest first. */
  private readonly unconfirmed = new Map<MachineName, UnconfirmedAgent>();
  /** Since when the cloud's list has shown each machine that has no record. */
  private readonly listedSince = new Map<MachineName, MonotonicMs>();
  private readonly releasedAt = new Map<MachineName, MonotonicMs>();

  constructor(private readonly context: ControllerContext) {}

  /** The number of confirmed machines. */
  get confirmedCount(): number {
    return this.confirmed.size;
  }

  /** Removes and returns all confirmed machines. */
  takeConfirmed(): ReadonlyMap<MachineName, UnregisteredMachine> {
    const taken = new Map(this.confirmed);
    this.confirmed.clear();
    return taken;
  }

  /** Forgets the confirmed machines. */
  clearConfirmed(): void {
    this.confirmed.clear();
  }

  /** Records that the cloud has released these machines. */
  recordReleased(names: readonly MachineName[]): void {
    const now = this.context.clock.now();
    for (const [name, at] of this.releasedAt)
      if (now - at > RELEASED_RETENTION_MS) this.releasedAt.delete(name);
    for (const name of names) this.releasedAt.set(name, now);
  }

  /**
   * Records a heartbeat of an agent whose machine has no record. Returns whether it confirms the machine: it must be newer
   * than the first, and arrive between `MIN_CONFIRMATION_MS` and `MAX_CONFIRMATION_MS` after it.
   */
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

  /**
   * Records that the cloud lists a machine without a record. The machine is confirmed once it has been listed for longer
   * than the list may lag and the record of a rented machine may take.
   */
  recordListed({ name, type, zone, spot }: ListedMachine): void {
    if (this.releasedAt.has(name)) return;
    const now = this.context.clock.now();
    const since = this.listedSince.get(name);
    const maxDelayMs = (maxListLagS(this.context.settings) + MAX_RECORD_DELAY_S) * 1000;
    if (since === undefined) this.listedSince.set(name, now);
    else if (now - since > maxDelayMs) this.confirmed.set(name, { type, zone, spot, token: 0 });
  }

  /** Forgets all machines listed without a record, except those named, which still are. */
  retainListed(names: ReadonlySet<MachineName>): void {
    for (const name of this.listedSince.keys()) if (!names.has(name)) this.listedSince.delete(name);
  }

  private recordFirst({ machine, agentEpoch, sequence }: Heartbeat, now: MonotonicMs): void {
    this.evictUnconfirmed(now);
    // A map keeps the position of an existing key: deleting it first makes it the latest entry.
    this.unconfirmed.delete(machine);
    this.unconfirmed.set(machine, { agentEpoch, sequence, heardAt: now });
  }

  /**
   * Drops agents that were not confirmed in time and, while there are too many, the oldest. Dropping all of them at once
   * would prevent any confirmation where thousands of agents send their first heartbeats at the same time.
   */
  private evictUnconfirmed(now: MonotonicMs): void {
    for (const [name, { heardAt }] of this.unconfirmed) {
      if (this.unconfirmed.size < MAX_UNCONFIRMED && now - heardAt <= MAX_CONFIRMATION_MS) return;
      this.unconfirmed.delete(name);
    }
  }
}
