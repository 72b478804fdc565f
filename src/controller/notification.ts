/** A notification that wakes a loop early; several while the loop works count as one. */
import type { Clock } from '../core/model/clock.js';

/** Wakes one loop. */
export class Notification {
  private pending = false;
  private resume: (() => void) | null = null;

  constructor(private readonly clock: Clock) {}

  /** Wakes the loop that waits, or lets its next wait return at once. */
  notify(): void {
    this.pending = true;
    this.resume?.();
  }

  /** Resolves with the next notification, or after the time given. */
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
