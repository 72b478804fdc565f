/**
 * Confirmed exits and results of tasks: which results are durable, which allocations of finished tasks may stay in their
 * records for a while, and how often results of unfinished jobs are written. Writes are the scarcest part of the state
 * service's budget, so that results are gathered before they are written.
 */
import type { TaskExit } from '../../core/agents/confirmed-exits.js';
import { isDone, markDone } from '../../core/jobs/done-tasks.js';
import type { FencingToken, JobId, MachineName, TaskIndex } from '../../core/model/ids.js';
import type { DoneSet, JobRecord } from '../../core/model/jobs.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import { key } from '../../core/records/keys.js';
import type { ChangeSet } from '../../io/state/change-set.js';
import type { ControllerContext } from '../controller-context.js';
import { FULL_RECONCILE_INTERVAL_MS, MAX_CLEANUP_DELAY_MS } from './timing.js';

/** Results of a job are gathered for at least this long while the write budget is short. */
const MIN_BATCH_MS = 2500;
/**
 * Results of a job are gathered for about the run time of a task, at most this long: tasks of most arrays run in parallel,
 * so that the job finishes before its results need a write of their own. A result that is not written is lost with its
 * machine.
 */
const MAX_BATCH_MS = 20_000;
/** Fraction of this controller's write budget for results of unfinished jobs; twice that with budget to spare. */
const WRITE_BUDGET_FRACTION = 0.15;

/** Results that one pass has found and that are not durable yet, by job. */
export type UncommittedResults = Map<JobId, Set<TaskIndex>>;

/** What follows from the results of a pass. */
export interface PreparedResults {
  /** Jobs all of whose tasks are done. */
  readonly finishedJobs: ReadonlyMap<JobId, DoneSet>;
  /** All known results of other jobs that have uncommitted ones. */
  readonly unfinishedJobs: ReadonlyMap<JobId, DoneSet>;
  /** Changes that write the results of unfinished jobs that are due. */
  readonly dueCommits: readonly ChangeSet[];
}

/** Exits confirmed under one fencing token of a machine. */
interface ConfirmedExits {
  readonly token: FencingToken;
  readonly exits: readonly TaskExit[];
}

/** Keeps track of finished tasks with allocations in their machines' records, and of results that are not written yet. */
export class TaskExits {
  /**
   * Exits whose allocations are still in their machine's record, although their room may be used again. After a crash the
   * next owner confirms them anew from the next heartbeat.
   */
  private readonly confirmed = new Map<MachineName, ConfirmedExits>();
  /** Since when results of unfinished jobs have been gathered. */
  private readonly pendingSince = new Map<JobId, MonotonicMs>();

  constructor(private readonly context: ControllerContext) {}

  /** Remembers the exits of a machine whose allocations may stay for now. */
  recordExits(machine: MachineRecord, token: FencingToken, exits: readonly TaskExit[]): void {
    const kept = exits.filter((exit) => this.mayKeepAllocation(exit));
    if (kept.length > 0) this.confirmed.set(machine.name, { token, exits: kept });
    else this.confirmed.delete(machine.name);
  }

  /** Forgets the exits of a machine that this controller does not own any more. */
  forget(name: MachineName): void {
    this.confirmed.delete(name);
  }

  /** Machines with remembered exits. */
  machines(): Iterable<MachineName> {
    return this.confirmed.keys();
  }

  /** Remembered exits whose allocations are still in the machine's record. */
  confirmedExitsOn(machine: MachineRecord): TaskExit[] {
    const confirmed = this.confirmed.get(machine.name);
    if (confirmed?.token !== this.context.view.fencingTokenOf(machine)) return [];
    return confirmed.exits.filter((exit) => hasAllocationOf(machine, exit));
  }

  /** Whether the allocation of an exited task may stay: it delays nothing but the cancellation of its job. */
  mayKeepAllocation({ reason, allocation }: TaskExit): boolean {
    return reason === 'done' && this.context.view.jobs.get(allocation.job)?.phase !== 'cancelling';
  }

  /** Whether the task's result is in the state service: only then may its agent forget it. */
  isDurable({ allocation, index }: TaskExit): boolean {
    const job = this.context.view.jobs.get(allocation.job);
    return job === undefined || isDone(job.done, index);
  }

