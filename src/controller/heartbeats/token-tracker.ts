/** Tracks since when each machine has had its present fencing token, according to this controller's view. */
import type { Heartbeat } from '../../core/model/heartbeats.js';
import type { FencingToken, MachineName } from '../../core/model/ids.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { ControllerContext } from '../controller-context.js';

/**
 * Heartbeat intervals after which an agent with a new fencing token has exchanged heartbeats with the token's owner.
 */
const ESTABLISHED_HEARTBEAT_INTERVALS = 1.5;

interface TrackedToken {
  readonly token: FencingToken;
  readonly since: MonotonicMs;
}

/** Tracks the fencing tokens of all machines. */
export class TokenTracker {
  private readonly tokens = new Map<MachineName, TrackedToken>();

  constructor(private readonly context: ControllerContext) {}

  /** Updates the machine's token from the view; a machine without a record is removed. */
  update(name: MachineName): void {
    const { view, clock } = this.context;
    const machine = view.machines.get(name);
    if (machine === undefined) {
      this.tokens.delete(name);
      return;
    }
    const token = view.fencingTokenOf(machine);
    if (this.tokens.get(name)?.token !== token) this.tokens.set(name, { token, since: clock.now() });
  }

  /**
   * Whether a heartbeat to a controller other than the owner shows that the agent has left its owner: the agent has
   * seen the present token, and has had time to reach the owner since the token changed.
   */
  hasLeftOwner(heartbeat: Heartbeat, token: FencingToken): boolean {
    const { clock, settings } = this.context;
    const tracked = this.tokens.get(heartbeat.machine);
    if (heartbeat.token !== token || tracked === undefined) return false;
    const intervalMs = settings.agentTimings.report_s * 1000;
    return clock.now() - tracked.since >= intervalMs * ESTABLISHED_HEARTBEAT_INTERVALS;
  }
}
