/** Monotonic and wall-clock time, as branded numbers of milliseconds. */
import type { Brand } from './ids.js';

/** Milliseconds on this process's steady clock. */
export type MonotonicMs = Brand<number, 'Steady'>;
/** Milliseconds of the time of day; only ever used with slack. */
export type WallClockMs = Brand<number, 'WallMs'>;
/** Takes milliseconds for a time of the steady clock. */
export const monotonicMs = (n: number) => n as MonotonicMs;
/** Takes milliseconds for a time of day. */
export const wallClockMs = (n: number) => n as WallClockMs;
