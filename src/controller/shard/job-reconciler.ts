/** Decides which changes the records of jobs need: for completion, cancellation, failures and cancelled dependents. */
import { LOG_EVENT } from '../../core/log-events.js';
import { NO_VERSION, type JobId } from '../../core/model/ids.js';
import type { DoneSet, FinalRecord, JobFailureRecord, JobRecord } from '../../core/model/jobs.js';
import type { WallClockMs } from '../../core/model/time.js';
import { key } from '../../core/records/keys.js';
import type { ChangeSet } from '../../io/state/change-set.js';
import type { Guard, WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health/health-tracker.js';
import type { PreparedResults } from './task-exits.js';

/** Maximum number of dependents that one pass cancels; hundreds at once would delay all other changes. */
const MAX_DEPENDENTS_PER_PASS = 16;
/** Maximum number of machines in a job's failure record, which keeps those of the latest failures. */
const MAX_FAILED_MACHINES_RECORDED = 3;

type ResultsByJob = ReadonlyMap<JobId, DoneSet>;
/** The change that a pass has decided for each of some jobs. */
type ChangesByJob = ReadonlyMap<JobId, ChangeSet>;

/** Changes to the records of jobs that one pass has decided, at most one for each job. */
export interface JobChanges {
  /** Changes that end jobs all of whose tasks are done. */
  readonly finished: readonly ChangeSet[];
  /** Changes that begin or end cancellations, including those of dependents. */
  readonly cancellations: readonly ChangeSet[];
}

/** Reconciles the records of jobs of owned teams with task results, failures and cancellation requests. */
export class JobReconciler {
  /** Jobs whose cancellation was requested from this controller, not through the state service. */
  private readonly requestedCancellations = new Set<JobId>();

  constructor(
    private readonly context: ControllerContext,
    private readonly health: HealthTracker,
  ) {}

  /** Begins the cancellation of a job of an owned team with the next pass. */
  requestCancellation(id: JobId): void {
    this.requestedCancellations.add(id);
  }

  /**
   * The changes of this pass. Results are written before the job's cancellation or together with it, so that a finished
   * task stays finished. A job that the pass ends does not begin its cancellation as well: both changes are decided from
   * the same record, so that only one of them can be committed.
   */
  reconcile(results: PreparedResults): JobChanges {
    const { jobs } = this.context.view;
    const finished = [...results.finishedJobs].map(([id, done]) =>
      this.finish(jobs.get(id)!, { state: 'done', done: done.count }),
    );
    const dependents = this.cancelDependents(results);
    const cancellations = [
      ...this.beginStoredCancellations(results, dependents),
      ...this.beginRequestedCancellations(results, dependents),
      ...dependents.values(),
      ...this.finishCancelled(results),
    ];
    return { finished, cancellations };
  }

  /**
   * The changes that record which jobs fail on every machine. With the record, a later owner of the team continues the
   * backoff, the leader rents no machines for the job, and users see the failures. Each failed round costs one change;
   * the backoff makes rounds rare.
   */
  recordFailingJobs(unfinishedJobs: ResultsByJob): ChangeSet[] {
    const { context } = this;
    const { clock, view } = context;
    const changes: ChangeSet[] = [];
    for (const [id, failures] of this.health.failures.failingJobs()) {
      const job = view.jobs.get(id);
      if (job?.phase !== 'active' || unfinishedJobs.has(id)) continue;
      if (failures.rounds <= (job.failing?.rounds ?? 0)) continue;
      const failing: JobFailureRecord = {
        rounds: failures.rounds,
        why: failures.why,
        machines: [...failures.machines].slice(-MAX_FAILED_MACHINES_RECORDED),
        until: (clock.wallClock() + Math.max(0, failures.until - clock.now())) as WallClockMs,
      };
      context.log.info({ job: id, ...failing }, LOG_EVENT.jobFailing);
      const value = context.recordBudget.storedJob({ ...job, failing });
      changes.push({
        operations: [{ key: key.job(id), value, reason: 'failing' }],
        guards: [context.guards.forKey(key.job(id))],
      });
    }
    return changes;
  }

  /**
   * The changes that remove the failures of jobs that a running task on a machine of this controller shows to run well.
   * The job's record is what all controllers go by, and the machine's owner alone sees the task run.
   */
  clearRecoveredJobs(unfinishedJobs: ResultsByJob): ChangeSet[] {
    const { clock, guards, log, recordBudget, view } = this.context;
    const changes: ChangeSet[] = [];
    for (const job of view.jobs.values()) {
      if (job.failing === undefined || job.phase !== 'active') continue;
      const { failing, ...withoutFailures } = job;
      const { id } = job.spec;
      if (unfinishedJobs.has(id)) continue;
      if (!this.health.failures.hasRecovered(id) || failing.until > clock.wallClock()) continue;
      log.info({ job: id, rounds: failing.rounds }, LOG_EVENT.jobRecovered);
      const value = recordBudget.storedJob(withoutFailures);
      changes.push({
        operations: [{ key: key.job(id), value, reason: 'failing' }],
        guards: [guards.forKey(key.job(id))],
      });
    }
    return changes;
  }

  /** Begins the cancellations that other controllers have requested through the state service. */
  private beginStoredCancellations(
    { finishedJobs, unfinishedJobs }: PreparedResults,
    dependents: ChangesByJob,
  ): ChangeSet[] {
    const { context } = this;
    const { view } = context;
    const changes: ChangeSet[] = [];
    for (const id of view.cancellations) {
      const job = view.jobs.get(id);
      if (job === undefined) {
        if (view.leader?.incarnation === context.incarnation) changes.push(this.removeCancellation(id));
        continue;
      }
      if (finishedJobs.has(id) || dependents.has(id)) continue;
      if (context.ownership.ownsTeam(job.spec.team) && job.phase === 'active')
        changes.push(this.beginCancellation(job, unfinishedJobs.get(id)));
    }
    return changes;
  }

  /** The change that removes a stored cancellation request whose job is over. */
  private removeCancellation(id: JobId): ChangeSet {
    const cancellationKey = key.cancellation(id);
    return {
      operations: [{ key: cancellationKey, value: undefined, reason: 'cancellation' }],
      guards: [this.context.guards.forKey(cancellationKey)],
    };
  }

  private beginRequestedCancellations(
    { finishedJobs, unfinishedJobs }: PreparedResults,
    dependents: ChangesByJob,
  ): ChangeSet[] {
    const { view, ownership } = this.context;
    const changes: ChangeSet[] = [];
    for (const id of this.requestedCancellations) {
      if (finishedJobs.has(id) || dependents.has(id)) continue;
      const job = view.jobs.get(id);
      const mayCancel = job?.phase === 'active' && ownership.ownsTeam(job.spec.team);
      if (mayCancel && !view.cancellations.has(id))
        changes.push(this.beginCancellation(job, unfinishedJobs.get(id)));
      else this.requestedCancellations.delete(id);
    }
    return changes;
  }

  /** Cancels jobs that depend on a cancelled job. They have never started, so only their records have to change. */
  private cancelDependents({ finishedJobs }: PreparedResults): ChangesByJob {
    const { context } = this;
    const totals = context.allocations.current();
    const changes = new Map<JobId, ChangeSet>();
    for (const [id, dependency] of context.dependencies.current().byJob) {
      if (changes.size >= MAX_DEPENDENTS_PER_PASS) break;
      if (dependency.kind !== 'cancelled' || finishedJobs.has(id)) continue;
      const job = context.view.jobs.get(id);
      if (job === undefined || !context.ownership.ownsTeam(job.spec.team) || totals.allocationsByJob.has(id))
        continue;
      changes.set(id, this.finish(job, { state: 'cancelled', done: 0, because: dependency.because }));
    }
    return changes;
  }

  /** Ends the cancellations of jobs that have no allocated task left: none of their tasks can still be running. */
  private finishCancelled({ finishedJobs, unfinishedJobs }: PreparedResults): ChangeSet[] {
    const { context } = this;
    const totals = context.allocations.current();
    const dependencies = context.dependencies.current().byJob;
    const changes: ChangeSet[] = [];
    for (const job of context.view.jobs.values()) {
      const { id, team } = job.spec;
      if (job.phase !== 'cancelling' || finishedJobs.has(id) || !context.ownership.ownsTeam(team)) continue;
      if (dependencies.get(id)?.kind === 'cancelled' || totals.allocationsByJob.has(id)) continue;
      const { count } = unfinishedJobs.get(id) ?? job.done;
      changes.push(this.finish(job, { state: 'cancelled', done: count }));
    }
    return changes;
  }

  private beginCancellation(job: JobRecord, done = job.done): ChangeSet {
    const { log, guards, recordBudget } = this.context;
    const { id, team } = job.spec;
    log.info({ job: id }, LOG_EVENT.jobCancelling);
    const value = recordBudget.storedJob({ ...job, done, phase: 'cancelling' });
    return {
      operations: [{ key: key.job(id), value, reason: 'cancellation' }],
      guards: [guards.forKey(key.job(id)), ...guards.forTeam(team)],
    };
  }

  /** The change that replaces the job's record with its final record. */
  private finish(job: JobRecord, final: FinalRecord): ChangeSet {
    const { clock, guards: guardsOf, log, state, view } = this.context;
    const { id, team } = job.spec;
    log.info({ job: id, state: final.state, done: final.done }, LOG_EVENT.jobFinished);
    const value: FinalRecord = { ...final, at: clock.wallClock() };
    const operations: WriteOperation[] = [
      { key: key.job(id), value: undefined, reason: 'end' },
      { key: key.final(id), value, reason: 'end' },
    ];
    const guards: Guard[] = [guardsOf.forKey(key.job(id)), { key: key.final(id), version: NO_VERSION }];
    if (final.state === 'cancelled') guards.push(...guardsOf.forTeam(team));
    // Where this operation would exceed the limit of a transaction, the leader removes the request later.
    if (view.cancellations.has(id) && operations.length < state.limits.operationsPerTransaction) {
      operations.push({ key: key.cancellation(id), value: undefined, reason: 'cancellation' });
      guards.push(guardsOf.forKey(key.cancellation(id)));
    }
    return { operations, guards };
  }
}
