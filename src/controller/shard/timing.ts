/** How often an owner looks at everything, and how long what need not be written at once may wait. */

/** All machines are looked at again so often, for what only time brings about. */
export const FULL_RECONCILE_INTERVAL_MS = 500;
/** How long entries of tasks that are done may stay in a record, with and without budget to spare. */
export const CLEANUP_DELAY_SPARE_MS = 1500;
/** How long they may stay where the budget is short. */
export const MAX_CLEANUP_DELAY_MS = 10_000;
/** An empty machine can serve other slices, or be returned: that is worth a change sooner. */
export const CLEANUP_DELAY_EMPTY_MS = 3000;
