/** Clocks and timers as the program uses them, so that tests can stand in for them. */
import type { MonotonicMs, WallClockMs } from './time.js';

/** Time as it is passed in: the steady clock, the time of day, and timers. */
export interface Clock {
  now(): MonotonicMs;
  wallClock(): WallClockMs;
  /** Calls back once after the time; the result takes that back. */
  after(ms: number, fn: () => void): () => void;
  sleep(ms: number): Promise<void>;
}
