/** Wakes a loop before its interval has passed; notifications that come while the loop is busy are merged into one. */
import type { Clock } from '../core/model/clock.js';

/** Wake-up signal of one loop. Supports a single waiter. */
export class Notification {
  private pending = false;
  private resume: (() => void) | null = null;

  constructor(private readonly clock: Clock) {}

  /** Ends the current wait, or makes the next one return at once. */
  notify(): void {
    this.pending = true;
    this.resume?.();
  }

  /** Resolves at the next notification, or after `ms` milliseconds; at once if there was one since the last wait. */
  async wait(ms: number): Promise<void> {
    if (!this.pending) {
      let stopTimer: () => void = () => undefined;
      await new Promise<void>((resolve) => {
        this.resume = resolve;
        stopTimer = this.clock.after(ms, resolve);
      });
      stopTimer();
    }
    this.resume = null;
    this.pending = false;
  }
}
