/**
 * Distinguishes jobs that fail on every machine from machines that fail every job. A job submitted with a mistake fails
 * until its user cancels it: it must neither quarantine machines nor keep taking their room, so that it is retried with
 * exponential backoff. A faulty machine fails jobs that run on other machines.
 */
import { addToCount } from '../collections.js';
import type { ExitReason } from '../model/heartbeats.js';
import type { JobId, MachineName } from '../model/ids.js';
import { monotonicMs, type MonotonicMs } from '../model/time.js';

/** How long a task has to run to count as running well, even if it fails later. */
export const LONG_RUN_MS = 20_000;

/** Failures on this many machines are the job's fault, unless one of its tasks has run well. */
const MACHINES_TO_BLAME_JOB = 2;
/** The same for a job with a task that has run long, but none that is done: one of the machines may be faulty. */
const MACHINES_TO_BLAME_RUNNING_JOB = 3;
/** Backoff after the first failed round; it doubles with each further one. */
const FIRST_BACKOFF_MS = 5000;
/** The longest backoff. */
const MAX_BACKOFF_MS = 60_000;
/** Part by which a backoff is shortened or lengthened at random, so that jobs are not all retried at the same time. */
const BACKOFF_JITTER = 0.25;
/** Failures of one job on a machine that are the machine's fault, if the job runs well elsewhere. */
const FAILURES_TO_BLAME_MACHINE = 2;
/** Jobs failing on a machine that are the machine's fault, while it is unknown how they run elsewhere. */
const JOBS_TO_BLAME_MACHINE = 2;

/** Exit reasons that count as a failure of the job or of its machine. */
export type FailureCause = Extract<ExitReason, 'error' | 'unknown'>;

/** Failures of a job that fails on every machine. */
export interface JobFailures {
  /** Rounds in which the job was tried and failed; 0: it is not taken to fail on every machine. */
  readonly rounds: number;
  /** Machines on which it failed, the latest last. */
  readonly machines: ReadonlySet<MachineName>;
  /** Cause of the latest failure, under the name that it has in stored records. */
  readonly why: FailureCause;
  /** End of the backoff: the job is not tried before. */
  readonly until: MonotonicMs;
}

/** A failed task. */
export interface TaskFailure {
  readonly job: JobId;
  readonly machine: MachineName;
  readonly why: FailureCause;
  readonly now: MonotonicMs;
  /** Rounds that an earlier owner of the job's team has recorded. */
  readonly knownRounds?: number | undefined;
}

interface JobHistory {
  rounds: number;
  readonly machines: Set<MachineName>;
  why: FailureCause;
  until: MonotonicMs;
  /** A task of it was done. */
  hasFinishedTask: boolean;
  /** A task of it has run for `LONG_RUN_MS`. */
  hasRunLong: boolean;
}

/** Failures of each job on a machine since the machine last finished a task. */
type FailuresByJob = Map<JobId, number>;

/** Remembers failures of jobs and machines; losing them costs time, never correctness. */
export class FailureTracker {
  private readonly jobs = new Map<JobId, JobHistory>();
  private readonly machines = new Map<MachineName, FailuresByJob>();

  constructor(
    /** Uniform in [0, 1). */
    private readonly random: () => number,
  ) {}

  /** Records that a task has failed. A failure after the job's backoff begins the next round. */
  recordFailure({ job, machine, why, now, knownRounds = 0 }: TaskFailure): void {
    const history = this.historyOf(job);
    history.machines.delete(machine);
    history.machines.add(machine);
    history.why = why;
    history.rounds = Math.max(history.rounds, knownRounds);
    if (why === 'error') this.countFailure(machine, job);
    // Tasks that fail during the backoff belong to the last round.
    if (!failsEverywhere(history) || now < history.until) return;
    history.rounds++;
    history.until = monotonicMs(now + this.backoffMs(history.rounds));
  }

  /** Takes over failures that another controller has observed, unless more rounds are known here. */
  mergeFailures(job: JobId, observed: JobFailures): void {
    const history = this.historyOf(job);
    if (history.rounds >= observed.rounds) return;
    history.rounds = observed.rounds;
    history.why = observed.why;
    history.until = observed.until;
    for (const machine of observed.machines) history.machines.add(machine);
  }

  /** Records that a task is done, which clears both its job and its machine. */
  recordSuccess(job: JobId, machine: MachineName): void {
    const history = this.historyOf(job);
    history.machines.clear();
    history.rounds = 0;
    history.until = monotonicMs(0);
    history.hasFinishedTask = true;
    this.machines.delete(machine);
  }

  /** Records that a task of the job has been running for `LONG_RUN_MS`. */
  recordLongRun(job: JobId): void {
    this.historyOf(job).hasRunLong = true;
  }

  /** The failures of a job that fails on every machine; null for any other. */
  failuresOf(job: JobId): JobFailures | null {
    const history = this.jobs.get(job);
    return history === undefined || history.rounds === 0 ? null : history;
  }

  /** All jobs that fail on every machine. */
  *failingJobs(): Iterable<[JobId, JobFailures]> {
    for (const entry of this.jobs) if (entry[1].rounds > 0) yield entry;
  }

  /** Whether the machine fails what it starts; jobs that fail on every machine do not count. */
  isFaulty(machine: MachineName): boolean {
    let unresolvedJobs = 0;
    for (const [job, failures] of this.machines.get(machine) ?? []) {
      const history = this.jobs.get(job);
      if (history === undefined || history.rounds > 0) continue;
      const runsElsewhere = history.hasFinishedTask || history.hasRunLong;
      if (runsElsewhere && failures >= FAILURES_TO_BLAME_MACHINE) return true;
      unresolvedJobs++;
    }
    return unresolvedJobs >= JOBS_TO_BLAME_MACHINE;
  }

  /** Forgets a job that is over. */
  forgetJob(job: JobId): void {
    this.jobs.delete(job);
    for (const failures of this.machines.values()) failures.delete(job);
  }

  /** Forgets a machine that is gone, or that has finished a task. */
  forgetMachine(machine: MachineName): void {
    this.machines.delete(machine);
  }

  private historyOf(job: JobId): JobHistory {
    let history = this.jobs.get(job);
    if (history === undefined) {
      history = newJobHistory();
      this.jobs.set(job, history);
    }
    return history;
  }

  private countFailure(machine: MachineName, job: JobId): void {
    const failures = this.machines.get(machine) ?? new Map<JobId, number>();
    addToCount(failures, job, 1);
    this.machines.set(machine, failures);
  }

  private backoffMs(rounds: number): number {
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (rounds - 1));
    return backoffMs * (1 - BACKOFF_JITTER + 2 * BACKOFF_JITTER * this.random());
  }
}

const newJobHistory = (): JobHistory => ({
  rounds: 0,
  machines: new Set(),
  why: 'error',
  until: monotonicMs(0),
  hasFinishedTask: false,
  hasRunLong: false,
});

function failsEverywhere({ rounds, machines, hasFinishedTask, hasRunLong }: JobHistory): boolean {
  if (rounds > 0) return true;
  if (hasFinishedTask) return false;
  return machines.size >= (hasRunLong ? MACHINES_TO_BLAME_RUNNING_JOB : MACHINES_TO_BLAME_JOB);
}
