/**
 * Forecasts how many tasks of each job class will run at once, so that capacity is there before it is needed: machines
 * take long to boot. Arrivals are counted over a window; the number of running tasks is taken as a compound Poisson sum,
 * whose mean and standard deviation follow from Little's law.
 */
import type { JobId } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { MachineType } from '../model/machines.js';
import type { Headroom } from './scaling-types.js';

/** The shortest time that arrivals are averaged over, so that the first ones do not count as a high rate. */
const MIN_WINDOW_S = 60;

interface Arrival {
  readonly atS: number;
  readonly spec: JobSpec;
}

/** Over which time arrivals are counted, and how much headroom is kept. */
export interface DemandForecastOptions {
  /** How long an arrival counts. */
  readonly windowS: number;
  /** How many standard deviations above the mean are kept. */
  readonly spread: number;
  /** How long a task holds its resources beside its run and fetch time. */
  readonly overheadS: number;
}

/** What the headroom is reckoned for. */
export interface HeadroomQuery {
  /** The present time. */
  readonly nowS: number;
  /** Tasks that are pending or running now, by job class. */
  readonly unfinishedTasks: ReadonlyMap<string, number>;
  /** The machine type that a job would run on; undefined where there is none. */
  readonly machineTypeFor: (spec: JobSpec) => MachineType | undefined;
}

/** Counts arrivals by job class and tells the headroom to keep for those to come. */
export class DemandForecast {
  private readonly arrivalsByClass = new Map<string, Arrival[]>();
  private readonly recordedJobs = new Set<JobId>();
  private startS: number | null = null;

  constructor(private readonly options: DemandForecastOptions) {}

  /** Counts the job's arrival, the first time that it is recorded. */
  recordArrival(spec: JobSpec, atS: number): void {
    if (this.recordedJobs.has(spec.id)) return;
    this.recordedJobs.add(spec.id);
    this.startS = Math.min(this.startS ?? atS, atS);
    const arrivals = this.arrivalsByClass.get(spec.class);
    if (arrivals === undefined) this.arrivalsByClass.set(spec.class, [{ atS, spec }]);
    else arrivals.push({ atS, spec });
  }

  /** Headroom by job class, beside the tasks that are pending or running now. Drops arrivals older than the window. */
  headroom(query: HeadroomQuery): Headroom[] {
    const headroom: Headroom[] = [];
    for (const [jobClass, all] of this.arrivalsByClass) {
      const arrivals = this.arrivalsInWindow(all, query.nowS);
      this.arrivalsByClass.set(jobClass, arrivals);
      const latest = arrivals.at(-1);
      if (latest === undefined) continue;
      const type = query.machineTypeFor(latest.spec);
      if (type === undefined) continue;
      const expected = this.expectedTasks(arrivals, latest.spec, type, query.nowS);
      // Services stay: those that run leave no capacity for those to come.
      const unfinished = isService(latest.spec) ? 0 : (query.unfinishedTasks.get(jobClass) ?? 0);
      const tasks = Math.round(expected - unfinished);
      if (tasks > 0) headroom.push({ spec: latest.spec, tasks });
    }
    return headroom;
  }

  private arrivalsInWindow(arrivals: readonly Arrival[], nowS: number): Arrival[] {
    const startS = nowS - this.options.windowS;
    for (const { atS, spec } of arrivals) if (atS <= startS) this.recordedJobs.delete(spec.id);
    return arrivals.filter(({ atS }) => atS > startS);
  }

  /** The mean number of tasks at once, and so many standard deviations above it as the options say. */
  private expectedTasks(
    arrivals: readonly Arrival[],
    latest: JobSpec,
    type: MachineType,
    nowS: number,
  ): number {
    const rate = this.arrivalRate(arrivals, nowS);
    const meanTasks = average(arrivals, ({ spec }) => spec.tasks);
    const meanSquare = average(arrivals, ({ spec }) => spec.tasks ** 2);
    const holdS = this.holdTimeS(arrivals, latest, type);
    return rate * holdS * meanTasks + this.options.spread * Math.sqrt(rate * holdS * meanSquare);
  }

  /** Arrivals per second. Those within the same second count as one: a batch of submissions is no rate. */
  private arrivalRate(arrivals: readonly Arrival[], nowS: number): number {
    const observedS = Math.min(this.options.windowS, nowS - (this.startS ?? nowS));
    const instants = new Set(arrivals.map(({ atS }) => Math.floor(atS))).size;
    return instants / Math.max(MIN_WINDOW_S, observedS);
  }

  /** How long one arrival needs headroom: a service until a machine for the next has booted, other jobs until they end. */
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

function isService(spec: JobSpec): boolean {
  return spec.kind === 'service';
}

function average(arrivals: readonly Arrival[], valueOf: (arrival: Arrival) => number): number {
  return arrivals.reduce((sum, arrival) => sum + valueOf(arrival), 0) / arrivals.length;
}
