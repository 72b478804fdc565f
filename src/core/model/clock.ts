/** The interface of clocks and timers, which tests implement with simulated time. */
import type { MonotonicMs, WallClockMs } from './time.js';

/** A monotonic clock, a wall clock and timers. */
export interface Clock {
  /** The time on the monotonic clock, for durations and timeouts. */
  now(): MonotonicMs;
  /** The time on the wall clock, for times that are stored or shown. */
  wallClock(): WallClockMs;
  /** Calls `callback` once after `ms` milliseconds. The returned function cancels the timer. */
  after(ms: number, callback: () => void): () => void;
  /** Resolves after `ms` milliseconds. */
  sleep(ms: number): Promise<void>;
}
