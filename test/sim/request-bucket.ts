/** Token buckets of the simulated state service; each holds at most the tokens of one second. */
import type { VirtualTime } from './virtual-time.js';

/** Request limits of the state service. */
export interface Budget {
  /** Maximum number of requests per second. */
  readonly rps: number;
  /** Maximum number of changes per second. */
  readonly writeRps: number;
  /** Maximum number of changes in one transaction. */
  readonly txnOps: number;
}

/** Limits the rate of requests and of changes, and counts both. */
export class RequestBucket {
  /** Totals: requests, whether admitted or refused; changes in admitted requests; refused requests. */
  readonly counts = { requests: 0, writes: 0, refused: 0 };
  private requestTokens: number;
  private writeTokens: number;
  private refilledAt = 0;

  constructor(
    private readonly time: VirtualTime,
    budget: Budget,
  ) {
    this.requestTokens = budget.rps;
    this.writeTokens = budget.writeRps;
  }

  /** Takes the tokens of a request with `writes` changes; false, and none are taken, where a bucket has too few. */
  take(budget: Budget, writes: number): boolean {
    this.refill(budget);
    this.counts.requests++;
    if (this.requestTokens < 1 || this.writeTokens < writes) {
      this.counts.refused++;
      return false;
    }
    this.requestTokens -= 1;
    this.writeTokens -= writes;
    this.counts.writes += writes;
    return true;
  }

  private refill(budget: Budget): void {
    const elapsedS = (this.time.now - this.refilledAt) / 1000;
    this.refilledAt = this.time.now;
    this.requestTokens = Math.min(budget.rps, this.requestTokens + elapsedS * budget.rps);
    this.writeTokens = Math.min(budget.writeRps, this.writeTokens + elapsedS * budget.writeRps);
  }
}
