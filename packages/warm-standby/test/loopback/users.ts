/** Users of a loopback cluster: they submit, poll and retry, and the history of the answers is checked. */
import assert from 'node:assert/strict';
import { submission } from '../../../../test/samples.js';
import { newJob, type SubmittedJob } from '../../../../test/sim/submitted-job.js';
import { NODES } from './cluster-settings.js';
import type { LoopbackCluster } from './cluster.js';

const RETRY_MS = 300;
const POLL_MS = 700;

/** Submits jobs and checks the states that controllers answer. */
export class Users {
  /** How long each submission took to be accepted, with its retries. */
  readonly acceptedAfterMs: { readonly at: number; readonly ms: number }[] = [];
  answers = 0;
  failed: Error | null = null;
  private jobs = 0;
  private isSubmitting = true;

  constructor(private readonly cluster: LoopbackCluster) {}

  /** Submits a job about every so many milliseconds until `stop`. */
  async run(everyMs: number): Promise<void> {
    while (this.isSubmitting) {
      this.submit().catch((e: unknown) => {
        this.failed ??= e instanceof Error ? e : new Error(String(e));
        // A test that waits for a condition fails at once.
        this.cluster.failed ??= this.failed;
      });
      await sleep(everyMs);
    }
  }

  stop(): void {
    this.isSubmitting = false;
  }

  /** Accepted jobs without an observed final state. */
  open(): string[] {
    return [...this.cluster.simulatedCluster.submitted]
      .filter(([, j]) => j.accepted && j.observedFinalState === null)
      .map(([id]) => id);
  }

  private async submit(): Promise<void> {
    const { time, simulatedCluster } = this.cluster;
    const id = `wk-${String(++this.jobs).padStart(6, '0')}`;
    const isGang = this.jobs % 5 === 0;
    const tasks = isGang ? 2 : time.int(1, 3);
    const body = submission({
      nameId: id,
      tenant: ['red', 'blue', 'green'][this.jobs % 3],
      shape: isGang ? 'ensemble' : 'sweep',
      shards: tasks,
      vcpus: 2,
      cards: 0,
      memoryGb: 4,
      dueS: null,
    });
    const job = newJob({
      body,
      kind: isGang ? 'ensemble' : 'sweep',
      tasks,
      runMs: time.int(300, 2500),
    });
    simulatedCluster.submitted.set(id, job);
    const start = performance.now();
    while (!job.accepted) {
      const reply = await this.anyController().ask('POST', '/v1/jobs', body);
      assert.ok(reply?.status !== 400 && reply?.status !== 422, `${id} is possible and was refused`);
      job.accepted = reply?.status === 201 || reply?.status === 200;
      if (!job.accepted) await sleep(RETRY_MS);
    }
    this.acceptedAfterMs.push({ at: start, ms: performance.now() - start });
    await this.follow(id, job);
  }

  private async follow(id: string, job: SubmittedJob): Promise<void> {
    while (job.observedFinalState === null) {
      await sleep(POLL_MS);
      const reply = await this.anyController().ask('GET', `/v1/jobs/${id}`, undefined, 2000);
      assert.notEqual(reply?.status, 404, `forgotten: ${id}`);
      // PROTOCOL: after any status but 200 and 404, or none, the user asks again. One that was paused answers what it finds
      // buffered with 408.
      if (reply?.status !== 200) continue;
      this.answers++;
      this.recordObservedState(id, job, (reply.body as { standing: string }).standing);
    }
    // A final state is permanent, at every controller.
    await sleep(POLL_MS);
    const reply = await this.anyController().ask('GET', `/v1/jobs/${id}`, undefined, 2000);
    if (reply?.status === 200)
      this.recordObservedState(id, job, (reply.body as { standing: string }).standing);
  }

  private recordObservedState(id: string, job: SubmittedJob, standing: string): void {
    if (job.observedFinalState !== null) assert.equal(standing, job.observedFinalState, `went_back: ${id}`);
    if (standing !== 'done') {
      assert.notEqual(standing, 'withdrawn', `${id} was cancelled by nobody`);
      return;
    }
    assert.equal(job.doneTasks.size, job.tasks, `not_done: ${id}`);
    job.observedFinalState = 'done';
  }

  private anyController() {
    return this.cluster.controllers.get(this.cluster.time.pick(NODES))!;
  }
}

export const sleep = (ms: number) => new Promise<void>((r) => setTimeout(r, ms));
