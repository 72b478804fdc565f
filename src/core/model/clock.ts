/** Clocks and timers as the program uses them, so that tests can replace them. */
import type { MonotonicMs, WallClockMs } from './time.js';

/** The monotonic clock, the wall clock and timers. */
export interface Clock {
  /** The monotonic clock, for durations and timeouts. */
  now(): MonotonicMs;
  /** The wall clock, for times that are stored or shown. */
  wallClock(): WallClockMs;
  /** Calls back once after so many milliseconds; the result cancels the timer. */
  after(ms: number, callback: () => void): () => void;
  /** Resolves after so many milliseconds. */
  sleep(ms: number): Promise<void>;
}
