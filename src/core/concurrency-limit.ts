/**
 * An adaptive limit on requests in progress, controlled by response times. While their mean stays close to the best
 * recent one, the limit grows by one per window; when it exceeds a multiple of the best, the limit shrinks by a
 * fraction.
 */
import type { MonotonicMs } from './model/time.js';

const INITIAL_LIMIT = 16;
/** Shortest duration of a window; it also needs `MIN_WINDOW_REQUESTS` to end. */
const WINDOW_MS = 250;
const MIN_WINDOW_REQUESTS = 4;
/** Factor by which the best mean grows per window, so that a single fast window does not determine it forever. */
const BEST_MEAN_DRIFT = 1.02;
const DECREASE_FACTOR = 0.85;

/** Bounds of the limit, and response times that indicate overload. */
export interface ConcurrencyLimitOptions {
  readonly min: number;
  readonly max: number;
  /** Multiple of the best mean response time above which a mean indicates overload. */
  readonly tolerance: number;
  /** A mean response time up to this many milliseconds never indicates overload. */
  readonly minOverloadMs: number;
}

/** An adaptive limit on requests in progress: additive increase, multiplicative decrease. */
export class ConcurrencyLimit {
  /** The present limit; its fractional part is ignored. */
  limit: number;
  /** Number of requests that were admitted and not released yet. */
  inProgress = 0;
  /** Number of requests that were refused since the limit was created. */
  refused = 0;
  private bestMeanMs = Number.POSITIVE_INFINITY;
  private windowStart = 0;
  private windowTotalMs = 0;
  private windowRequests = 0;
  /** Whether the window has used at least half of the limit; otherwise the limit does not grow. */
  private wasLimitUsed = false;

  constructor(private readonly options: ConcurrencyLimitOptions) {
    this.limit = Math.max(options.min, Math.min(options.max, INITIAL_LIMIT));
  }

  /** Admits a request, which must later be released. Returns false if the limit is reached. */
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

  /** Releases a request that was admitted and took `durationMs`; at the end of a window this adjusts the limit. */
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
    const { min, max, tolerance, minOverloadMs } = this.options;
    this.bestMeanMs = Math.min(meanMs, this.bestMeanMs * BEST_MEAN_DRIFT);
    const overloadMs = Math.max(minOverloadMs, this.bestMeanMs * tolerance);
    if (meanMs > overloadMs) this.limit = Math.max(min, this.limit * DECREASE_FACTOR);
    else if (this.wasLimitUsed) this.limit = Math.min(max, this.limit + 1);
  }
}
