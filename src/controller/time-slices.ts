/** Runs long computations in slices of time, so that heartbeats, leases and users are served in between. */
import type { Clock } from '../core/model/clock.js';
import type { Steps } from '../core/steps.js';

/** A computation lets other work run after this time, as soon as its present step has ended. */
const MAX_SLICE_MS = 10;

/** The result of a computation, and how long its slices took together, in milliseconds. */
export interface SlicedResult<Result> {
  readonly result: Result;
  readonly computedMs: number;
}

/** Runs the computation to its end; other work runs after each slice. */
export async function runInSlices<Result>(steps: Steps<Result>, clock: Clock): Promise<SlicedResult<Result>> {
  let computedMs = 0;
  let sliceStart = clock.now();
  for (;;) {
    const step = steps.next();
    const sliceMs = clock.now() - sliceStart;
    if (step.done === true) return { result: step.value, computedMs: computedMs + sliceMs };
    if (sliceMs < MAX_SLICE_MS) continue;
    computedMs += sliceMs;
    await clock.sleep(0);
    sliceStart = clock.now();
  }
}
