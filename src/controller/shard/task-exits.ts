/**
 * Tasks that have ended: which results are in the state service already, which entries of machine records may stay for a
 * while, and how often the results of unfinished jobs are written. Changes are what the state service has least of.
 */
import { isDone, markDone } from '../../core/jobs/done-tasks.js';
import { key } from '../../core/records/keys.js';
import type { TaskExit } from '../../core/agents/agent-session.js';
import type { JobId, MachineName, TaskIndex, FencingToken } from '../../core/model/ids.js';
import type { DoneSet, JobRecord } from '../../core/model/jobs.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { ChangeSet } from '../../io/state/transactions.js';
import type { ControllerContext } from '../controller-context.js';
import { MAX_CLEANUP_DELAY_MS, FULL_RECONCILE_INTERVAL_MS } from './timing.js';

/** Results of one job are gathered for so long at least where the budget is short. */
const MIN_BATCH_MS = 2500;
/**
 * And for about as long as a task runs, but no longer than this: the tasks of most arrays run beside one another, so that
 * the job ends before its results need a change of their own. A result that is not written is lost with its machine.
 */
const MAX_BATCH_MS = 20_000;
/** The part of this process's write budget that results of unfinished jobs may take; twice that where it is idle. */
const WRITE_BUDGET_FRACTION = 0.15;

/** The results that one pass has found and that are not in the state service yet, by job. */
export type UncommittedResults = Map<JobId, Set<TaskIndex>>;

/** What follows from them. */
export interface PreparedResults {
  /** Jobs all of whose tasks are done. */
  readonly finishedJobs: ReadonlyMap<JobId, DoneSet>;
  /** Results of other jobs, with those that are in their records. */
  readonly unfinishedJobs: ReadonlyMap<JobId, DoneSet>;
  /** Changes that write those of them that are due. */
  readonly dueCommits: readonly ChangeSet[];
}

/** Keeps track of ended tasks and of results that are not written yet. */
export class TaskExits {
  /**
   * Tasks that are done and whose entries are still in their machine's record. Their room can be used again at
   * once: the record only says too much. After a crash the next owner sees them exited in the next report.
   */
  private readonly confirmed = new Map<MachineName, { token: FencingToken; exits: readonly TaskExit[] }>();
  /** Since when results of unfinished jobs have been gathered. */
  private readonly pendingSince = new Map<JobId, MonotonicMs>();

  constructor(private readonly context: ControllerContext) {}

  /** Remembers which ended tasks of a machine may keep their entries for now. */
  recordExits(machine: MachineRecord, token: FencingToken, exits: readonly TaskExit[]): void {
    const kept = exits.filter((e) => this.mayKeepAllocation(e));
    if (kept.length > 0) this.confirmed.set(machine.name, { token, exits: kept });
    else this.confirmed.delete(machine.name);
  }

  forget(name: MachineName): void {
    this.confirmed.delete(name);
  }

  /** Machines with entries of ended tasks. */
  machines(): Iterable<MachineName> {
    return this.confirmed.keys();
  }

  /** Tasks known to have ended whose entries are still in the record. */
  confirmedExitsOn(machine: MachineRecord): TaskExit[] {
    const known = this.confirmed.get(machine.name);
    if (known?.token !== this.context.view.fencingTokenOf(machine)) return [];
    return known.exits.filter((e) =>
      machine.placed.some(
        (p) => p.job === e.placed.job && p.attempt === e.placed.attempt && p.tasks.includes(e.index),
      ),
    );
  }

  /** The entry of a task that is done harms nobody, except where its job's cancellation waits for it. */
  mayKeepAllocation(exit: TaskExit): boolean {
    return exit.reason === 'done' && this.context.view.jobs.get(exit.placed.job)?.phase !== 'cancelling';
  }

  /** The task's result is in the state service: only then may its machine forget it. */
  isDurable(exit: TaskExit): boolean {
    const job = this.context.view.jobs.get(exit.placed.job);
    return job === undefined || isDone(job.done, exit.index);
  }

