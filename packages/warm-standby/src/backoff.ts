/** Spaces failovers of one shard, so that a wrong suspicion cannot make it change hands again and again. */

/** Each pause is shortened or lengthened by up to this part. */
const JITTER = 0.25;

/** When the next failover may be. */
export interface BackoffOptions {
  readonly backoff_ms: number;
  readonly longest_backoff_ms: number;
  readonly calm_ms: number;
}

/** Exponential back-off with jitter. */
export class Backoff {
  private until = Number.NEGATIVE_INFINITY;
  private lastAt = Number.NEGATIVE_INFINITY;
  private steps = 0;
  /** Failovers so far. */
  count = 0;

  constructor(
    private readonly options: BackoffOptions,
    /** Uniform in [0, 1). */
    private readonly random: () => number,
  ) {}

  /** Something has happened that must not happen again soon. */
  note(nowMs: number): void {
    const { backoff_ms, longest_backoff_ms, calm_ms } = this.options;
    if (nowMs - this.lastAt > calm_ms) this.steps = 0;
    const pause = Math.min(longest_backoff_ms, backoff_ms * 2 ** this.steps);
    this.until = nowMs + pause * (1 - JITTER + 2 * JITTER * this.random());
    this.lastAt = nowMs;
    this.steps++;
    this.count++;
  }

  /** Milliseconds until the next failover may be; 0: it may be now. */
  leftMs(nowMs: number): number {
    return Math.max(0, this.until - nowMs);
  }
}
