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

/** Shortest run time that shows a failing job to run well, however fast its tasks have failed. */
const MIN_RECOVERY_RUN_MS = 5000;
/** A task that has run for this multiple of the longest failed run shows that its job runs well. */
const RECOVERY_RUN_FACTOR = 2;
/** Failures that are further apart have different causes: together they do not show that the job is at fault. */
const MAX_FAILURE_GAP_MS = 600_000;

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
/** Longest backoff of a job: users expect a job to start within 90 s while there is capacity for it. */
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

/** A running task. */
export interface TaskRunning {
  readonly job: JobId;
  /** How long the task has been running, in milliseconds. */
  readonly runMs: number;
  readonly now: MonotonicMs;
  /** Whether the job's record says that the job fails on every machine. */
  readonly isRecordedAsFailing: boolean;
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
  lastFailureAt: MonotonicMs | null;
  /** Run time of the failed task that ran longest, in milliseconds; null if none has failed here. */
  longestFailedRunMs: number | null;
  /** Whether a running task has shown, since the latest failure, that the job runs well. */
  hasRecovered: boolean;
  /** Number of failed rounds before the job recovered; the next failed round continues from there. */
  roundsBeforeRecovery: number;
  /** Number of failed rounds in the job's record, as last seen; 0 without failures in the record. */
  recordedRounds: number;
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
    forgetDistantFailures(history, now);
    history.lastFailureAt = now;
    history.longestFailedRunMs ??= 0;
    history.hasRecovered = false;
    history.machines.delete(machine);
    history.machines.add(machine);
    history.why = why;
    history.rounds = Math.max(history.rounds, knownRounds);
    if (why === 'error') this.countFailure(machine, job);
    // A failure during the backoff belongs to the round that began the backoff.
    if (!failsEverywhere(history) || now < history.until) return;
    history.rounds = Math.max(history.rounds, history.roundsBeforeRecovery) + 1;
    history.until = monotonicMs(now + this.backoffMs(history.rounds));
  }

  /** Records how long a task of the job ran before it failed, in milliseconds. */
  recordFailedRun(job: JobId, runMs: number): void {
    const history = this.historyOf(job);
    history.longestFailedRunMs = Math.max(history.longestFailedRunMs ?? 0, runMs);
  }

  /**
   * Records that a task of the job is running. Once the job's backoff has ended, a task that runs clearly longer than
   * those that failed shows that the job does not fail on every machine: its failures are cleared, so that all its tasks
   * may start. A service has no other evidence, since its tasks are never done.
   */
  recordRunning({ job, runMs, now, isRecordedAsFailing }: TaskRunning): void {
    const known = this.jobs.get(job);
    const hasFailed = isRecordedAsFailing || (known !== undefined && known.machines.size > 0);
    if (runMs < LONG_RUN_MS && !hasFailed) return;
    const history = known ?? this.historyOf(job);
    history.hasRunLong ||= runMs >= LONG_RUN_MS;
    if (!hasFailed || now < history.until || runMs < recoveryRunMs(history)) return;
    clearFailures(history);
    history.hasRecovered = true;
  }

  /** Whether a running task has shown, since the latest failure, that the job does not fail on every machine. */
  hasRecovered(job: JobId): boolean {
    return this.jobs.get(job)?.hasRecovered === true;
  }

  /**
   * Takes note of the number of failed rounds in the job's record, 0 for a record without failures. Failures that were
   * removed from the record, by whichever controller saw that the job runs well, are cleared here as well.
   */
  observeRecordedRounds(job: JobId, rounds: number): void {
    const history = this.jobs.get(job);
    if (history === undefined) return;
    if (rounds === 0 && history.recordedRounds > 0) clearFailures(history);
    // Tasks have failed elsewhere since the job was seen to run well.
    if (rounds > history.recordedRounds) history.hasRecovered = false;
    history.recordedRounds = rounds;
  }

  /** Merges failures that another controller has observed, unless as many rounds are known here already. */
  mergeFailures(job: JobId, observed: JobFailures): void {
    const history = this.historyOf(job);
    if (history.rounds >= observed.rounds) return;
    history.hasRecovered = false;
    history.rounds = observed.rounds;
    history.why = observed.why;
    history.until = observed.until;
    for (const machine of observed.machines) history.machines.add(machine);
  }

  /** Records that a task is done, which clears the failures of its job and of its machine. */
  recordSuccess(job: JobId, machine: MachineName): void {
    const history = this.historyOf(job);
    clearFailures(history);
    history.roundsBeforeRecovery = 0;
    history.hasFinishedTask = true;
    this.machines.delete(machine);
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
    return Math.min(MAX_BACKOFF_MS, backoffMs * (1 - BACKOFF_JITTER + 2 * BACKOFF_JITTER * this.random()));
  }
}

const newJobHistory = (): JobHistory => ({
  rounds: 0,
  machines: new Set(),
  why: 'error',
  until: monotonicMs(0),
  hasFinishedTask: false,
  hasRunLong: false,
  lastFailureAt: null,
  longestFailedRunMs: null,
  hasRecovered: false,
  roundsBeforeRecovery: 0,
  recordedRounds: 0,
});

/** Clears the failures; the next failed round has a longer backoff than those before all the same. */
function clearFailures(history: JobHistory): void {
  history.roundsBeforeRecovery = Math.max(history.roundsBeforeRecovery, history.rounds);
  history.rounds = 0;
  history.machines.clear();
  history.until = monotonicMs(0);
}

/** Drops failures that are too long ago to have the same cause as one at `now`. */
function forgetDistantFailures(history: JobHistory, now: MonotonicMs): void {
  const { lastFailureAt, rounds } = history;
  if (lastFailureAt === null || now - lastFailureAt <= MAX_FAILURE_GAP_MS) return;
  history.roundsBeforeRecovery = 0;
  history.longestFailedRunMs = null;
  if (rounds === 0) history.machines.clear();
}

/** How long a task must run to show that the job runs well; `LONG_RUN_MS` while it is unknown how fast tasks fail. */
function recoveryRunMs({ longestFailedRunMs }: JobHistory): number {
  if (longestFailedRunMs === null) return LONG_RUN_MS;
  return Math.min(LONG_RUN_MS, Math.max(MIN_RECOVERY_RUN_MS, longestFailedRunMs * RECOVERY_RUN_FACTOR));
}

function failsEverywhere({ rounds, machines, hasFinishedTask, hasRunLong }: JobHistory): boolean {
  if (rounds > 0) return true;
  if (hasFinishedTask) return false;
  return machines.size >= (hasRunLong ? JOB_FAULT_MIN_MACHINES_AFTER_LONG_RUN : JOB_FAULT_MIN_MACHINES);
}
