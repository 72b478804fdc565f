/** The clocks and timers of the operating system. */
import type { Clock } from '../core/model/clock.js';
import { monotonicMs, wallClockMs } from '../core/model/time.js';

/** The `Clock` of a real process, on Node.js timers. */
export const systemClock: Clock = {
  now: () => monotonicMs(performance.now()),
  wallClock: () => wallClockMs(Date.now()),
  after: (ms, callback) => {
    const timer = setTimeout(callback, ms);
    return () => {
      clearTimeout(timer);
    };
  },
  sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
};
