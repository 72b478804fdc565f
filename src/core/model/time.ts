/** Monotonic and wall-clock times as branded numbers of milliseconds. */
import type { Brand } from './ids.js';

/** Time in milliseconds on this process's monotonic clock; not comparable between processes. */
export type MonotonicMs = Brand<number, 'MonotonicMs'>;
/** Milliseconds since the Unix epoch. Clocks of different machines differ, so comparisons need a tolerance. */
export type WallClockMs = Brand<number, 'WallClockMs'>;

/** Brands a number of milliseconds as a time on the monotonic clock. */
export const monotonicMs = (ms: number): MonotonicMs => ms as MonotonicMs;
/** Brands a number of milliseconds as a time on the wall clock. */
export const wallClockMs = (ms: number): WallClockMs => ms as WallClockMs;
