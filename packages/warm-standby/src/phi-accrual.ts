/**
 * Phi accrual failure detection: instead of a timeout, a level that says how unlikely the present silence is, given the
 * intervals between the last arrivals. Level 1 is a chance of one in ten that the next message is only late, 8 of one in 10^8.
 */

/** Intervals that are remembered. */
const WINDOW = 100;
/** With fewer intervals nothing is said. */
const LEAST_SAMPLES = 5;
/** Arrivals are never taken to be more regular than this part of their mean interval. */
const LEAST_SPREAD = 0.2;
/** The level where the chance is too small for a number. */
const HIGHEST = 300;

/** The logistic approximation of the normal distribution's upper tail. */
function upperTail(deviations: number): number {
  const e = Math.exp(-deviations * (1.5976 + 0.070566 * deviations * deviations));
  return deviations > 0 ? e / (1 + e) : 1 - 1 / (1 + e);
}

/** Watches the arrivals of one sender. */
export class PhiAccrual {
  private intervals: number[] = [];
  private lastAt: number | null = null;

  constructor(
    /** Longer silences than this were a failure, and say nothing of how regular the sender is when it is well. */
    private readonly longestIntervalMs: number,
  ) {}

  /** A message has arrived. */
  heard(atMs: number): void {
    if (this.lastAt !== null) {
      const interval = atMs - this.lastAt;
      if (interval <= this.longestIntervalMs) this.intervals.push(interval);
      if (this.intervals.length > WINDOW) this.intervals.shift();
    }
    this.lastAt = atMs;
  }

  /** How long the sender has been silent; null: it was never heard. */
  silenceMs(nowMs: number): number | null {
    return this.lastAt === null ? null : nowMs - this.lastAt;
  }

  get lastHeardAt(): number | null {
    return this.lastAt;
  }

  /** The level of suspicion; 0 while too little is known. */
  phi(nowMs: number): number {
    if (this.lastAt === null || this.intervals.length < LEAST_SAMPLES) return 0;
    const count = this.intervals.length;
    const mean = this.intervals.reduce((sum, interval) => sum + interval, 0) / count;
    const variance = this.intervals.reduce((sum, interval) => sum + (interval - mean) ** 2, 0) / count;
    const spread = Math.max(Math.sqrt(variance), mean * LEAST_SPREAD);
    const tail = upperTail((nowMs - this.lastAt - mean) / spread);
    return tail > 0 ? Math.min(HIGHEST, -Math.log10(tail)) : HIGHEST;
  }
}
