/** Clocks and timers as the program uses them, so that tests can replace them. */
import type { MonotonicMs, WallClockMs } from './time.js';

/** The monotonic clock, the wall clock and timers. */
export interface Clock {
  now(): MonotonicMs;
  wallClock(): WallClockMs;
  /** Calls back once after so many milliseconds; the result cancels the timer. */
  after(ms: number, callback: () => void): () => void;
  sleep(ms: number): Promise<void>;
}
