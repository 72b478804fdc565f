/** Checks the job states that controllers report to users, against what happened on the machines and what was reported before. */
import assert from 'node:assert/strict';
import type { SimulatedCluster } from './simulated-cluster.js';
import type { SubmittedJob } from './submitted-job.js';

/** The history of answers; every job's is checked as it grows. */
export class ObservedStates {
  /** Answers that contained a job's state. */
  answers = 0;

  constructor(private readonly cluster: SimulatedCluster) {}

  /**
   * Records that a user was answered with a job's state. `askedAt` is when the question was asked, which matters where it may
   * have been under way for long.
   */
  record(id: string, job: SubmittedJob, state: string, askedAt = Number.POSITIVE_INFINITY): void {
    this.answers++;
    if (job.observedFinalState !== null) assert.equal(state, job.observedFinalState, `went_back: ${id}`);
    if (state === 'pending' || state === 'running') this.checkNotOrphaned(id, state, askedAt);
    if (state === 'done') this.recordDone(id, job);
    if (state === 'cancelled') this.recordCancelled(id, job);
  }

  /** A question that was under way when a cancellation was reported may have been decided before it. */
  private checkNotOrphaned(id: string, state: string, askedAt: number): void {
    const { time, limits } = this.cluster;
    const cancelledFrom = this.cluster.cancelledFrom(id);
    assert.ok(
      askedAt < cancelledFrom || time.now - cancelledFrom <= limits.cancelS * 1000,
      `orphaned: ${id} is ${state}, and one that it needs was cancelled at ${cancelledFrom}`,
    );
  }

  private recordDone(id: string, job: SubmittedJob): void {
    assert.equal(
      job.doneTasks.size,
      job.tasks,
      `not_done: ${id} has ${job.doneTasks.size} of ${job.tasks} done`,
    );
    job.observedFinalState = 'done';
  }

  private recordCancelled(id: string, job: SubmittedJob): void {
    assert.ok(this.cluster.isCancellationRequested(id), `went_back: ${id} was cancelled by nobody`);
    job.observedFinalState = 'cancelled';
    job.observedCancelledAt ??= this.cluster.time.now;
  }
}
