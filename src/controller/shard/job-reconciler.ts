/** Works out which changes the records of jobs need: ends, cancellations and the withdrawal of dependent jobs. */
import { LOG_EVENT } from '../../core/log-events.js';
import { key } from '../../core/records/keys.js';
import { NO_VERSION, type JobId } from '../../core/model/ids.js';
import type { DoneSet, JobFailureRecord, FinalRecord, JobRecord } from '../../core/model/jobs.js';
import type { WallClockMs } from '../../core/model/time.js';
import type { ChangeSet } from '../../io/state/transactions.js';
import type { Guard, WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health-tracker.js';
import type { PreparedResults } from './task-exits.js';

type ResultsByJob = ReadonlyMap<JobId, DoneSet>;

/** So many jobs are withdrawn in one pass after one that they need: the rest of the work must not wait for hundreds. */
const MAX_DEPENDENTS_PER_PASS = 16;

/** A record names so many of the machines on which its job failed, the latest. */
const MAX_FAILED_MACHINES_RECORDED = 3;

/** Makes the changes that records of jobs need. */
export class JobReconciler {
  /** Jobs whose users have asked this controller to cancel them. */
  private readonly requested = new Set<JobId>();

  constructor(
    private readonly context: ControllerContext,
    private readonly health: HealthTracker,
  ) {}

  requestCancellation(id: JobId): void {
    this.requested.add(id);
  }

  /** Results go before a cancellation, or with it: what is done stays done. */
  reconcile({ finishedJobs, unfinishedJobs }: PreparedResults): {
    ends: ChangeSet[];
    cancellations: ChangeSet[];
  } {
    const { jobs } = this.context.view;
    const ends = [...finishedJobs].map(([id, done]) =>
      this.finish(jobs.get(id)!, { state: 'done', done: done.count }),
    );
    return {
      ends,
      cancellations: [
        ...this.takeStoredCancellations(finishedJobs, unfinishedJobs),
        ...this.takeCancellationRequests(finishedJobs, unfinishedJobs),
        ...this.cancelDependents(),
        ...this.finishCancelled(finishedJobs, unfinishedJobs),
      ],
    };
  }

  /**
   * Notes in their records which jobs fail wherever they run: another owner goes on with their waits, the leader rents
   * nothing for them, and users see it. One change for each try that failed, and those grow rare.
   */
  recordFailingJobs(open: ResultsByJob): ChangeSet[] {
    const { context } = this;
    const { clock, view } = context;
    const groups: ChangeSet[] = [];
    for (const [id, failures] of this.health.failures.failingJobs()) {
      const job = view.jobs.get(id);
      if (job?.phase !== 'active' || open.has(id) || failures.rounds <= (job.failing?.rounds ?? 0)) continue;
      const failing: JobFailureRecord = {
        rounds: failures.rounds,
        why: failures.why,
        machines: [...failures.machines].slice(-MAX_FAILED_MACHINES_RECORDED),
        until: (clock.wallClock() + Math.max(0, failures.until - clock.now())) as WallClockMs,
      };
      context.log.info({ job: id, ...failing }, LOG_EVENT.jobFailing);
      const value = context.recordBudget.storedJob({ ...job, failing });
      groups.push({
        operations: [{ key: key.job(id), value, reason: 'failing' }],
        guards: [context.guards.forKey(key.job(id))],
      });
    }
    return groups;
  }

  /** Requests that other controllers have left in the state service. */
  private takeStoredCancellations(ended: ResultsByJob, open: ResultsByJob): ChangeSet[] {
    const { context } = this;
    const { view } = context;
    const groups: ChangeSet[] = [];
    for (const id of view.cancellations) {
      const job = view.jobs.get(id);
      if (job !== undefined) {
        if (context.ownership.ownsTeam(job.spec.team) && job.phase === 'active' && !ended.has(id))
          groups.push(this.beginCancellation(job, open.get(id)));
      } else if (view.leader?.incarnation === context.incarnation) {
        const k = key.cancellation(id);
        groups.push({
          operations: [{ key: k, value: undefined, reason: 'cancellation' }],
          guards: [context.guards.forKey(k)],
        });
      }
    }
    return groups;
  }

  private takeCancellationRequests(ended: ResultsByJob, open: ResultsByJob): ChangeSet[] {
    const { context } = this;
    const groups: ChangeSet[] = [];
    for (const id of this.requested) {
      if (ended.has(id)) continue;
      const job = context.view.jobs.get(id);
      const mine = job?.phase === 'active' && context.ownership.ownsTeam(job.spec.team);
      if (mine && !context.view.cancellations.has(id)) groups.push(this.beginCancellation(job, open.get(id)));
      else this.requested.delete(id);
    }
    return groups;
  }

  private cancelDependents(): ChangeSet[] {
    const { context } = this;
    const totals = context.allocations.current();
    const groups: ChangeSet[] = [];
    for (const [id, dependency] of context.dependencies.current().byJob) {
      if (groups.length >= MAX_DEPENDENTS_PER_PASS) break;
      if (dependency.kind !== 'withdrawn') continue;
      const job = context.view.jobs.get(id);
      // It never started, so that there is nothing but its record. Its users are told already (`Jobs.find`).
      if (job === undefined || !context.ownership.ownsTeam(job.spec.team) || totals.jobs.has(id)) continue;
      groups.push(this.finish(job, { state: 'cancelled', done: 0, because: dependency.because }));
    }
    return groups;
  }

  private finishCancelled(ended: ResultsByJob, open: ResultsByJob): ChangeSet[] {
    const { context } = this;
    const totals = context.allocations.current();
    const dependencies = context.dependencies.current().byJob;
    const groups: ChangeSet[] = [];
    for (const job of context.view.jobs.values()) {
      const { id, team } = job.spec;
      if (job.phase !== 'cancelling' || ended.has(id) || !context.ownership.ownsTeam(team)) continue;
      if (dependencies.get(id)?.kind === 'withdrawn') continue;
      // Said only once nothing of the job is on any machine: then there is nothing left that could run on.
      if (totals.jobs.has(id)) continue;
      const { count } = open.get(id) ?? job.done;
      groups.push(this.finish(job, { state: 'cancelled', done: count }));
    }
    return groups;
  }

  private beginCancellation(job: JobRecord, done = job.done): ChangeSet {
    const { context } = this;
    const { id, team } = job.spec;
    context.log.info({ job: id }, LOG_EVENT.jobCancelling);
    return {
      operations: [
        {
          key: key.job(id),
          value: context.recordBudget.storedJob({ ...job, done, phase: 'cancelling' }),
          reason: 'cancellation',
        },
      ],
      guards: [context.guards.forKey(key.job(id)), ...context.guards.forTeam(team)],
    };
  }

  private finish(job: JobRecord, final: FinalRecord): ChangeSet {
    const { context } = this;
    const { id, team } = job.spec;
    context.log.info({ job: id, state: final.state, done: final.done }, LOG_EVENT.jobFinished);
    const operations: WriteOperation[] = [
      { key: key.job(id), value: undefined, reason: 'end' },
      {
        key: key.final(id),
        value: { ...final, at: context.clock.wallClock() } satisfies FinalRecord,
        reason: 'end',
      },
    ];
    const guards: Guard[] = [context.guards.forKey(key.job(id)), { key: key.final(id), version: NO_VERSION }];
    if (final.state === 'cancelled') guards.push(...context.guards.forTeam(team));
    // Where a transaction takes fewer changes, the leader removes what is left of the request.
    if (
      context.view.cancellations.has(id) &&
      operations.length < context.state.limits.operationsPerTransaction
    ) {
      operations.push({ key: key.cancellation(id), value: undefined, reason: 'cancellation' });
      guards.push(context.guards.forKey(key.cancellation(id)));
    }
    return { operations, guards };
  }
}
