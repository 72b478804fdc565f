/** Monotonic and wall-clock time, as branded numbers of milliseconds. */
import type { Brand } from './ids.js';

/** Milliseconds on this process's monotonic clock; not comparable between processes. */
export type MonotonicMs = Brand<number, 'MonotonicMs'>;
/** Milliseconds since the Unix epoch. Clocks of different machines disagree: comparisons need tolerance. */
export type WallClockMs = Brand<number, 'WallClockMs'>;

/** Takes milliseconds for a time on the monotonic clock. */
export const monotonicMs = (ms: number): MonotonicMs => ms as MonotonicMs;
/** Takes milliseconds for a time on the wall clock. */
export const wallClockMs = (ms: number): WallClockMs => ms as WallClockMs;