  /** Adds the result that the exit shows, if it is not durable yet. */
  collectResult(exit: TaskExit, results: UncommittedResults): void {
    if (exit.reason !== 'done' || this.isDurable(exit)) return;
    const { job, kind } = exit.allocation;
    const indexes = results.get(job) ?? new Set<TaskIndex>();
    results.set(job, indexes);
    if (kind !== 'gang') {
      indexes.add(exit.index);
      return;
    }
    // Tasks of a gang finish together: one that is done shows that all are.
    const tasks = this.context.view.jobs.get(job)?.spec.tasks ?? 0;
    for (let index = 0; index < tasks; index++) indexes.add(index);
  }

  /** Decides which jobs are finished, and which results are written now. */
  prepareCommits(results: UncommittedResults): PreparedResults {
    const { context } = this;
    const commitIntervalMs = this.commitIntervalMs(results.size);
    const finishedJobs = new Map<JobId, DoneSet>();
    const unfinishedJobs = new Map<JobId, DoneSet>();
    const dueCommits: ChangeSet[] = [];
    for (const [id, indexes] of results) {
      const job = context.view.jobs.get(id);
      if (job === undefined) continue;
      const done = markDone(job.done, indexes);
      if (done.count >= job.spec.tasks) {
        finishedJobs.set(id, done);
        continue;
      }
      unfinishedJobs.set(id, done);
      if (this.takeCommitTurn(job, done, commitIntervalMs)) dueCommits.push(this.commitResults(job, done));
    }
    for (const id of this.pendingSince.keys()) if (!context.view.jobs.has(id)) this.pendingSince.delete(id);
    return { finishedJobs, unfinishedJobs, dueCommits };
  }

  /** Whether the job's results are written now; if so, the next ones are gathered from now on. */
  private takeCommitTurn(job: JobRecord, done: DoneSet, commitIntervalMs: number): boolean {
    const { id } = job.spec;
    const now = this.context.clock.now();
    // A result shows that a job does not fail everywhere, so that its record is corrected at once.
    const isFailing = job.failing !== undefined;
    const delayMs = isFailing ? 0 : Math.max(commitIntervalMs, this.maxDelayMs(job, done));
    const since = this.pendingSince.get(id) ?? now;
    const isDue = now - since >= delayMs;
    this.pendingSince.set(id, isDue ? now : since);
    return isDue;
  }

  private commitResults(job: JobRecord, done: DoneSet): ChangeSet {
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
   * How long a job's results may be gathered beyond the commit interval. Not at all where another controller may need
   * them: each owner sees the tasks on its own machines only, and a team's controller counts a task against the team's
   * quota until its result is written.
   */
  private maxDelayMs(job: JobRecord, done: DoneSet): number {
    const { context } = this;
    const { id, team, demand, estimateS } = job.spec;
    if (!context.ownership.ownsTeam(team)) return 0;
    const totals = context.allocations.current();
    if (!totals.isWithinQuota(team, demand, 1)) return 0;
    for (const [index, { machine }] of totals.jobs.get(id)?.tasks ?? [])
      if (!isDone(done, index) && this.ownsMachine(machine)) return Math.min(estimateS * 1000, MAX_BATCH_MS);
    return 0;
  }

  private ownsMachine(name: MachineName): boolean {
    const machine = this.context.view.machines.get(name);
    return machine !== undefined && this.context.ownership.owns(machine);
  }

  /** Interval between writes of one job's results at which those of all `jobs` stay within their part of the budget. */
  private commitIntervalMs(jobs: number): number {
    const { limits, hasSpareBudget } = this.context.state;
    const fraction = hasSpareBudget ? 2 * WRITE_BUDGET_FRACTION : WRITE_BUDGET_FRACTION;
    const writesPerSecond = (limits.writeRps / limits.nodes) * fraction;
    const minIntervalMs = hasSpareBudget ? FULL_RECONCILE_INTERVAL_MS : MIN_BATCH_MS;
    return Math.min(MAX_CLEANUP_DELAY_MS, Math.max(minIntervalMs, (jobs * 1000) / writesPerSecond));
  }
}

const hasAllocationOf = (machine: MachineRecord, { allocation, index }: TaskExit): boolean =>
  machine.placed.some(
    ({ job, attempt, tasks }) =>
      job === allocation.job && attempt === allocation.attempt && tasks.includes(index),
  );
