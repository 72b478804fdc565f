/**
 * Tells jobs that fail wherever they run from machines that fail whatever they run. A job submitted with a mistake fails
 * on every machine until its user cancels it: it must neither cost the fleet its machines nor keep taking room, so it is
 * tried again with exponential backoff. A faulty machine shows by failing what runs elsewhere.
 */
import type { ExitReason } from '../model/heartbeats.js';
import type { JobId, MachineName } from '../model/ids.js';
import type { MonotonicMs } from '../model/time.js';

/** Reasons of an exit that count as a failure of the job or of its machine. */
export type FailureCause = Extract<ExitReason, 'error' | 'unknown'>;

/** What is known of the failures of one job. */
export interface JobFailures {
  /** How often the job was tried and failed since it is taken to fail everywhere; 0: it is not. */
  readonly rounds: number;
  /** Where it failed, the latest last. */
  readonly machines: ReadonlySet<MachineName>;
  readonly why: FailureCause;
  /** It is not tried again before. */
  readonly until: MonotonicMs;
}

/** So many machines on which a job failed say that it is the job, while no task of it was seen to run well. */
const MACHINES_TO_BLAME_JOB = 2;
/** And so many where tasks of it have run for long, but none was done: one faulty machine more may be chance. */
const MACHINES_TO_BLAME_RUNNING_JOB = 3;
/** A task that has run for so long counts as running well until it fails. */
export const RUNS_WELL_MS = 20_000;
/** Waits between two tries of a job that fails everywhere: the first, and the longest. */
const FIRST_BACKOFF_MS = 5000;
const MOST_BACKOFF_MS = 60_000;
/** Each wait is shortened or lengthened by up to this part, so that many such jobs are not tried all at once. */
const JITTER = 0.25;
/** So many failures of one job on one machine, when the job runs well elsewhere, condemn the machine. */
const FAILURES_TO_BLAME_MACHINE = 2;
/** And so many jobs of which it is not known yet how they do elsewhere. */
const JOBS_TO_BLAME_MACHINE = 2;

interface JobState {
  rounds: number;
  readonly machines: Set<MachineName>;
  why: FailureCause;
  until: MonotonicMs;
  /** A task of it was done, or has run for long. */
  done: boolean;
  ranLong: boolean;
}

/** Failures by machine, of each job since the machine last did something well. */
type MachineState = Map<JobId, number>;

/** Remembers failures of jobs and of machines; losing them costs time, never a rule. */
export class FailureTracker {
  private readonly jobs = new Map<JobId, JobState>();
  private readonly machines = new Map<MachineName, MachineState>();

  constructor(
    /** Uniform in [0, 1). */
    private readonly random: () => number,
  ) {}

  /** A task failed. `knownRounds`: what an earlier owner of the job has recorded. */
  recordFailure(
    job: JobId,
    machine: MachineName,
    why: FailureCause,
    now: MonotonicMs,
    knownRounds = 0,
  ): void {
    const state = this.stateOf(job);
    state.machines.delete(machine);
    state.machines.add(machine);
    state.why = why;
    state.rounds = Math.max(state.rounds, knownRounds);
    if (why === 'error') this.countFailure(machine, job);
    // The tasks of one round fail one after the other; only what was tried after the wait is a new round.
    if (!this.isFailingEverywhere(state) || now < state.until) return;
    state.rounds++;
    const wait = Math.min(MOST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (state.rounds - 1));
    state.until = (now + wait * (1 - JITTER + 2 * JITTER * this.random())) as MonotonicMs;
  }

  /** Takes over what another controller has learned of a job, unless more is known here. */
  mergeFailures(job: JobId, known: JobFailures): void {
    const state = this.stateOf(job);
    if (state.rounds >= known.rounds) return;
    state.rounds = known.rounds;
    state.why = known.why;
    state.until = known.until;
    for (const machine of known.machines) state.machines.add(machine);
  }

  /** A task was done: the job is sound, and so is the machine. */
  recordSuccess(job: JobId, machine: MachineName): void {
    const state = this.jobs.get(job);
    if (state !== undefined) {
      state.machines.clear();
      state.rounds = 0;
      state.until = 0 as MonotonicMs;
    }
    this.stateOf(job).done = true;
    this.machines.delete(machine);
  }

  /** A task of the job has been running for `RUNS_WELL_MS`. */
  recordLongRun(job: JobId): void {
    this.stateOf(job).ranLong = true;
  }

  /** The job's failures, where it is taken to fail everywhere. */
  failuresOf(job: JobId): JobFailures | null {
    const state = this.jobs.get(job);
    return state === undefined || state.rounds === 0 ? null : state;
  }

  /** All jobs that are taken to fail everywhere. */
  *failingJobs(): Iterable<[JobId, JobFailures]> {
    for (const entry of this.jobs) if (entry[1].rounds > 0) yield entry;
  }

  /** Whether the machine fails what it starts; failures of jobs that fail everywhere do not count. */
  isFaulty(machine: MachineName): boolean {
    let unresolved = 0;
    for (const [job, failures] of this.machines.get(machine) ?? []) {
      const state = this.jobs.get(job);
      if (state === undefined || state.rounds > 0) continue;
      if ((state.done || state.ranLong) && failures >= FAILURES_TO_BLAME_MACHINE) return true;
      unresolved++;
    }
    return unresolved >= JOBS_TO_BLAME_MACHINE;
  }

  /** The job is over. */
  forgetJob(job: JobId): void {
    this.jobs.delete(job);
    for (const failures of this.machines.values()) failures.delete(job);
  }

  /** The machine is gone. */
  forgetMachine(machine: MachineName): void {
    this.machines.delete(machine);
  }

  private stateOf(job: JobId): JobState {
    let state = this.jobs.get(job);
    if (state === undefined) {
      const none: JobState['machines'] = new Set();
      state = {
        rounds: 0,
        machines: none,
        why: 'error',
        until: 0 as MonotonicMs,
        done: false,
        ranLong: false,
      };
      this.jobs.set(job, state);
    }
    return state;
  }

  private isFailingEverywhere({ rounds, machines, done, ranLong }: JobState): boolean {
    if (rounds > 0) return true;
    if (done) return false;
    return machines.size >= (ranLong ? MACHINES_TO_BLAME_RUNNING_JOB : MACHINES_TO_BLAME_JOB);
  }

  private countFailure(machine: MachineName, job: JobId): void {
    const failures = this.machines.get(machine) ?? new Map<JobId, number>();
    failures.set(job, (failures.get(job) ?? 0) + 1);
    this.machines.set(machine, failures);
  }
}
