/**
 * Confirmed exits and results of tasks: which results are durable, which allocations of finished tasks may stay in
 * machine records for a while, and how often results of unfinished jobs are written. Writes are the scarcest part of
 * the state service's budget, so results are written in batches.
 */
import type { TaskExit } from '../../core/agents/confirmed-exits.js';
import { allTasksDone, isDone, isWithinWindow, markDone } from '../../core/jobs/done-tasks.js';
import type { FencingToken, JobId, MachineName, TaskIndex } from '../../core/model/ids.js';
import type { DoneSet, JobRecord } from '../../core/model/jobs.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import { key } from '../../core/records/keys.js';
import type { ChangeSet } from '../../io/state/change-set.js';
import type { ControllerContext } from '../controller-context.js';
import { FULL_RECONCILE_INTERVAL_MS, LARGE_BATCH_TASKS, MAX_CLEANUP_DELAY_MS } from './timing.js';

/** Minimum time for which results of a job are batched while the write budget is short. */
const MIN_BATCH_MS = 2500;
/**
 * Maximum time for which results of a job are batched. Up to this bound they are batched for about the run time of a
 * task: tasks of most arrays run in parallel, so that the job finishes before its results need a write of their own. A
 * result that is not written is lost with its machine.
 */
const MAX_BATCH_MS = 20_000;
/**
 * Fraction of this controller's write budget for results of unfinished jobs; doubled while there is budget to spare.
 */
const WRITE_BUDGET_FRACTION = 0.15;

/** Done tasks of a job whose results are not durable yet. The tasks of a gang are done all at once. */
type FoundResults = { readonly kind: 'all' } | { readonly kind: 'some'; readonly indexes: Set<TaskIndex> };

/** Done tasks that one pass has found and whose results are not durable yet, by job. */
export type UncommittedResults = Map<JobId, FoundResults>;

/** What one pass writes because of the results that it has found. */
export interface PreparedResults {
  /** Jobs all of whose tasks are done, with their results. */
  readonly finishedJobs: ReadonlyMap<JobId, DoneSet>;
  /** Other jobs with uncommitted results, with all their known results. */
  readonly unfinishedJobs: ReadonlyMap<JobId, DoneSet>;
  /** Changes that write the results of unfinished jobs that are due. */
  readonly dueCommits: readonly ChangeSet[];
}

/** Exits confirmed under one fencing token of a machine. */
interface ConfirmedExits {
  readonly token: FencingToken;
  readonly exits: readonly TaskExit[];
}

/** Keeps track of finished tasks whose allocations are still recorded, and of results that are not written yet. */
export class TaskExits {
  /**
   * Exits whose allocations are still in their machine's record, although their resources may be allocated again. After
   * a crash of this controller, the next owner confirms the exits from the machine's next heartbeat.
   */
  private readonly confirmed = new Map<MachineName, ConfirmedExits>();
  /** Start of each unfinished job's present batch of results. */
  private readonly batchStartedAt = new Map<JobId, MonotonicMs>();

  constructor(private readonly context: ControllerContext) {}

  /** Keeps those exits of a machine whose allocations may stay in its record for now; replaces earlier ones. */
  recordExits(machine: MachineRecord, token: FencingToken, exits: readonly TaskExit[]): void {
    const kept = exits.filter((exit) => this.mayKeepAllocation(exit));
    if (kept.length > 0) this.confirmed.set(machine.name, { token, exits: kept });
    else this.confirmed.delete(machine.name);
  }

  /** Drops the exits of a machine that this controller no longer owns. */
  forget(name: MachineName): void {
    this.confirmed.delete(name);
  }

  /** Machines with exits whose allocations may still be recorded. */
  machines(): Iterable<MachineName> {
    return this.confirmed.keys();
  }

  /** Exits whose allocations are still in the machine's record; none where its fencing token has changed. */
  confirmedExitsOn(machine: MachineRecord): TaskExit[] {
    const confirmed = this.confirmed.get(machine.name);
    if (confirmed?.token !== this.context.view.fencingTokenOf(machine)) return [];
    return confirmed.exits.filter((exit) => hasAllocationOf(machine, exit));
  }

  /**
   * Whether the allocation of an exited task may stay in its machine's record for now. That of a done task may, unless
   * its job is being cancelled: a remaining allocation delays the end of a cancellation, but nothing else.
   */
  mayKeepAllocation({ reason, allocation }: TaskExit): boolean {
    return reason === 'done' && this.context.view.jobs.get(allocation.job)?.phase !== 'cancelling';
  }

  /**
   * Whether the result of an exited task is in the state service, or its job is over: only then may its agent forget
   * it.
   */
  isDurable({ allocation, index }: TaskExit): boolean {
    const job = this.context.view.jobs.get(allocation.job);
    return job === undefined || isDone(job.done, index);
  }

