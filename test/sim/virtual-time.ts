/** Virtual time and chance for the stand-ins. One seed gives one run. */
import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';
import type { Clock } from '../../src/core/model/clock.js';
import { monotonicMs, wallClockMs } from '../../src/core/model/time.js';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly fn: () => void;
}

export class VirtualTime {
  now = 0;
  private readonly random: RandomGenerator;
  private readonly heap: Event[] = [];
  private order = 0;
  /** Called after each step, when everything that follows from it has happened. */
  check: () => void = () => undefined;

  constructor(readonly seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  int(from: number, to: number): number {
    return unsafeUniformIntDistribution(from, to, this.random);
  }
  real(from: number, to: number): number {
    return from + ((to - from) * this.int(0, 1_000_000)) / 1_000_000;
  }
  happens(p: number): boolean {
    return this.real(0, 1) < p;
  }
  pick<T>(list: readonly T[]): T {
    return list[this.int(0, list.length - 1)]!;
  }

  at(time: number, fn: () => void): void {
    const e: Event = { at: Math.max(time, this.now), order: this.order++, fn };
    const h = this.heap;
    let i = h.push(e) - 1;
    while (i > 0) {
      const up = (i - 1) >> 1;
      if (before(h[up]!, e)) break;
      h[i] = h[up]!;
      i = up;
    }
    h[i] = e;
  }
  after(ms: number, fn: () => void): void {
    this.at(this.now + ms, fn);
  }
  sleep(ms: number): Promise<void> {
    return new Promise((r) => {
      this.after(ms, r);
    });
  }

  private next(): Event | undefined {
    const h = this.heap;
    const first = h[0];
    const last = h.pop();
    if (first === undefined || last === undefined || h.length === 0) return first;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= h.length) break;
      if (child + 1 < h.length && before(h[child + 1]!, h[child]!)) child++;
      if (before(last, h[child]!)) break;
      h[i] = h[child]!;
      i = child;
    }
    h[i] = last;
    return first;
  }

  async runUntil(end: number): Promise<void> {
    for (;;) {
      if (this.heap[0] === undefined || this.heap[0].at > end) break;
      const e = this.next()!;
      this.now = e.at;
      e.fn();
      // Lets every promise that this step settled run its course before time goes on.
      await new Promise((r) => setImmediate(r));
      this.check();
    }
    this.now = end;
  }
}

const before = (a: Event, b: Event) => a.at < b.at || (a.at === b.at && a.order < b.order);

/**
 * A process's clock; once the process is dead nothing of it happens any more. While it is paused nothing happens either,
 * but its steady clock runs on, and all that was due or came in meanwhile happens when it resumes.
 */
export class ProcessClock implements Clock {
  dead = false;
  private paused = false;
  private held: (() => void)[] = [];
  constructor(
    private readonly time: VirtualTime,
    private readonly rate: number,
    private readonly wallOff: number,
  ) {}

  /** Does something in the process: now, when it resumes, or never. */
  run(fn: () => void): void {
    if (this.dead) return;
    if (this.paused) this.held.push(fn);
    else fn();
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const held = this.held;
    this.held = [];
    for (const fn of held)
      this.time.after(0, () => {
        this.run(fn);
      });
  }

  now() {
    return monotonicMs(this.time.now * this.rate);
  }
  wallClock() {
    return wallClockMs(1_700_000_000_000 + this.time.now + this.wallOff);
  }
  after(ms: number, fn: () => void): () => void {
    let off = false;
    this.time.after(ms / this.rate, () => {
      this.run(() => {
        if (!off) fn();
      });
    });
    return () => {
      off = true;
    };
  }
  sleep(ms: number): Promise<void> {
    return new Promise((r) => {
      this.after(ms, r);
    });
  }
}
