/**
 * Distinguishes jobs that fail on every machine from machines that fail every job. A job submitted with a mistake fails
 * until its user cancels it. It must neither get machines quarantined nor occupy them again and again, so it is retried
 * with exponential backoff. A faulty machine fails jobs that run well on other machines.
 */
import { addToCount } from '../collections.js';
import type { ExitReason } from '../model/heartbeats.js';
import type { JobId, MachineName } from '../model/ids.js';
import { monotonicMs, type MonotonicMs } from '../model/time.js';

/** Run time from which a task counts as running well, even if it fails later. */
export const LONG_RUN_MS = 20_000;

/**
 * Machines on which a job must fail to be at fault itself, if none of its tasks is done or has run for `LONG_RUN_MS`.
 */
const JOB_FAULT_MIN_MACHINES = 2;
/**
 * Machines on which a job must fail to be at fault itself, if one of its tasks has run for `LONG_RUN_MS` but none is
 * done: one of the machines may be faulty.
 */
const JOB_FAULT_MIN_MACHINES_AFTER_LONG_RUN = 3;
/** Backoff after a job's first failed round; it doubles with each further round. */
const FIRST_BACKOFF_MS = 5000;
/** Longest backoff of a job, before jitter. */
const MAX_BACKOFF_MS = 60_000;
/** Largest random change of a backoff, as a fraction of it: jobs should not all be retried at the same time. */
const BACKOFF_JITTER = 0.25;
/** Failures of one job on a machine that show the machine to be faulty, if the job runs well elsewhere. */
const MACHINE_FAULT_MIN_FAILURES = 2;
/** Jobs failing on a machine that show the machine to be faulty, while it is unknown how they run elsewhere. */
const MACHINE_FAULT_MIN_JOBS = 2;

/** Exit reasons that count as a failure of the job or of its machine. */
export type FailureCause = Extract<ExitReason, 'error' | 'unknown'>;

/** Failures of a job that fails on every machine. */
export interface JobFailures {
  /** Number of rounds in which the job was tried and failed; 0 if it does not count as failing on every machine. */
  readonly rounds: number;
  /** Machines on which the job has failed, the latest last. */
  readonly machines: ReadonlySet<MachineName>;
  /** Cause of the latest failure; the field is named as in stored records. */
  readonly why: FailureCause;
  /** End of the backoff, before which the job is not tried again. */
  readonly until: MonotonicMs;
}

/** A failed task. */
export interface TaskFailure {
  readonly job: JobId;
  readonly machine: MachineName;
  readonly why: FailureCause;
  readonly now: MonotonicMs;
  /** Number of failed rounds in the job's record, written by any owner of the job's team. */
  readonly knownRounds?: number | undefined;
}

interface JobHistory {
  rounds: number;
  readonly machines: Set<MachineName>;
  why: FailureCause;
  until: MonotonicMs;
  /** Whether a task of the job has been done. */
  hasFinishedTask: boolean;
  /** Whether a task of the job has run for `LONG_RUN_MS`. */
  hasRunLong: boolean;
}

/** Number of failures (exit reason `error`) of each job on a machine since the machine last finished a task. */
type FailuresByJob = Map<JobId, number>;

/** Keeps failures of jobs and machines in memory. Losing them delays decisions, but causes no wrong ones. */
export class FailureTracker {
  private readonly jobs = new Map<JobId, JobHistory>();
  private readonly machines = new Map<MachineName, FailuresByJob>();

  constructor(
    /** Returns random numbers, uniform in [0, 1). */
    private readonly random: () => number,
  ) {}

  /** Records that a task has failed. A failure after the end of the job's backoff counts as the next failed round. */
  recordFailure({ job, machine, why, now, knownRounds = 0 }: TaskFailure): void {
    const history = this.historyOf(job);
    history.machines.delete(machine);
    history.machines.add(machine);
    history.why = why;
    history.rounds = Math.max(history.rounds, knownRounds);
    if (why === 'error') this.countFailure(machine, job);
    // A failure during the backoff belongs to the round that began the backoff.
    if (!failsEverywhere(history) || now < history.until) return;
    history.rounds++;
    history.until = monotonicMs(now + this.backoffMs(history.rounds));
  }

  /** Merges failures that another controller has observed, unless as many rounds are known here already. */
  mergeFailures(job: JobId, observed: JobFailures): void {
    const history = this.historyOf(job);
    if (history.rounds >= observed.rounds) return;
    history.rounds = observed.rounds;
    history.why = observed.why;
    history.until = observed.until;
    for (const machine of observed.machines) history.machines.add(machine);
  }

  /** Records that a task is done, which clears the failures of its job and of its machine. */
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

  /** Whether the machine is faulty, judged by its failures of jobs that do not fail on every machine. */
  isFaulty(machine: MachineName): boolean {
    let unattributedJobs = 0;
    for (const [job, failures] of this.machines.get(machine) ?? []) {
      const history = this.jobs.get(job);
      if (history === undefined || history.rounds > 0) continue;
      const runsElsewhere = history.hasFinishedTask || history.hasRunLong;
      if (runsElsewhere && failures >= MACHINE_FAULT_MIN_FAILURES) return true;
      unattributedJobs++;
    }
    return unattributedJobs >= MACHINE_FAULT_MIN_JOBS;
  }

  /** Forgets a job that has ended. */
  forgetJob(job: JobId): void {
    this.jobs.delete(job);
    for (const failures of this.machines.values()) failures.delete(job);
  }

  /** Forgets the failures on a machine that was removed or has finished a task. */
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
  return machines.size >= (hasRunLong ? JOB_FAULT_MIN_MACHINES_AFTER_LONG_RUN : JOB_FAULT_MIN_MACHINES);
}
