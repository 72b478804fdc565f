/** Reconcile interval of the shard controller, and how long its changes that are not urgent may be delayed. */

/** Interval at which every owned machine is reconciled, for changes that become due by time alone. */
export const FULL_RECONCILE_INTERVAL_MS = 500;
/** How long allocations of finished tasks may stay in a machine's record while there is write budget to spare. */
export const CLEANUP_DELAY_SPARE_MS = 1500;
/**
 * Longest time that allocations of finished tasks may stay in a machine's record; used while the write budget is short.
 */
export const MAX_CLEANUP_DELAY_MS = 10_000;
/**
 * Number of finished tasks that are worth a write of their own: results of a job, or allocations of a machine. As long as
 * they wait, they take up bytes of the machine's record and of its agent's heartbeats, in place of further tasks.
 */
export const LARGE_BATCH_TASKS = 128;
/**
 * How long allocations of finished tasks may stay while the write budget is short, if the machine has no others: an
 * empty machine can serve another shard or be released.
 */
export const CLEANUP_DELAY_EMPTY_MS = 3000;

/**
 * Milliseconds for which a change that only records first contact with a machine waits for another one to write along
 * with; `whileBudgetIsShortMs` is used while there is no write budget to spare.
 */
export const firstContactDelayMs = (hasSpareBudget: boolean, whileBudgetIsShortMs: number): number =>
  hasSpareBudget ? FULL_RECONCILE_INTERVAL_MS : whileBudgetIsShortMs;
