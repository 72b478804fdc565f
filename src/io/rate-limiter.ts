/**
 * Keeps this process within its share of the rate limits on requests and writes. Queued requests are granted by
 * priority, then in order of arrival; when the queue is full, further requests are refused at once.
 */
import type { Clock } from '../core/model/clock.js';
import type { MonotonicMs } from '../core/model/time.js';
import { TokenBucket, type RateRange } from './token-bucket.js';

/** Priority of a request: lower numbers are granted first. Priority 0 is queued even if the queue is full. */
export type RequestPriority = 0 | 1 | 2 | 3;
/** Priorities: sessions and leadership, requests that users wait for, results of ended tasks, starts of tasks. */
export const REQUEST_PRIORITY: Record<'session' | 'users' | 'results' | 'starts', RequestPriority> = {
  session: 0,
  users: 1,
  results: 2,
  starts: 3,
};

/** For this time after a refused write the write limit of all processes counts as exhausted. */
const RECENT_REFUSAL_MS = 5000;
/** Shortest delay before the queue is checked again. */
const MIN_RETRY_MS = 2;
/** A shortfall of up to this many seconds is a rounding error and counts as none. */
const ROUNDING_TOLERANCE_S = 1e-9;

/** Rates, queue length and clock of a rate limiter. */
export interface RateLimiterOptions {
  /** Requests per second. */
  readonly requestRates: RateRange;
  /** Writes per second. */
  readonly writeRates: RateRange;
  readonly maxQueued: number;
  /** Maximum multiple of its share of writes that this process may use while nothing is refused. */
  readonly maxBorrowFactor: number;
  readonly clock: Clock;
}

interface QueuedRequest {
  readonly priority: RequestPriority;
  readonly writes: number;
  readonly resolve: (isGranted: boolean) => void;
}

/** Grants requests and their writes within this process's share of the rate limits, in order of priority. */
export class RateLimiter {
  private readonly requestBucket: TokenBucket;
  private readonly writeBucket: TokenBucket;
  private readonly maxQueued: number;
  private readonly clock: Clock;
  private readonly queue: QueuedRequest[] = [];
  private refilledAt: MonotonicMs;
  private writesRefusedAt = Number.NEGATIVE_INFINITY;
  private cancelRetry: () => void = () => undefined;

  constructor({ requestRates, writeRates, maxQueued, maxBorrowFactor, clock }: RateLimiterOptions) {
    this.requestBucket = new TokenBucket(requestRates, 1);
    this.writeBucket = new TokenBucket(writeRates, maxBorrowFactor);
    this.maxQueued = maxQueued;
    this.clock = clock;
    this.refilledAt = clock.now();
  }

  /**
   * Resolves to true once one request with `writes` writes may be sent, or to false at once if the queue is full and
   * the priority is not 0.
   */
  acquire(priority: RequestPriority, writes: number): Promise<boolean> {
    if (this.queue.length >= this.maxQueued && priority > 0) return Promise.resolve(false);
    return new Promise((resolve) => {
      let position = this.queue.length;
      while (position > 0 && this.queue[position - 1]!.priority > priority) position--;
      this.queue.splice(position, 0, { priority, writes, resolve });
      this.grantQueued();
    });
  }

  /**
   * Whether writes that can wait may be sent: the queue is empty, at least half a second's writes are left, and no
   * write was refused recently. A refusal shows that other processes need the limit, even if this one writes little.
   */
  get hasSpareBudget(): boolean {
    this.refill();
    const wasRecentlyRefused = this.refilledAt - this.writesRefusedAt < RECENT_REFUSAL_MS;
    return (
      this.queue.length === 0 && this.writeBucket.tokens >= this.writeBucket.rate / 2 && !wasRecentlyRefused
    );
  }

  /** How many writes this process can make within `ms` milliseconds at its present rate. */
  writesWithin(ms: number): number {
    this.refill();
    return Math.max(0, Math.floor(this.writeBucket.tokens + (this.writeBucket.borrowedRate * ms) / 1000));
  }

  /** Gives back writes that were granted but not sent. */
  refund(writes: number): void {
    this.writeBucket.tokens += writes;
    this.grantQueued();
  }

  /** Records a refusal (429): for the write limit if the refused request had writes, else for the request limit. */
  recordRefusal(writes: number): void {
    this.refill();
    if (writes === 0) {
      this.requestBucket.recordRefusal();
      return;
    }
    this.writesRefusedAt = this.refilledAt;
    this.writeBucket.recordRefusal();
  }

  private refill(): void {
    const now = this.clock.now();
    const seconds = Math.max(0, now - this.refilledAt) / 1000;
    this.refilledAt = now;
    this.requestBucket.refill(seconds);
    this.writeBucket.refill(seconds);
  }

  private grantQueued(): void {
    this.cancelRetry();
    this.refill();
    for (;;) {
      const next = this.queue[0];
      if (next === undefined) return;
      const shortfallS = this.shortfallOf(next);
      if (shortfallS <= ROUNDING_TOLERANCE_S) {
        this.queue.shift();
        this.grant(next);
        continue;
      }
      if (this.grantQueuedRead()) continue;
      this.cancelRetry = this.clock.after(Math.max(MIN_RETRY_MS, Math.ceil(shortfallS * 1000)), () => {
        this.grantQueued();
      });
      return;
    }
  }

  /**
   * Seconds until the request can be granted. A transaction with more writes than the bucket holds is granted once the
   * bucket is full, and leaves it negative.
   */
  private shortfallOf({ writes }: QueuedRequest): number {
    const neededWrites = Math.min(writes, this.writeBucket.rate);
    return Math.max(this.requestBucket.secondsUntil(1), this.writeBucket.secondsUntil(neededWrites));
  }

  /** Grants the first queued request without writes: it does not wait for the writes of requests ahead of it. */
  private grantQueuedRead(): boolean {
    if (this.requestBucket.tokens < 1) return false;
    const position = this.queue.findIndex(({ writes }) => writes === 0);
    if (position <= 0) return false;
    const [read] = this.queue.splice(position, 1);
    this.grant(read!);
    return true;
  }

  private grant({ writes, resolve }: QueuedRequest): void {
    this.requestBucket.tokens -= 1;
    this.writeBucket.tokens -= writes;
    resolve(true);
  }
}
