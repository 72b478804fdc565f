/** The real clocks and timers. */
import type { Clock } from '../core/model/clock.js';
import { monotonicMs, wallClockMs } from '../core/model/time.js';

/** The clocks and timers of this process. */
export const systemClock: Clock = {
  now: () => monotonicMs(performance.now()),
  wallClock: () => wallClockMs(Date.now()),
  after: (ms, fn) => {
    const timer = setTimeout(fn, ms);
    return () => {
      clearTimeout(timer);
    };
  },
  sleep: (ms) => new Promise((r) => setTimeout(r, ms)),
};
