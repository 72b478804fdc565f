/** The limits of the state service, and the part of them that one controller uses. */
import type { Clock } from '../../core/model/clock.js';
import { RateLimiter } from '../rate-limiter.js';

/** Fractions of this controller's share of the rate limits that it uses; the rest absorbs clock drift. */
const REQUEST_RATE_FRACTION = 0.9;
const WRITE_RATE_FRACTION = 0.95;
const MAX_QUEUED_REQUESTS = 200;
/** Fraction of the write rate of all controllers that one of them may use while nothing is refused. */
const MAX_BORROWED_FRACTION = 0.8;
/**
 * Fraction of this controller's share of the request rate that watch requests may use. Each change of a watched key
 * ends a watch request: without a limit, many small changes by other controllers would use up the requests for users.
 */
const WATCH_FRACTION = 0.3;

/** The limits of the state service, and the number of controllers that share them. */
export interface StateServiceLimits {
  /** Requests per second. */
  readonly rps: number;
  /** Write operations per second. */
  readonly writeRps: number;
  /** What `rps` may fall to without notice. */
  readonly minRps: number;
  /** What `writeRps` may fall to without notice. */
  readonly minWriteRps: number;
  readonly operationsPerTransaction: number;
  /** Maximum size of a value, as JSON. */
  readonly valueBytes: number;
  readonly controllerCount: number;
}

/** The limiter of one controller's requests and writes. */
export const createLimiter = (limits: StateServiceLimits, clock: Clock): RateLimiter =>
  new RateLimiter({
    requestRates: {
      max: (limits.rps / limits.controllerCount) * REQUEST_RATE_FRACTION,
      min: (limits.minRps / limits.controllerCount) * REQUEST_RATE_FRACTION,
    },
    writeRates: {
      max: (limits.writeRps / limits.controllerCount) * WRITE_RATE_FRACTION,
      min: (limits.minWriteRps / limits.controllerCount) * WRITE_RATE_FRACTION,
    },
    maxQueued: MAX_QUEUED_REQUESTS,
    maxBorrowFactor: Math.max(1, limits.controllerCount * MAX_BORROWED_FRACTION),
    clock,
  });

/** Shortest interval in milliseconds between two watch requests of one controller. */
export const watchIntervalMs = ({ rps, controllerCount }: StateServiceLimits): number =>
  (1000 * controllerCount) / (rps * WATCH_FRACTION);
