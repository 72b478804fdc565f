/** Intervals of the shard controller, and how long changes that are not urgent may wait. */

/** Interval at which every machine is reconciled, for changes that only the passing of time brings about. */
export const FULL_RECONCILE_INTERVAL_MS = 500;
/** How long allocations of finished tasks may stay in a record while the write budget is not fully used. */
export const CLEANUP_DELAY_SPARE_MS = 1500;
/** How long they may stay while the write budget is short. */
export const MAX_CLEANUP_DELAY_MS = 10_000;
/** How long they may stay as a machine's only ones: an empty machine can serve another shard or be released. */
export const CLEANUP_DELAY_EMPTY_MS = 3000;
