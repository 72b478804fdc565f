/** Simulated time, seeded random draws and process clocks. Equal seeds give equal runs. */
import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';
import type { Clock } from '../../src/core/model/clock.js';
import { monotonicMs, wallClockMs, type MonotonicMs, type WallClockMs } from '../../src/core/model/time.js';

/** Number of equal steps into which `real` divides its range. */
const REAL_STEPS = 1_000_000;
/** Wall-clock time at the start of a run. */
const WALL_CLOCK_START_MS = 1_700_000_000_000;

interface ScheduledEvent {
  readonly at: number;
  /** Events at the same time happen in the order in which they were scheduled. */
  readonly order: number;
  readonly run: () => void;
}

/** The event loop of a run over simulated time, with the run's random generator. */
export class VirtualTime {
  /** Current simulated time, in milliseconds since the start of the run. */
  now = 0;
  /** Called after each event, once the promises that the event settled have run their continuations. */
  check: () => void = () => undefined;
  private readonly random: RandomGenerator;
  /** Pending events as a binary heap; the next event is the first element. */
  private readonly heap: ScheduledEvent[] = [];
  private scheduledCount = 0;

  constructor(readonly seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  /** Draws a random integer between both bounds, inclusive. */
  int(from: number, to: number): number {
    return unsafeUniformIntDistribution(from, to, this.random);
  }

  /** Draws a random number between both bounds. */
  real(from: number, to: number): number {
    return from + ((to - from) * this.int(0, REAL_STEPS)) / REAL_STEPS;
  }

  /** Draws whether an event of the given probability occurs. */
  happens(probability: number): boolean {
    return this.real(0, 1) < probability;
  }

  pick<T>(list: readonly T[]): T {
    return list[this.int(0, list.length - 1)]!;
  }

  /** Schedules a callback at a simulated time; a time in the past counts as now. */
  at(time: number, run: () => void): void {
    this.push({ at: Math.max(time, this.now), order: this.scheduledCount++, run });
  }

  after(ms: number, run: () => void): void {
    this.at(this.now + ms, run);
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(ms, resolve);
    });
  }

  /** Runs all events up to and including `end`, then sets the time to `end`. Throws what an event or `check` throws. */
  async runUntil(end: number): Promise<void> {
    for (;;) {
      if (this.heap[0] === undefined || this.heap[0].at > end) break;
      const event = this.pop()!;
      this.now = event.at;
      event.run();
      // Let the continuations of all promises that the event settled run before time advances.
      await new Promise((resolve) => setImmediate(resolve));
      this.check();
    }
    this.now = end;
  }

  private push(event: ScheduledEvent): void {
    const { heap } = this;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent]!, event)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  private pop(): ScheduledEvent | undefined {
    const { heap } = this;
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++;
      if (isBefore(last, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(event: ScheduledEvent, other: ScheduledEvent): boolean {
  return event.at < other.at || (event.at === other.at && event.order < other.order);
}

/**
 * The clock of one simulated process. A dead process runs no more callbacks. A paused process runs none either, but its
 * monotonic clock advances, and the callbacks that became due or were received during the pause run when it resumes.
 */
export class ProcessClock implements Clock {
  isDead = false;
  private paused = false;
  private deferred: (() => void)[] = [];

  /** `rate` is the monotonic clock's speed relative to simulated time, `wallClockOffsetMs` the wall clock's error. */
  constructor(
    private readonly time: VirtualTime,
    private readonly rate: number,
    private readonly wallClockOffsetMs: number,
  ) {}

  /** Runs a callback in the process: at once, on resume if the process is paused, or never if it is dead. */
  run(action: () => void): void {
    if (this.isDead) return;
    if (this.paused) this.deferred.push(action);
    else action();
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const deferred = this.deferred;
    this.deferred = [];
    for (const action of deferred)
      this.time.after(0, () => {
        this.run(action);
      });
  }

  now(): MonotonicMs {
    return monotonicMs(this.time.now * this.rate);
  }

  wallClock(): WallClockMs {
    return wallClockMs(WALL_CLOCK_START_MS + this.time.now + this.wallClockOffsetMs);
  }

  after(ms: number, run: () => void): () => void {
    let isCancelled = false;
    this.time.after(ms / this.rate, () => {
      this.run(() => {
        if (!isCancelled) run();
      });
    });
    return () => {
      isCancelled = true;
    };
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(ms, resolve);
    });
  }
}
