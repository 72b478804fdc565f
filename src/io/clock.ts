/** The real clocks and timers. */
import type { Clock } from '../core/clock.js';
import { steady, wallMs } from '../core/types.js';

/** The clocks and timers of this process. */
export const realClock: Clock = {
  now: () => steady(performance.now()),
  wall: () => wallMs(Date.now()),
  after: (ms, fn) => {
    const timer = setTimeout(fn, ms);
    return () => {
      clearTimeout(timer);
    };
  },
  sleep: (ms) => new Promise((r) => setTimeout(r, ms)),
};
