/**
 * Forecasts how many tasks of each job class will run at once, so that machines, which take long to boot, are rented
 * before they are needed. Arrivals are counted over a sliding window; the number of running tasks is modelled as a
 * compound Poisson sum, whose mean and standard deviation follow from Little's law.
 */
import type { JobId } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { MachineType } from '../model/machines.js';
import type { Headroom } from './scaling-types.js';

/** The shortest period that arrivals are averaged over, so that the first ones do not count as a high rate. */
const MIN_WINDOW_S = 60;

interface Arrival {
  readonly atS: number;
  readonly spec: JobSpec;
}

/** The forecast's window and safety margins. */
export interface DemandForecastOptions {
  /** How long an arrival is counted, in seconds. */
  readonly windowS: number;
  /** How many standard deviations of the number of running tasks are added to its mean. */
  readonly stdDevs: number;
  /** Seconds that a task holds its resources in addition to its run time and the time to fetch its image. */
  readonly overheadS: number;
}

/** The present state that headroom is computed for. */
export interface HeadroomQuery {
  /** The present time, in seconds on the clock of the recorded arrivals. */
  readonly nowS: number;
  /** Tasks that are pending or running now, by job class. */
  readonly unfinishedTasks: ReadonlyMap<string, number>;
  /** The machine type that a job would run on; undefined where there is none, and then its class gets no headroom. */
  readonly machineTypeFor: (spec: JobSpec) => MachineType | undefined;
}

/**
 * Counts arrivals by job class and computes the headroom to keep for future ones. A class that arrived at one instant only
 * gets none, and a job that is larger than all that arrived at other instants counts with the size of the largest of
 * those.
 */
export class DemandForecast {
  private readonly arrivalsByClass = new Map<string, Arrival[]>();
  private readonly recordedJobs = new Set<JobId>();
  private startS: number | null = null;

  constructor(private readonly options: DemandForecastOptions) {}

  /** Counts the job's arrival at `atS`, in seconds; ignores a job whose arrival is already counted. */
  recordArrival(spec: JobSpec, atS: number): void {
    if (this.recordedJobs.has(spec.id)) return;
    this.recordedJobs.add(spec.id);
    this.startS = Math.min(this.startS ?? atS, atS);
    const arrivals = this.arrivalsByClass.get(spec.class);
    if (arrivals === undefined) this.arrivalsByClass.set(spec.class, [{ atS, spec }]);
    else arrivals.push({ atS, spec });
  }

  /**
   * The headroom to keep for each job class in addition to its pending and running tasks, with the spec of its latest
   * arrival. Drops arrivals older than the window.
   */
  headroom(query: HeadroomQuery): Headroom[] {
    const headroom: Headroom[] = [];
    for (const [jobClass, recorded] of this.arrivalsByClass) {
      const arrivals = this.arrivalsInWindow(recorded, query.nowS);
      this.arrivalsByClass.set(jobClass, arrivals);
      const latest = arrivals.at(-1);
      if (latest === undefined) continue;
      const type = query.machineTypeFor(latest.spec);
      if (type === undefined) continue;
      const target = this.targetTasks(arrivals, latest.spec, type, query.nowS);
      // Services do not end, so running ones free no capacity for later arrivals.
      const unfinished = isService(latest.spec) ? 0 : (query.unfinishedTasks.get(jobClass) ?? 0);
      const tasks = Math.round(target - unfinished);
      if (tasks > 0) headroom.push({ spec: latest.spec, tasks, limitedByQuota: true });
    }
    return headroom;
  }

  private arrivalsInWindow(arrivals: readonly Arrival[], nowS: number): Arrival[] {
    const startS = nowS - this.options.windowS;
    for (const { atS, spec } of arrivals) if (atS <= startS) this.recordedJobs.delete(spec.id);
    return arrivals.filter(({ atS }) => atS > startS);
  }

  /** The mean number of tasks running at once, plus the configured number of standard deviations. */
  private targetTasks(
    arrivals: readonly Arrival[],
    latest: JobSpec,
    type: MachineType,
    nowS: number,
  ): number {
    const largestTasks = largestTasksByInstant(arrivals);
    // What has arrived only once shows no rate.
    if (largestTasks.length < 2) return 0;
    const expectedTasks = ({ spec }: Arrival): number => Math.min(spec.tasks, largestTasks[1]!);
    const observedS = Math.min(this.options.windowS, nowS - (this.startS ?? nowS));
    const rate = largestTasks.length / Math.max(MIN_WINDOW_S, observedS);
    const meanTasks = average(arrivals, expectedTasks);
    const meanSquare = average(arrivals, (arrival) => expectedTasks(arrival) ** 2);
    const holdS = this.holdTimeS(arrivals, latest, type);
    return rate * holdS * meanTasks + this.options.stdDevs * Math.sqrt(rate * holdS * meanSquare);
  }

  /**
   * How many seconds one arrival needs capacity: a service until a machine for the next one has booted, other jobs
   * until they end.
   */
  private holdTimeS(arrivals: readonly Arrival[], latest: JobSpec, type: MachineType): number {
    const { overheadS } = this.options;
    if (isService(latest)) return type.bootS + overheadS;
    const totalS = arrivals.reduce(
      (sum, { spec }) => sum + spec.estimateS + spec.imageGb / type.fetchGbPerS,
      0,
    );
    return overheadS + totalS / arrivals.length;
  }
}

/**
 * The number of tasks of the largest job of each instant, in descending order. Arrivals within one second are one
 * instant: a batch of submissions does not indicate a rate. A job larger than the largest one of any other instant has
 * been seen once, so that nothing shows that more of its size are to come.
 */
function largestTasksByInstant(arrivals: readonly Arrival[]): number[] {
  const largest = new Map<number, number>();
  for (const { atS, spec } of arrivals) {
    const instant = Math.floor(atS);
    largest.set(instant, Math.max(largest.get(instant) ?? 0, spec.tasks));
  }
  return [...largest.values()].sort((a, b) => b - a);
}

function isService(spec: JobSpec): boolean {
  return spec.kind === 'service';
}

function average(arrivals: readonly Arrival[], valueOf: (arrival: Arrival) => number): number {
  return arrivals.reduce((sum, arrival) => sum + valueOf(arrival), 0) / arrivals.length;
}
