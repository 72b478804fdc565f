/** How often an owner looks at everything, and how long what need not be written at once may wait. */

/** All machines are looked at again so often, for what only time brings about. */
export const SWEEP_MS = 500;
/** How long entries of tasks that are done may stay in a record, with and without budget to spare. */
export const SPARE_STAY_MS = 1500;
/** How long they may stay where the budget is short. */
export const MOST_STAY_MS = 10_000;
/** An empty machine can serve other slices, or be returned: that is worth a change sooner. */
export const EMPTY_STAY_MS = 3000;
