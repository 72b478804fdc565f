/** Times of the latest event of one kind, such as a redirect, per machine and fencing token. */
import type { Clock } from '../../core/model/clock.js';
import type { FencingToken, MachineName } from '../../core/model/ids.js';
import type { MonotonicMs } from '../../core/model/time.js';

interface Timestamp {
  readonly token: FencingToken;
  readonly at: MonotonicMs;
}

/** Keeps the time of each machine's latest event. A time recorded under another fencing token counts as absent. */
export class AgentTimestamps {
  private readonly timestamps = new Map<MachineName, Timestamp>();

  constructor(private readonly clock: Clock) {}

  /** Records that the event happens now, under the machine's present fencing token. */
  record(machine: MachineName, token: FencingToken): void {
    this.timestamps.set(machine, { token, at: this.clock.now() });
  }

  /** Milliseconds since the machine's latest event under the fencing token; infinite if there was none. */
  elapsedMs(machine: MachineName, token: FencingToken): number {
    const timestamp = this.timestamps.get(machine);
    return timestamp?.token === token ? this.clock.now() - timestamp.at : Number.POSITIVE_INFINITY;
  }

  /** Removes the machine's time, if any. */
  delete(machine: MachineName): void {
    this.timestamps.delete(machine);
  }
}
