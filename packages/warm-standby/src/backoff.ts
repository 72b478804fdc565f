/** Spaces failovers of one shard, so that repeated false suspicions cannot move it back and forth between controllers. */

/** Each pause is shortened or lengthened at random by up to this fraction. */
const JITTER_FRACTION = 0.25;

/** The pauses of a backoff, as section `takeover` of the options has them. */
export interface BackoffOptions {
  readonly backoff_ms: number;
  readonly longest_backoff_ms: number;
  readonly calm_ms: number;
}

/** Exponential backoff with jitter between failovers of one shard. */
export class Backoff {
  private pausedUntil = Number.NEGATIVE_INFINITY;
  private lastFailoverAt = Number.NEGATIVE_INFINITY;
  private doublings = 0;
  /** Number of failovers recorded. */
  failoverCount = 0;

  constructor(
    private readonly options: BackoffOptions,
    /** Returns random numbers, uniform in [0, 1). */
    private readonly random: () => number,
  ) {}

  /** Records a failover: the next one has to wait for the pause, which doubles unless there was none for `calm_ms`. */
  recordFailover(nowMs: number): void {
    const { backoff_ms, longest_backoff_ms, calm_ms } = this.options;
    if (nowMs - this.lastFailoverAt > calm_ms) this.doublings = 0;
    const pauseMs = Math.min(longest_backoff_ms, backoff_ms * 2 ** this.doublings);
    this.pausedUntil = nowMs + pauseMs * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * this.random());
    this.lastFailoverAt = nowMs;
    this.doublings++;
    this.failoverCount++;
  }

  /** Milliseconds until the next failover is allowed; 0 where it is allowed now. */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.pausedUntil - nowMs);
  }
}
