/** Checks the job states that controllers report to users against earlier reports and against the simulated machines. */
import assert from 'node:assert/strict';
import type { SimulatedCluster } from './simulated-cluster.js';
import type { SubmittedJob } from './submitted-job.js';

/** Records the reported states of all jobs, and checks each report as it arrives. */
export class ObservedStates {
  /** Number of answers that contained a job's state. */
  answers = 0;

  constructor(private readonly cluster: SimulatedCluster) {}

  /**
   * Records that a user was answered with a job's state. `askedAt` is the simulated time of the request in ms; by default
   * the request counts as later than any cancellation. Throws an `AssertionError` that begins with the violated invariant:
   * `went_back`, `orphaned` or `not_done`.
   */
  record(id: string, job: SubmittedJob, state: string, askedAt = Number.POSITIVE_INFINITY): void {
    this.answers++;
    if (job.observedFinalState !== null)
      assert.equal(
        state,
        job.observedFinalState,
        `went_back: ${id} is reported ${state} after ${job.observedFinalState}`,
      );
    if (state === 'pending' || state === 'running') this.checkNotOrphaned(id, state, askedAt);
    if (state === 'done') this.recordDone(id, job);
    if (state === 'cancelled') this.recordCancelled(id, job);
  }

  /**
   * Checks that a job is not reported as pending or running more than `cancelS` after its cancellation, or that of a
   * dependency, was reported. A request sent before that report is not checked, since it may have been evaluated earlier.
   */
  private checkNotOrphaned(id: string, state: string, askedAt: number): void {
    const { time, agentTimings } = this.cluster;
    const cancelledFrom = this.cluster.cancelledFrom(id);
    assert.ok(
      askedAt < cancelledFrom || time.now - cancelledFrom <= agentTimings.cancelS * 1000,
      `orphaned: ${id} is ${state}, but it or a dependency was reported cancelled at ${cancelledFrom} ms`,
    );
  }

  private recordDone(id: string, job: SubmittedJob): void {
    assert.equal(
      job.doneTasks.size,
      job.tasks,
      `not_done: ${id} is reported done with ${job.doneTasks.size} of ${job.tasks} tasks done`,
    );
    job.observedFinalState = 'done';
  }

  private recordCancelled(id: string, job: SubmittedJob): void {
    assert.ok(
      this.cluster.isCancellationRequested(id),
      `went_back: ${id} is reported cancelled, but no user has cancelled it or a dependency`,
    );
    job.observedFinalState = 'cancelled';
    job.observedCancelledAt ??= this.cluster.time.now;
  }
}
