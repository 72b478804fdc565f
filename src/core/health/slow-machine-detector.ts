/**
 * Machines that run their tasks much slower than the others. Estimates are wrong by half and biased, so a run is
 * compared with the other runs of its job; where those are too few, with what is usual for its class: the ratio of
 * run time to estimate, against the class's median.
 */
import { evictOldest } from '../bounded-map.js';
import type { JobId, MachineName } from '../model/ids.js';

/** When a machine counts as slow. */
export interface SlowMachineOptions {
  /** Runs must take this many times the usual, every one of the machine's latest. */
  readonly factor: number;
  readonly runs: number;
  /** Nothing is said about a job or a class before so many of its runs are known. */
  readonly samples: number;
}

/** A finished run of a task. */
export interface TaskRun {
  readonly job: JobId;
  readonly jobClass: string;
  readonly durationS: number;
  readonly estimateS: number;
}

const KEPT = 60;
const JOBS_KEPT = 500;

const median = (list: readonly number[]): number => {
  const sorted = [...list].sort((a, b) => a - b);
  return sorted[sorted.length >> 1] ?? Number.NaN;
};

/** Compares run times of machines with what is usual. */
export class SlowMachineDetector {
  private readonly classes = new Map<string, number[]>();
  private readonly jobs = new Map<JobId, number[]>();
  private readonly machines = new Map<MachineName, TaskRun[]>();

  constructor(private readonly options: SlowMachineOptions) {}

  recordRun(machine: MachineName, run: TaskRun): void {
    if (run.estimateS <= 0) return;
    const all = this.classes.get(run.jobClass) ?? [];
    this.classes.set(run.jobClass, [...all, run.durationS / run.estimateS].slice(-KEPT));
    const peers = this.jobs.get(run.job) ?? [];
    this.jobs.delete(run.job);
    this.jobs.set(run.job, [...peers, run.durationS].slice(-KEPT));
    evictOldest(this.jobs, JOBS_KEPT);
    const own = this.machines.get(machine) ?? [];
    this.machines.set(machine, [...own, run].slice(-this.options.runs));
  }

  isSlow(machine: MachineName): boolean {
    const own = this.machines.get(machine);
    if (own === undefined || own.length < this.options.runs) return false;
    const { factor, samples } = this.options;
    const guessed = new Set<JobId>();
    return own.every(({ job, jobClass, durationS, estimateS }) => {
      const peers = this.jobs.get(job) ?? [];
      if (peers.length >= samples) return durationS >= median(peers) * factor;
      // An estimate is wrong for all tasks of its job alike: against the class, one job says something only once. A job
      // of many tasks that took twice its estimate had condemned every machine that ran three of them.
      if (guessed.has(job)) return false;
      guessed.add(job);
      const all = this.classes.get(jobClass) ?? [];
      return all.length >= samples && durationS / estimateS >= median(all) * factor;
    });
  }

  forgetMachine(machine: MachineName): void {
    this.machines.delete(machine);
  }
}
