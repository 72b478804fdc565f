/** The newest known heartbeat of each machine, whichever controller owns the machine. */
import { isNewer } from '../../core/agents/agent-session.js';
import { evictOldest } from '../../core/bounded-map.js';
import type { Heartbeat } from '../../core/model/heartbeats.js';
import type { MachineName } from '../../core/model/ids.js';

/** A bounded map of heartbeats by machine; the entry that was updated longest ago is evicted first. */
export class LatestHeartbeats {
  private readonly heartbeats = new Map<MachineName, Heartbeat>();

  /** Stores the heartbeat unless a newer one of the machine is known, and returns whether it was stored. */
  record(heartbeat: Heartbeat, maxMachines: number): boolean {
    const known = this.heartbeats.get(heartbeat.machine);
    if (known !== undefined && isNewer(known, heartbeat)) return false;
    this.heartbeats.delete(heartbeat.machine);
    this.heartbeats.set(heartbeat.machine, heartbeat);
    evictOldest(this.heartbeats, maxMachines);
    return true;
  }

  /** The machine's newest heartbeat; null where none is known. */
  get(machine: MachineName): Heartbeat | null {
    return this.heartbeats.get(machine) ?? null;
  }

  /** Forgets a machine that no longer has a record. */
  forgetMachine(machine: MachineName): void {
    this.heartbeats.delete(machine);
  }
}
