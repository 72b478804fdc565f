/** Token buckets of the simulated state service: each holds at most one second's worth of its rate. */
import type { VirtualTime } from './virtual-time.js';

/** What the state service allows. */
export interface Budget {
  /** Requests per second. */
  readonly rps: number;
  /** Changes per second. */
  readonly writeRps: number;
  /** Changes in one transaction. */
  readonly txnOps: number;
}

/** Limits the rate of requests and of changes, and counts both. */
export class RequestBucket {
  /** All requests, the changes that were admitted, and the requests that were refused. */
  readonly counts = { requests: 0, writes: 0, limited: 0 };
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

  /** Takes one request with so many changes; false where a bucket is empty. */
  take(budget: Budget, writes: number): boolean {
    this.refill(budget);
    this.counts.requests++;
    if (this.requestTokens < 1 || this.writeTokens < writes) {
      this.counts.limited++;
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
