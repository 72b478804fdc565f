/**
 * Keeps this process within its share of a budget of requests and changes. Waiting requests are granted by priority, then
 * by age; the queue is bounded, and what does not fit is refused at once.
 */
import type { Clock } from '../core/model/clock.js';
import type { MonotonicMs } from '../core/model/time.js';
import { TokenBucket, type RateRange } from './token-bucket.js';

/** The lower, the sooner a request is granted. */
export type RequestPriority = 0 | 1 | 2 | 3;
/** Sessions and leadership; what users' requests wait for; results of ended tasks; starts. */
export const REQUEST_PRIORITY: Record<'session' | 'users' | 'results' | 'starts', RequestPriority> = {
  session: 0,
  users: 1,
  results: 2,
  starts: 3,
};

/** For this time after a refusal the whole budget counts as short. */
const SHORTAGE_MS = 5000;
/** The shortest time until the queue is looked at again. */
const MIN_RETRY_MS = 2;
/** Shortfalls up to this many seconds are rounding errors. */
const ROUNDING_TOLERANCE_S = 1e-9;

/** What a rate limiter keeps to. */
export interface RateLimiterOptions {
  /** Requests per second. */
  readonly requestRates: RateRange;
  /** Changes per second. */
  readonly writeRates: RateRange;
  readonly maxQueued: number;
  /** How many times its share of the changes this process may use while nothing is refused. */
  readonly maxBorrowFactor: number;
  readonly clock: Clock;
}

interface QueuedRequest {
  readonly priority: RequestPriority;
  readonly writes: number;
  readonly resolve: (isGranted: boolean) => void;
}

/** Grants requests and changes within this process's share of the budget, in order of priority. */
export class RateLimiter {
  private readonly requestBucket: TokenBucket;
  private readonly writeBucket: TokenBucket;
  private readonly maxQueued: number;
  private readonly clock: Clock;
  private readonly queue: QueuedRequest[] = [];
  private refilledAt: MonotonicMs;
  private writesExhaustedAt = Number.NEGATIVE_INFINITY;
  private cancelRetry: () => void = () => undefined;

  constructor({ requestRates, writeRates, maxQueued, maxBorrowFactor, clock }: RateLimiterOptions) {
    this.requestBucket = new TokenBucket(requestRates, 1);
    this.writeBucket = new TokenBucket(writeRates, maxBorrowFactor);
    this.maxQueued = maxQueued;
    this.clock = clock;
    this.refilledAt = clock.now();
  }

  /** Waits for one request with so many changes; resolves to false at once where the queue is full. */
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
   * Nothing waits, at least half of the changes of a second are left, and no changes were refused recently: a process
   * that has little to write itself may still compete with others for the budget.
   */
  get isIdle(): boolean {
    this.refill();
    const isShort = this.refilledAt - this.writesExhaustedAt < SHORTAGE_MS;
    return this.queue.length === 0 && this.writeBucket.tokens >= this.writeBucket.rate / 2 && !isShort;
  }

  /** How many changes this process can make within the time at the present rate. */
  writesWithin(ms: number): number {
    this.refill();
    return Math.max(0, Math.floor(this.writeBucket.tokens + (this.writeBucket.borrowedRate * ms) / 1000));
  }

  /** Returns changes that were granted and not made. */
  refund(writes: number): void {
    this.writeBucket.tokens += writes;
    this.grantQueued();
  }

  /** The service said that its budget is spent: that of changes if the refused request had any, else that of requests. */
  noteExhausted(writes: number): void {
    this.refill();
    if (writes === 0) {
      this.requestBucket.noteExhausted();
      return;
    }
    this.writesExhaustedAt = this.refilledAt;
    this.writeBucket.noteExhausted();
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
   * Seconds until the request can be granted. A transaction larger than the bucket is granted once the bucket is full;
   * the debt is paid off afterwards.
   */
  private shortfallOf({ writes }: QueuedRequest): number {
    const neededWrites = Math.min(writes, this.writeBucket.rate);
    return Math.max(this.requestBucket.secondsUntil(1), this.writeBucket.secondsUntil(neededWrites));
  }

  /** Grants the first queued request without changes: it need not wait for the changes that the first in line needs. */
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
