/**
 * An adaptive limit on requests in progress. It follows response times: while they stay close to the best recent mean,
 * the limit grows by one per window; when they exceed it, it shrinks by a fraction.
 */
import type { MonotonicMs } from './model/time.js';

const INITIAL_LIMIT = 16;
/** A window ends after this time, once it has `MIN_WINDOW_REQUESTS`. */
const WINDOW_MS = 250;
const MIN_WINDOW_REQUESTS = 4;
/** The best mean drifts upwards by this factor per window, so that one fast window does not bind for ever. */
const BEST_MEAN_DRIFT = 1.02;
const DECREASE_FACTOR = 0.85;

/** Bounds of the limit, and when answers count as slow. */
export interface ConcurrencyLimitOptions {
  readonly min: number;
  readonly max: number;
  /** A mean response time above this multiple of the best is a sign of overload. */
  readonly tolerance: number;
  /** Mean response times below this are never a sign of overload. */
  readonly floorMs: number;
}

/** An adaptive limit on requests in progress: additive increase, multiplicative decrease. */
export class ConcurrencyLimit {
  /** The present limit; only its whole part counts. */
  limit: number;
  /** Number of requests admitted and not released yet. */
  inProgress = 0;
  /** Number of requests refused since the start. */
  refused = 0;
  private bestMeanMs = Number.POSITIVE_INFINITY;
  private windowStart = 0;
  private windowTotalMs = 0;
  private windowRequests = 0;
  /** Whether the window used at least half of the limit: an unused limit does not grow. */
  private wasLimitUsed = false;

  constructor(private readonly options: ConcurrencyLimitOptions) {
    this.limit = Math.max(options.min, Math.min(options.max, INITIAL_LIMIT));
  }

  /** Admits a request, which must then be released; false where the limit is reached. */
  tryAcquire(): boolean {
    if (this.inProgress >= Math.floor(this.limit)) {
      this.refused++;
      this.wasLimitUsed = true;
      return false;
    }
    this.inProgress++;
    if (this.inProgress >= this.limit / 2) this.wasLimitUsed = true;
    return true;
  }

  /** Ends a request that took so long. */
  release(durationMs: number, now: MonotonicMs): void {
    this.inProgress--;
    this.windowTotalMs += durationMs;
    this.windowRequests++;
    if (now - this.windowStart < WINDOW_MS || this.windowRequests < MIN_WINDOW_REQUESTS) return;
    this.adjustLimit(this.windowTotalMs / this.windowRequests);
    this.windowStart = now;
    this.windowTotalMs = 0;
    this.windowRequests = 0;
    this.wasLimitUsed = false;
  }

  private adjustLimit(meanMs: number): void {
    const { min, max, tolerance, floorMs } = this.options;
    this.bestMeanMs = Math.min(meanMs, this.bestMeanMs * BEST_MEAN_DRIFT);
    const overloadMs = Math.max(floorMs, this.bestMeanMs * tolerance);
    if (meanMs > overloadMs) this.limit = Math.max(min, this.limit * DECREASE_FACTOR);
    else if (this.wasLimitUsed) this.limit = Math.min(max, this.limit + 1);
  }
}
