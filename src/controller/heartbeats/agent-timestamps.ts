/** When something last happened to the agents of machines, each time under one fencing token. */
import type { Clock } from '../../core/model/clock.js';
import type { FencingToken, MachineName } from '../../core/model/ids.js';
import type { MonotonicMs } from '../../core/model/time.js';

interface Timestamp {
  readonly token: FencingToken;
  readonly at: MonotonicMs;
}

/** Remembers the latest time for each machine; a time under another token does not count. */
export class AgentTimestamps {
  private readonly timestamps = new Map<MachineName, Timestamp>();

  constructor(private readonly clock: Clock) {}

  /** Records that it happened now. */
  record(machine: MachineName, token: FencingToken): void {
    this.timestamps.set(machine, { token, at: this.clock.now() });
  }

  /** Milliseconds since it happened under the token; infinite if it did not. */
  elapsedMs(machine: MachineName, token: FencingToken): number {
    const timestamp = this.timestamps.get(machine);
    return timestamp?.token === token ? this.clock.now() - timestamp.at : Number.POSITIVE_INFINITY;
  }

  /** Forgets the machine. */
  delete(machine: MachineName): void {
    this.timestamps.delete(machine);
  }
}