  /** Adds the result of a finished task to `results`, if it is not durable yet. */
  collectResult(exit: TaskExit, results: UncommittedResults): void {
    if (exit.reason !== 'done' || this.isDurable(exit)) return;
    const { job, kind } = exit.allocation;
    if (kind === 'gang') {
      // Tasks of a gang finish together: if one is done, all are.
      results.set(job, { kind: 'all' });
      return;
    }
    // The view may lag behind the team's controller, which has started tasks of a later window. Their agents keep the
    // results until the view has reached that window.
    const record = this.context.view.jobs.get(job);
    if (record === undefined || !isWithinWindow(record.done, exit.index)) return;
    const found = results.get(job);
    if (found === undefined) results.set(job, { kind: 'some', indexes: new Set([exit.index]) });
    else if (found.kind === 'some') found.indexes.add(exit.index);
  }

  /** Decides which jobs are finished, and which results are written now. */
  prepareCommits(results: UncommittedResults): PreparedResults {
    const { context } = this;
    const commitIntervalMs = this.commitIntervalMs(results.size);
    const finishedJobs = new Map<JobId, DoneSet>();
    const unfinishedJobs = new Map<JobId, DoneSet>();
    const dueCommits: ChangeSet[] = [];
    for (const [id, found] of results) {
      const job = context.view.jobs.get(id);
      if (job === undefined) continue;
      const done = found.kind === 'all' ? allTasksDone(job.spec.tasks) : markDone(job.done, found.indexes);
      if (done.count >= job.spec.tasks) {
        finishedJobs.set(id, done);
        continue;
      }
      unfinishedJobs.set(id, done);
      if (this.closeBatchIfDue(job, done, commitIntervalMs))
        dueCommits.push(this.resultsChangeSet(job, done));
    }
    for (const id of this.batchStartedAt.keys())
      if (!context.view.jobs.has(id)) this.batchStartedAt.delete(id);
    return { finishedJobs, unfinishedJobs, dueCommits };
  }

  /** Whether the job's batch of results is to be written now. If so, its next batch starts now. */
  private closeBatchIfDue(job: JobRecord, done: DoneSet, commitIntervalMs: number): boolean {
    const { id } = job.spec;
    const now = this.context.clock.now();
    // A result shows that the job does not fail on every machine, so its failure record is removed at once.
    const isFailing = job.failing !== undefined;
    const isLarge = done.count - job.done.count >= LARGE_BATCH_TASKS;
    const batchDelayMs = isLarge ? 0 : this.batchDelayMs(job, done);
    const delayMs = isFailing ? 0 : Math.max(commitIntervalMs, batchDelayMs);
    const since = this.batchStartedAt.get(id) ?? now;
    const isDue = now - since >= delayMs;
    this.batchStartedAt.set(id, isDue ? now : since);
    return isDue;
  }

  private resultsChangeSet(job: JobRecord, done: DoneSet): ChangeSet {
    const { recordBudget, guards } = this.context;
    const { failing, ...withoutFailures } = job;
    const jobKey = key.job(job.spec.id);
    const value = recordBudget.storedJob({ ...withoutFailures, done });
    return {
      operations: [{ key: jobKey, value, reason: 'results' }],
      guards: [guards.forKey(jobKey)],
    };
  }

  /**
   * How long a job's results may be batched where that is longer than the commit interval; 0 where another controller
   * may need them. Each owner sees the tasks on its own machines only, and a team's controller counts a task against
   * the team's quota until its result is written.
   */
  private batchDelayMs(job: JobRecord, done: DoneSet): number {
    const { context } = this;
    const { id, team, demand, estimateS } = job.spec;
    if (!context.ownership.ownsTeam(team)) return 0;
    const totals = context.allocations.current();
    if (!totals.isWithinQuota(team, demand, 1)) return 0;
    for (const [index, { machine }] of totals.allocationsByJob.get(id)?.tasks ?? [])
      if (!isDone(done, index) && this.ownsMachine(machine)) return Math.min(estimateS * 1000, MAX_BATCH_MS);
    return 0;
  }

  private ownsMachine(name: MachineName): boolean {
    const machine = this.context.view.machines.get(name);
    return machine !== undefined && this.context.ownership.owns(machine);
  }

  /**
   * Interval between writes of one job's results that keeps the writes for all `jobs` within their fraction of the
   * write budget, as far as the bounds of the interval allow.
   */
  private commitIntervalMs(jobs: number): number {
    const { limits, hasSpareBudget } = this.context.state;
    const fraction = hasSpareBudget ? 2 * WRITE_BUDGET_FRACTION : WRITE_BUDGET_FRACTION;
    const writesPerSecond = (limits.writeRps / limits.controllerCount) * fraction;
    const minIntervalMs = hasSpareBudget ? FULL_RECONCILE_INTERVAL_MS : MIN_BATCH_MS;
    return Math.min(MAX_CLEANUP_DELAY_MS, Math.max(minIntervalMs, (jobs * 1000) / writesPerSecond));
  }
}

const hasAllocationOf = (machine: MachineRecord, { allocation, index }: TaskExit): boolean =>
  machine.placed.some(
    ({ job, attempt, tasks }) =>
      job === allocation.job && attempt === allocation.attempt && tasks.includes(index),
  );
