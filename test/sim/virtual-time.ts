/** Simulated time and random draws. One seed gives one run. */
import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';
import type { Clock } from '../../src/core/model/clock.js';
import { monotonicMs, wallClockMs, type MonotonicMs, type WallClockMs } from '../../src/core/model/time.js';

/** Resolution of `real`. */
const REAL_STEPS = 1_000_000;
/** Wall-clock time at the start of a run. */
const WALL_CLOCK_START_MS = 1_700_000_000_000;

interface ScheduledEvent {
  readonly at: number;
  /** Events at the same time happen in the order in which they were scheduled. */
  readonly order: number;
  readonly run: () => void;
}

/** An event loop over simulated time, and the run's random generator. */
export class VirtualTime {
  /** Milliseconds since the start of the run. */
  now = 0;
  /** Called after each event, when everything that follows from it has happened. */
  check: () => void = () => undefined;
  private readonly random: RandomGenerator;
  /** A binary heap, the next event first. */
  private readonly heap: ScheduledEvent[] = [];
  private scheduled = 0;

  constructor(readonly seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  /** A random integer between both bounds, inclusive. */
  int(from: number, to: number): number {
    return unsafeUniformIntDistribution(from, to, this.random);
  }

  real(from: number, to: number): number {
    return from + ((to - from) * this.int(0, REAL_STEPS)) / REAL_STEPS;
  }

  happens(probability: number): boolean {
    return this.real(0, 1) < probability;
  }

  pick<T>(list: readonly T[]): T {
    return list[this.int(0, list.length - 1)]!;
  }

  /** Schedules something at a time, or as soon as possible where the time has passed. */
  at(time: number, run: () => void): void {
    this.push({ at: Math.max(time, this.now), order: this.scheduled++, run });
  }

  after(ms: number, run: () => void): void {
    this.at(this.now + ms, run);
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(ms, resolve);
    });
  }

  /** Runs all events up to the time given; throws what an event or `check` throws. */
  async runUntil(end: number): Promise<void> {
    for (;;) {
      if (this.heap[0] === undefined || this.heap[0].at > end) break;
      const event = this.pop()!;
      this.now = event.at;
      event.run();
      // Every promise that this event settled runs its course before time goes on.
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
 * The clock of one process. Once the process is dead nothing of it happens any more. While it is paused nothing happens
 * either, but its monotonic clock runs on, and all that was due or received meanwhile happens when it resumes.
 */
export class ProcessClock implements Clock {
  dead = false;
  private paused = false;
  private held: (() => void)[] = [];

  /** `rate` is the drift of the monotonic clock, `wallClockOffsetMs` the error of the wall clock. */
  constructor(
    private readonly time: VirtualTime,
    private readonly rate: number,
    private readonly wallClockOffsetMs: number,
  ) {}

  /** Does something in the process: now, when it resumes, or never. */
  run(action: () => void): void {
    if (this.dead) return;
    if (this.paused) this.held.push(action);
    else action();
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const held = this.held;
    this.held = [];
    for (const action of held)
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
