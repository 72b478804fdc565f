/**
 * Detects machines that run their tasks much slower than others. Estimates of run times are biased, so that a run is
 * compared with the other runs of its job; where those are too few, its ratio to the estimate is compared with the median
 * ratio of its class.
 */
import { evictOldest } from '../bounded-map.js';
import type { JobId, MachineName } from '../model/ids.js';

/** Runs that are remembered of each job and each class. */
const MAX_RUNS_KEPT = 60;
/** Jobs whose runs are remembered. */
const MAX_JOBS_KEPT = 500;

/** When a machine counts as slow. */
export interface SlowMachineOptions {
  /** A run is slow if it takes this many times the median. */
  readonly factor: number;
  /** A machine is slow if its latest runs, as many as this, are all slow. */
  readonly runs: number;
  /** Runs of a job or a class that must be known before others are compared with them. */
  readonly samples: number;
}

/** A finished run of a task. */
export interface TaskRun {
  readonly job: JobId;
  readonly jobClass: string;
  readonly durationS: number;
  readonly estimateS: number;
}

/** Compares run times of machines with those of others. */
export class SlowMachineDetector {
  /** Ratios of run time to estimate, by class. */
  private readonly ratiosByClass = new Map<string, readonly number[]>();
  /** Run times in seconds, by job. */
  private readonly durationsByJob = new Map<JobId, readonly number[]>();
  /** Latest runs, by machine. */
  private readonly runsByMachine = new Map<MachineName, readonly TaskRun[]>();

  constructor(private readonly options: SlowMachineOptions) {}

  /** Records a finished run; runs without an estimate are ignored. */
  recordRun(machine: MachineName, run: TaskRun): void {
    const { job, jobClass, durationS, estimateS } = run;
    if (estimateS <= 0) return;
    const ratios = this.ratiosByClass.get(jobClass) ?? [];
    this.ratiosByClass.set(jobClass, [...ratios, durationS / estimateS].slice(-MAX_RUNS_KEPT));
    const durations = this.durationsByJob.get(job) ?? [];
    this.durationsByJob.delete(job);
    this.durationsByJob.set(job, [...durations, durationS].slice(-MAX_RUNS_KEPT));
    evictOldest(this.durationsByJob, MAX_JOBS_KEPT);
    const runs = this.runsByMachine.get(machine) ?? [];
    this.runsByMachine.set(machine, [...runs, run].slice(-this.options.runs));
  }

  /** Whether all of the machine's latest runs were slow. */
  isSlow(machine: MachineName): boolean {
    const runs = this.runsByMachine.get(machine);
    if (runs === undefined || runs.length < this.options.runs) return false;
    const jobsComparedWithClass = new Set<JobId>();
    return runs.every((run) => {
      const durations = this.durationsByJob.get(run.job) ?? [];
      if (durations.length >= this.options.samples) return this.isSlowIn(run.durationS, durations);
      // An estimate is wrong for all tasks of its job alike, so that one job counts only once against its class.
      if (jobsComparedWithClass.has(run.job)) return false;
      jobsComparedWithClass.add(run.job);
      const ratios = this.ratiosByClass.get(run.jobClass) ?? [];
      if (ratios.length < this.options.samples) return false;
      return this.isSlowIn(run.durationS / run.estimateS, ratios);
    });
  }

  /** Forgets a machine that is gone. */
  forgetMachine(machine: MachineName): void {
    this.runsByMachine.delete(machine);
  }

  private isSlowIn(value: number, samples: readonly number[]): boolean {
    return value >= median(samples) * this.options.factor;
  }
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[sorted.length >> 1] ?? Number.NaN;
}
