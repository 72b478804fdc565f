/** A token bucket whose rate adapts to refusals by the service whose limit it keeps. */

/** Fraction of the usual rate that is restored per second after a refusal. */
const RATE_RECOVERY_PER_SECOND = 0.005;
/** Factor by which a refusal reduces the rate. */
const RATE_REDUCTION = 0.8;
/** Fraction of the maximum borrow factor that is restored per second. */
const BORROW_RECOVERY_PER_SECOND = 0.1;
/** Up to this borrow factor a refusal is attributed to a lowered limit of the service, not to borrowing too much. */
const MAX_UNBORROWED_FACTOR = 1.1;

/** This process's share of a rate limit, in tokens per second. */
export interface RateRange {
  /** The usual rate. */
  readonly max: number;
  /** What the rate may fall to without notice. */
  readonly min: number;
}

/**
 * A token bucket that holds at most the tokens of one second. A refusal lowers the rate within its range; it recovers
 * over time. Other processes seldom use their shares of the limit, so that this one borrows from them, gradually more
 * until the service refuses a request.
 */
export class TokenBucket {
  /** Available tokens; negative after a grant of more than the bucket holds, until refilled. */
  tokens: number;
  /** Tokens per second of this process's own share, lowered by recent refusals; excludes borrowing. */
  rate: number;
  private borrowFactor = 1;

  constructor(
    private readonly range: RateRange,
    /** Maximum multiple of its own rate that this process may use while nothing is refused. */
    private readonly maxBorrowFactor: number,
  ) {
    this.tokens = this.rate = range.max;
  }

  /** Tokens per second, including borrowed ones. */
  get borrowedRate(): number {
    return this.rate * this.borrowFactor;
  }

  /** Seconds until the bucket holds `amount` tokens; 0 or negative if it does already. */
  secondsUntil(amount: number): number {
    return (amount - this.tokens) / this.borrowedRate;
  }

  /** Restores the rate and the borrow factor, and adds the tokens of `seconds` up to the size of the bucket. */
  refill(seconds: number): void {
    this.rate = Math.min(this.range.max, this.rate + this.range.max * RATE_RECOVERY_PER_SECOND * seconds);
    const regained = seconds * BORROW_RECOVERY_PER_SECOND * this.maxBorrowFactor;
    this.borrowFactor = Math.min(this.maxBorrowFactor, this.borrowFactor + regained);
    const rate = this.borrowedRate;
    this.tokens = Math.min(rate, this.tokens + seconds * rate);
  }

  /** Records a refusal: empties the bucket, resets borrowing, and lowers the rate if little was borrowed. */
  recordRefusal(): void {
    if (this.borrowFactor <= MAX_UNBORROWED_FACTOR)
      this.rate = Math.max(this.range.min, this.rate * RATE_REDUCTION);
    this.borrowFactor = 1;
    this.tokens = Math.min(this.tokens, 0);
  }
}