  /** Adds what an exit says of its job's results. */
  collectResult(exit: TaskExit, found: UncommittedResults): void {
    if (exit.reason !== 'done' || this.isDurable(exit)) return;
    const { job, kind } = exit.placed;
    const indexes = found.get(job) ?? new Set<TaskIndex>();
    found.set(job, indexes);
    if (kind !== 'gang') {
      indexes.add(exit.index);
      return;
    }
    // The tasks of a gang complete together: one that is done says that all are.
    const tasks = this.context.view.jobs.get(job)?.spec.tasks ?? 0;
    for (let i = 0; i < tasks; i++) indexes.add(i);
  }

  private startPending(id: JobId): MonotonicMs {
    const since = this.pendingSince.get(id) ?? this.context.clock.now();
    this.pendingSince.set(id, since);
    return since;
  }

  /** Which jobs have ended, and which results are to be written now. */
  prepareCommits(found: UncommittedResults): PreparedResults {
    const { context } = this;
    const now = context.clock.now();
    const budgetMs = this.commitIntervalMs(found.size);
    const finishedJobs = new Map<JobId, DoneSet>();
    const unfinishedJobs = new Map<JobId, DoneSet>();
    const dueCommits: ChangeSet[] = [];
    for (const [id, indexes] of found) {
      const job = context.view.jobs.get(id);
      if (job === undefined) continue;
      const done = markDone(job.done, indexes);
      if (done.count >= job.spec.tasks) {
        finishedJobs.set(id, done);
        continue;
      }
      unfinishedJobs.set(id, done);
      // One that was taken to fail everywhere is sound after all: that is written at once, with the result that shows it.
      const { failing, ...sound } = job;
      const waitMs = failing === undefined ? Math.max(budgetMs, this.maxDelayMs(job, done)) : 0;
      if (now - this.startPending(id) < waitMs) continue;
      this.pendingSince.set(id, now);
      dueCommits.push({
        operations: [
          { key: key.job(id), value: context.recordBudget.storedJob({ ...sound, done }), reason: 'results' },
        ],
        guards: [context.guards.forKey(key.job(id))],
      });
    }
    for (const id of this.pendingSince.keys()) if (!context.view.jobs.has(id)) this.pendingSince.delete(id);
    return { finishedJobs, unfinishedJobs, dueCommits };
  }

  /**
   * How long a job's results may be gathered beyond what the budget asks for. Not at all where another controller may
   * wait for them: the job's other tasks are on machines of several owners, and each sees its own machines' only, or the
   * team belongs to another controller, which counts its tasks against the limit until their results are written.
   */
  private maxDelayMs(job: JobRecord, done: DoneSet): number {
    const { context } = this;
    if (!context.ownership.ownsTeam(job.spec.team)) return 0;
    // The team waits for its limit: a task counts against it until its result is written.
    if (!context.allocations.current().isWithinQuota(job.spec.team, job.spec.demand, 1)) return 0;
    const runsHere = ([index, at]: [TaskIndex, { machine: MachineName }]) => {
      const machine = context.view.machines.get(at.machine);
      return machine !== undefined && context.ownership.owns(machine) && !isDone(done, index);
    };
    const tasks = context.allocations.current().jobs.get(job.spec.id)?.tasks ?? [];
    return [...tasks].some(runsHere) ? Math.min(job.spec.estimateS * 1000, MAX_BATCH_MS) : 0;
  }

  /**
   * How often a job's results are written: all jobs' together may take a part of what this process may write. Nothing is
   * lost with them but time: a task whose result is not written is still on its machine's record and in its reports.
   */
  private commitIntervalMs(jobs: number): number {
    const { limits, hasSpareBudget } = this.context.state;
    const rate =
      (limits.writeRps / limits.nodes) * (hasSpareBudget ? 2 * WRITE_BUDGET_FRACTION : WRITE_BUDGET_FRACTION);
    return Math.min(
      MAX_CLEANUP_DELAY_MS,
      Math.max(hasSpareBudget ? FULL_RECONCILE_INTERVAL_MS : MIN_BATCH_MS, (jobs * 1000) / rate),
    );
  }
}
