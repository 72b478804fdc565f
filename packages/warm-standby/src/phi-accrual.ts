/**
 * Phi accrual failure detection: instead of a timeout, a suspicion level phi that says how unlikely the present silence
 * is, given the intervals between the last arrivals. With phi 1 the probability that the next message is merely late is
 * 1 in 10, with phi 8 it is 1 in 10^8.
 */

/** Number of the latest intervals that phi is computed from. */
const WINDOW_INTERVALS = 100;
/** Phi is 0 with fewer intervals: their mean and standard deviation would say little. */
const MIN_INTERVALS = 5;
/**
 * Lower bound of the standard deviation, as a fraction of the mean interval: with very regular arrivals a small delay would
 * otherwise raise a suspicion.
 */
const MIN_RELATIVE_STD_DEV = 0.2;
/** Phi where the probability underflows to 0. */
const MAX_PHI = 300;

/** Logistic approximation of the normal distribution's upper tail, `stdDevs` standard deviations above the mean. */
function upperTail(stdDevs: number): number {
  const e = Math.exp(-stdDevs * (1.5976 + 0.070566 * stdDevs * stdDevs));
  return stdDevs > 0 ? e / (1 + e) : 1 - 1 / (1 + e);
}

/** Phi accrual failure detector for the messages of one sender. */
export class PhiAccrualDetector {
  private intervalsMs: number[] = [];
  private lastArrivalAt: number | null = null;

  constructor(
    /** Longer intervals are left out: they are due to a failure and say nothing about the arrivals of a healthy sender. */
    private readonly maxIntervalMs: number,
  ) {}

  /** Records that a message has arrived. */
  recordArrival(atMs: number): void {
    if (this.lastArrivalAt !== null) {
      const interval = atMs - this.lastArrivalAt;
      if (interval <= this.maxIntervalMs) this.intervalsMs.push(interval);
      if (this.intervalsMs.length > WINDOW_INTERVALS) this.intervalsMs.shift();
    }
    this.lastArrivalAt = atMs;
  }

  /** Milliseconds since the last message arrived; null where none has. */
  silenceMs(nowMs: number): number | null {
    return this.lastArrivalAt === null ? null : nowMs - this.lastArrivalAt;
  }

  /** When the last message arrived; null where none has. */
  get lastHeardAt(): number | null {
    return this.lastArrivalAt;
  }

  /** The suspicion level; 0 where too few messages have arrived. */
  phi(nowMs: number): number {
    if (this.lastArrivalAt === null || this.intervalsMs.length < MIN_INTERVALS) return 0;
    const count = this.intervalsMs.length;
    const mean = this.intervalsMs.reduce((sum, interval) => sum + interval, 0) / count;
    const variance = this.intervalsMs.reduce((sum, interval) => sum + (interval - mean) ** 2, 0) / count;
    const stdDev = Math.max(Math.sqrt(variance), mean * MIN_RELATIVE_STD_DEV);
    const tail = upperTail((nowMs - this.lastArrivalAt - mean) / stdDev);
    return tail > 0 ? Math.min(MAX_PHI, -Math.log10(tail)) : MAX_PHI;
  }
}
