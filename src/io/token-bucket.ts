/** A token bucket whose rate adapts to the refusals of the service that it protects. */

/** After a refusal, the part of the usual rate that is regained per second. */
const RATE_RECOVERY_PER_SECOND = 0.005;
/** The factor by which a refused rate is reduced. */
const RATE_REDUCTION = 0.8;
/** The part of the largest borrow factor that is regained per second. */
const BORROW_RECOVERY_PER_SECOND = 0.1;
/** Up to this borrow factor a refusal means that the whole budget has shrunk, not that too much was borrowed. */
const MAX_UNBORROWED_FACTOR = 1.1;

/** What the service usually allows this process per second, and what that may fall to without notice. */
export interface RateRange {
  readonly high: number;
  readonly low: number;
}

/**
 * Holds at most one second's worth of tokens. The rate stays within its range: a refusal lowers it, time restores it.
 * Other processes seldom use their share of the budget, so that this one borrows from it step by step until the service
 * refuses something.
 */
export class TokenBucket {
  /** Negative while a debt is paid off. */
  tokens: number;
  /** Tokens per second of this process's own share, as the latest refusals suggest it. */
  rate: number;
  private borrowFactor = 1;

  constructor(
    private readonly range: RateRange,
    /** How many times its own rate this process may use while nothing is refused. */
    private readonly maxBorrowFactor: number,
  ) {
    this.tokens = this.rate = range.high;
  }

  /** Tokens per second, including what is borrowed. */
  get borrowedRate(): number {
    return this.rate * this.borrowFactor;
  }

  /** Seconds until the bucket holds the amount; not above 0 when it does already. */
  secondsUntil(amount: number): number {
    return (amount - this.tokens) / this.borrowedRate;
  }

  /** Adds what the time has earned, up to the size of the bucket. */
  refill(seconds: number): void {
    this.rate = Math.min(this.range.high, this.rate + this.range.high * RATE_RECOVERY_PER_SECOND * seconds);
    const regained = seconds * BORROW_RECOVERY_PER_SECOND * this.maxBorrowFactor;
    this.borrowFactor = Math.min(this.maxBorrowFactor, this.borrowFactor + regained);
    const rate = this.borrowedRate;
    this.tokens = Math.min(rate, this.tokens + seconds * rate);
  }

  /** The service has refused a request because the budget was spent. */
  noteExhausted(): void {
    if (this.borrowFactor <= MAX_UNBORROWED_FACTOR)
      this.rate = Math.max(this.range.low, this.rate * RATE_REDUCTION);
    this.borrowFactor = 1;
    this.tokens = Math.min(this.tokens, 0);
  }
}
