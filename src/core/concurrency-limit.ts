/**
 * How many requests may be in progress at once. The limit follows measured times: while answers take about
 * as long as the best of late it grows by one per window, and when they take longer it shrinks by a part.
 */
import type { MonotonicMs } from './model/time.js';

/** Bounds of the limit, and when answers count as slow. */
export interface ConcurrencyLimitOptions {
  readonly min: number;
  readonly max: number;
  /** Answers slower than this many times the best are a sign of overload. */
  readonly tolerance: number;
  /** Times below this are never a sign of overload. */
  readonly floorMs: number;
}

/** An adaptive limit on requests in progress: additive increase, multiplicative decrease. */
export class ConcurrencyLimit {
  limit: number;
  inProgress = 0;
  refused = 0;
  private bestMs = Number.POSITIVE_INFINITY;
  private windowStart = 0;
  private sum = 0;
  private count = 0;
  private full = false;

  constructor(private readonly options: ConcurrencyLimitOptions) {
    this.limit = Math.max(options.min, Math.min(options.max, 16));
  }

  tryAcquire(): boolean {
    if (this.inProgress >= Math.floor(this.limit)) {
      this.refused++;
      this.full = true;
      return false;
    }
    this.inProgress++;
    if (this.inProgress >= this.limit / 2) this.full = true;
    return true;
  }

  release(tookMs: number, now: MonotonicMs): void {
    this.inProgress--;
    this.sum += tookMs;
    this.count++;
    if (now - this.windowStart < 250 || this.count < 4) return;
    const mean = this.sum / this.count;
    // The best drifts upwards, so that one lucky window does not bind for ever.
    this.bestMs = Math.min(mean, this.bestMs * 1.02);
    const bound = Math.max(this.options.floorMs, this.bestMs * this.options.tolerance);
    if (mean > bound) this.limit = Math.max(this.options.min, this.limit * 0.85);
    else if (this.full) this.limit = Math.min(this.options.max, this.limit + 1);
    this.windowStart = now;
    this.sum = 0;
    this.count = 0;
    this.full = false;
  }
}
