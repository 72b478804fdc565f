/** Computations in steps, so that one that takes long does not keep the event loop from other work. */

/** A computation that yields between its steps and returns its result after the last one. */
export type Steps<Result> = Generator<undefined, Result, undefined>;

/** Runs all steps at once and returns the result. */
export function runToEnd<Result>(steps: Steps<Result>): Result {
  for (;;) {
    const step = steps.next();
    if (step.done === true) return step.value;
  }
}
