/** The newest heartbeat of each machine that this controller knows, whoever owns the machine. */
import { isNewer } from '../../core/agents/agent-session.js';
import { evictOldest } from '../../core/bounded-map.js';
import type { Heartbeat } from '../../core/model/heartbeats.js';
import type { MachineName } from '../../core/model/ids.js';

/** Remembers heartbeats, the one updated longest ago is forgotten first. */
export class LatestHeartbeats {
  private readonly heartbeats = new Map<MachineName, Heartbeat>();

  /** Remembers the heartbeat unless a newer one of the same agent is known. Returns whether it is remembered. */
  record(heartbeat: Heartbeat, maxMachines: number): boolean {
    const known = this.heartbeats.get(heartbeat.machine);
    if (known !== undefined && isNewer(known, heartbeat)) return false;
    this.heartbeats.delete(heartbeat.machine);
    this.heartbeats.set(heartbeat.machine, heartbeat);
    evictOldest(this.heartbeats, maxMachines);
    return true;
  }

  /** The machine's newest heartbeat. */
  get(machine: MachineName): Heartbeat | null {
    return this.heartbeats.get(machine) ?? null;
  }

  /** Forgets a machine that has no record any more. */
  forgetMachine(machine: MachineName): void {
    this.heartbeats.delete(machine);
  }
}
