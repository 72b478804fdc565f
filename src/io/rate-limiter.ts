/**
 * Keeps this process within its part of a shared budget. Waiting requests go by priority, then by age; the
 * queue is bounded, and what does not fit is refused at once.
 */

import type { Clock } from '../core/model/clock.js';

/** The lower, the sooner a request goes. */
export type RequestPriority = 0 | 1 | 2 | 3;
/** Sessions and leadership, then what users' requests wait for, then what is over, then starts. */
export const REQUEST_PRIORITY: Record<'session' | 'users' | 'results' | 'starts', RequestPriority> = {
  session: 0,
  users: 1,
  results: 2,
  starts: 3,
};

interface Waiting {
  readonly urgency: RequestPriority;
  readonly writes: number;
  readonly go: (granted: boolean) => void;
}

/** For so long after a refusal the whole budget counts as short. */
const SHORT_MS = 5000;
/** The part of the usual rate by which a rate that was refused comes back in a second. */
const COMES_BACK = 0.005;

/** What the service usually allows this process for its part, and what that may fall to without notice. */
export interface RateRange {
  readonly high: number;
  readonly low: number;
}

/** Keeps requests and changes within this process's part of the budget, in order of urgency. */
export class RateLimiter {
  /** What is taken now of the whole budget: between this process's fair part and nearly all of it. */
  private borrowFactor = 1;
  private requests: number;
  private writes: number;
  private last: number;
  private readonly queue: Waiting[] = [];
  private stopTimer: () => void = () => undefined;
  private exhaustedAt = Number.NEGATIVE_INFINITY;

  /** This process's part as the refusals of late suggest it, between what is usual and what it may fall to. */
  private requestRate: number;
  private writeRate: number;

  constructor(
    private readonly requestRates: RateRange,
    private readonly writeRates: RateRange,
    private readonly maxQueued: number,
    /** How many times its fair part this process may take while nobody is refused. */
    private readonly maxBorrowFactor: number,
    private readonly clock: Clock,
  ) {
    this.requests = this.requestRate = requestRates.high;
    this.writes = this.writeRate = writeRates.high;
    this.last = clock.now();
  }

  /** Resolves to false at once where the queue is full. */
  acquire(priority: RequestPriority, writes: number): Promise<boolean> {
    if (this.queue.length >= this.maxQueued && priority > 0) return Promise.resolve(false);
    return new Promise((go) => {
      const w: Waiting = { urgency: priority, writes, go };
      let at = this.queue.length;
      while (at > 0 && this.queue[at - 1]!.urgency > priority) at--;
      this.queue.splice(at, 0, w);
      this.grantQueued();
    });
  }

  /**
   * Nothing waits, at least half of what may be written at once is left, and the service has refused nothing of late:
   * where this process has little to write, the budget may still be what the others wait for.
   */
  get isIdle(): boolean {
    this.refill();
    const short = this.last - this.exhaustedAt < SHORT_MS;
    return this.queue.length === 0 && this.writes >= this.writeRate / 2 && !short;
  }

  /** How many changes this process can make within the time, as it looks now. */
  writesWithin(ms: number): number {
    this.refill();
    return Math.max(0, Math.floor(this.writes + (this.writeRate * this.borrowFactor * ms) / 1000));
  }

  /** What was taken was not used after all. */
  refund(writes: number): void {
    this.writes += writes;
    this.grantQueued();
  }

  /** The service said that the whole budget is spent: of changes, where the refused request had any. */
  noteExhausted(writes: number): void {
    this.refill();
    if (writes === 0) {
      this.requests = Math.min(this.requests, 0);
      this.requestRate = Math.max(this.requestRates.low, this.requestRate * 0.8);
      return;
    }
    this.exhaustedAt = this.last;
    // Refused at no more than its own part: the whole budget is smaller than it was.
    if (this.borrowFactor <= 1.1) this.writeRate = Math.max(this.writeRates.low, this.writeRate * 0.8);
    this.borrowFactor = 1;
    this.writes = Math.min(this.writes, 0);
  }

  private refill(): void {
    const now = this.clock.now();
    const s = Math.max(0, now - this.last) / 1000;
    this.last = now;
    // The others seldom use theirs: their part is borrowed step by step, until the service refuses something.
    this.requestRate = recoverRate(this.requestRate, this.requestRates, s);
    this.writeRate = recoverRate(this.writeRate, this.writeRates, s);
    this.borrowFactor = Math.min(this.maxBorrowFactor, this.borrowFactor + s * 0.1 * this.maxBorrowFactor);
    this.requests = Math.min(this.requestRate, this.requests + s * this.requestRate);
    const rate = this.writeRate * this.borrowFactor;
    this.writes = Math.min(rate, this.writes + s * rate);
  }

  private grantQueued(): void {
    this.stopTimer();
    this.refill();
    for (;;) {
      const w = this.queue[0];
      if (w === undefined) return;
      // A transaction larger than the bucket may go once the bucket is full; the debt is paid afterwards.
      const need = Math.min(w.writes, this.writeRate);
      const short = Math.max(
        (1 - this.requests) / this.requestRate,
        (need - this.writes) / (this.writeRate * this.borrowFactor),
      );
      // What only reads needs none of the changes that the first in line waits for: behind a large transaction, polls
      // waited for seconds, and users were refused for it.
      if (short > 1e-9 && this.requests >= 1) {
        const at = this.queue.findIndex((x) => x.writes === 0);
        if (at > 0) {
          const [reader] = this.queue.splice(at, 1);
          this.requests -= 1;
          reader!.go(true);
          continue;
        }
      }
      if (short > 1e-9) {
        this.stopTimer = this.clock.after(Math.max(2, Math.ceil(short * 1000)), () => {
          this.grantQueued();
        });
        return;
      }
      this.queue.shift();
      this.requests -= 1;
      this.writes -= w.writes;
      w.go(true);
    }
  }
}

const recoverRate = (rate: number, { high }: RateRange, s: number): number =>
  Math.min(high, rate + high * COMES_BACK * s);
