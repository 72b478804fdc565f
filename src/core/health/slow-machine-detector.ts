/**
 * Detects machines that run tasks much slower than others do. Users' estimates of run times are biased, so a run is
 * compared with the other runs of its job. If too few of those are known, its ratio of run time to estimate is compared
 * with the median ratio of its job class.
 */
import { evictOldest } from '../bounded-map.js';
import type { JobId, MachineName } from '../model/ids.js';

/** Most runs that are kept of each job and of each class. */
const MAX_RUNS_KEPT = 60;
/** Most jobs whose runs are kept. */
const MAX_JOBS_KEPT = 500;

/** Criteria by which a machine counts as slow. */
export interface SlowMachineOptions {
  /** Multiple of the median from which a run counts as slow. */
  readonly factor: number;
  /** Number of latest runs that must all be slow for a machine to count as slow. */
  readonly latestRuns: number;
  /** Number of runs of a job or class that must be known before a run is compared with them. */
  readonly minSamples: number;
}

/** A finished run of a task: run time and estimate in seconds. */
export interface TaskRun {
  readonly job: JobId;
  readonly jobClass: string;
  readonly durationS: number;
  readonly estimateS: number;
}

/** Compares run times of machines with those of others. */
export class SlowMachineDetector {
  /** Ratios of run time to estimate of the latest runs, by class. */
  private readonly ratiosByClass = new Map<string, readonly number[]>();
  /** Run times of the latest runs in seconds, by job. */
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
    this.runsByMachine.set(machine, [...runs, run].slice(-this.options.latestRuns));
  }

  /** Whether all of the machine's latest runs were slow. */
  isSlow(machine: MachineName): boolean {
    const runs = this.runsByMachine.get(machine);
    if (runs === undefined || runs.length < this.options.latestRuns) return false;
    const jobsComparedWithClass = new Set<JobId>();
    return runs.every((run) => {
      const durations = this.durationsByJob.get(run.job) ?? [];
      if (durations.length >= this.options.minSamples)
        return this.isSlowComparedWith(run.durationS, durations);
      // An estimate is wrong by the same factor for all tasks of a job, so only one run per job is compared with its
      // class.
      if (jobsComparedWithClass.has(run.job)) return false;
      jobsComparedWithClass.add(run.job);
      const ratios = this.ratiosByClass.get(run.jobClass) ?? [];
      if (ratios.length < this.options.minSamples) return false;
      return this.isSlowComparedWith(run.durationS / run.estimateS, ratios);
    });
  }

  /** Forgets the runs of a machine that was removed. */
  forgetMachine(machine: MachineName): void {
    this.runsByMachine.delete(machine);
  }

  private isSlowComparedWith(value: number, samples: readonly number[]): boolean {
    return value >= median(samples) * this.options.factor;
  }
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[sorted.length >> 1] ?? Number.NaN;
}
