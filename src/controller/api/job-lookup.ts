/** Looks up the states of jobs for users. */
import { UnavailableError } from '../../core/errors.js';
import type { DependencyStatus } from '../../core/jobs/dependencies.js';
import type { JobId } from '../../core/model/ids.js';
import type { FinalRecord, JobRecord, JobStatus } from '../../core/model/jobs.js';
import type { ControllerContext } from '../controller-context.js';

/** After this long without an answer of the state service only cached final states can be shown. */
export const STATE_CONTACT_MS = 1500;

/** Finds jobs in the view and among the final states. */
export class JobLookup {
  constructor(private readonly context: ControllerContext) {}

  /**
   * The job's state, at least as new as any state that a controller showed to a user before the call; undefined where
   * the job was never accepted. Throws `UnavailableError` where that cannot be known now.
   */
  async find(id: JobId): Promise<JobStatus | undefined> {
    const { watcher, state, view, finalStates, dependencies } = this.context;
    const cached = finalStates.cached(id);
    if (cached !== undefined) return finalStatus(cached);
    // Without the state service only cached final states are certain: fails at once instead of after a timeout.
    if (!watcher.isReady || !state.isReachable(STATE_CONTACT_MS))
      throw new UnavailableError(`lookup of ${id}: view incomplete or state service unreachable`);
    await watcher.waitUntilFresh();
    const job = view.jobs.get(id);
    if (job !== undefined) return this.unfinishedStatus(job, await dependencies.resolve(job));
    const final = await finalStates.read(id, view.revision);
    return final === undefined ? undefined : finalStatus(final);
  }

  private unfinishedStatus(job: JobRecord, dependency: DependencyStatus | undefined): JobStatus {
    // A job with a cancelled dependency can never start, even while its record still exists: its user need not wait
    // until the record is replaced or an outage has ended. A cancellation is final, so every controller gives this
    // answer from now on.
    if (dependency?.kind === 'cancelled')
      return { state: 'cancelled', done: 0, running: 0, because: dependency.because };
    const running = this.context.allocations.current().allocationsByJob.get(job.spec.id)?.tasks.size ?? 0;
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
