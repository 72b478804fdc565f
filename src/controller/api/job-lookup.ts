/** Answers users' questions about the state of a job. */
import { UnavailableError } from '../../core/errors.js';
import type { DependencyStatus } from '../../core/jobs/dependencies.js';
import type { JobId } from '../../core/model/ids.js';
import type { FinalRecord, JobRecord, JobStatus } from '../../core/model/jobs.js';
import type { ControllerContext } from '../controller-context.js';

/** Without an answer of the state service for this long only final states can be answered. */
export const STATE_CONTACT_MS = 1500;

/** Finds jobs in the view and among the final states. */
export class JobLookup {
  constructor(private readonly context: ControllerContext) {}

  /**
   * The job's state, at least as new as anything that any controller has told a user. Undefined: never accepted.
   * Throws `UnavailableError` where that cannot be known now.
   */
  async find(id: JobId): Promise<JobStatus | undefined> {
    const { watcher, state, view, finalStates, dependencies } = this.context;
    const cached = finalStates.cached(id);
    if (cached !== undefined) return finalStatus(cached);
    // Without the state service only final states can be answered: fails at once, not after a timeout.
    if (!watcher.isReady || !state.isReachable(STATE_CONTACT_MS)) throw new UnavailableError('not ready');
    await watcher.waitUntilFresh();
    const job = view.jobs.get(id);
    if (job !== undefined) return this.unfinishedStatus(job, await dependencies.resolve(job));
    const final = await finalStates.read(id, view.revision);
    return final === undefined ? undefined : finalStatus(final);
  }

  private unfinishedStatus(job: JobRecord, dependency: DependencyStatus | undefined): JobStatus {
    // The record may stay for a while, but the job can never start: its user need not wait for the change to be written,
    // nor for an outage to end. A cancellation is final, so every controller gives this answer from now on.
    if (dependency?.kind === 'withdrawn')
      return { state: 'cancelled', done: 0, running: 0, because: dependency.because };
    const running = this.context.allocations.current().jobs.get(job.spec.id)?.tasks.size ?? 0;
    return {
      state: running > 0 ? 'running' : 'pending',
      done: job.done.count,
      running,
      ...(dependency?.kind === 'blocked' ? { needs: dependency.by } : {}),
      ...this.inheritedUrgency(job),
      ...this.failureStatus(job),
    };
  }

  private inheritedUrgency(job: JobRecord): Pick<JobStatus, 'inherited'> {
    const { dependencies, clock } = this.context;
    const urgency = dependencies.current().inherited.get(job.spec.id);
    if (urgency === undefined) return {};
    const { priority, dueMs } = urgency;
    return { inherited: { priority, dueInS: dueMs === null ? null : (dueMs - clock.wallClock()) / 1000 } };
  }

  private failureStatus({ failing }: JobRecord): Pick<JobStatus, 'failing'> {
    if (failing === undefined) return {};
    const { rounds, why, machines, until } = failing;
    const nextTryInS = Math.max(0, (until - this.context.clock.wallClock()) / 1000);
    return { failing: { rounds, why, machines, nextTryInS } };
  }
}

const finalStatus = ({ state, done, because }: FinalRecord): JobStatus => ({
  state,
  done,
  running: 0,
  ...(because === undefined ? {} : { because }),
});
