/**
 * How much room to keep ahead of need. Machines take long to boot, so room for what is likely to come must be
 * there before it comes. Per class of jobs: arrivals are counted over a window, and the tasks under way at once
 * are taken for a compound Poisson sum, whose mean and spread follow from Little's law.
 */
import type { Headroom } from './scaling-types.js';
import type { JobId } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { MachineType } from '../model/machines.js';

interface Arrival {
  readonly atS: number;
  readonly spec: JobSpec;
}

/** Over which time arrivals are counted, and how much room is kept. */
export interface DemandForecastOptions {
  readonly windowS: number;
  /** How many standard deviations above the mean are kept. */
  readonly spread: number;
  /** Beside the run time: fetching, reporting, being noticed. */
  readonly overheadS: number;
}

/** Counts arrivals by class and says how much room to keep for those to come. */
export class DemandForecast {
  private readonly classes = new Map<string, Arrival[]>();
  private readonly seen = new Set<JobId>();
  private startS: number | null = null;

  constructor(private readonly options: DemandForecastOptions) {}

  recordArrival(spec: JobSpec, atS: number): void {
    if (this.seen.has(spec.id)) return;
    this.seen.add(spec.id);
    this.startS = Math.min(this.startS ?? atS, atS);
    const list = this.classes.get(spec.class);
    if (list === undefined) this.classes.set(spec.class, [{ atS, spec }]);
    else list.push({ atS, spec });
  }

  /** Room to keep beside the tasks that are waiting or placed now (`underWay`, by class). */
  headroom(
    nowS: number,
    underWay: ReadonlyMap<string, number>,
    type: (spec: JobSpec) => MachineType | undefined,
  ): Headroom[] {
    const { windowS, spread, overheadS } = this.options;
    const out: Headroom[] = [];
    for (const [name, all] of this.classes) {
      const list = all.filter((a) => a.atS > nowS - windowS);
      for (const a of all) if (a.atS <= nowS - windowS) this.seen.delete(a.spec.id);
      this.classes.set(name, list);
      const last = list.at(-1);
      if (last === undefined) continue;
      const t = type(last.spec);
      if (t === undefined) continue;
      // Jobs that come within one second count as one arrival: a backlog handed in at once is no rate.
      const instants = new Set(list.map((a) => Math.floor(a.atS))).size;
      const rate = instants / Math.max(60, Math.min(windowS, nowS - (this.startS ?? nowS)));
      const n = list.reduce((s, a) => s + a.spec.tasks, 0) / list.length;
      const n2 = list.reduce((s, a) => s + a.spec.tasks ** 2, 0) / list.length;
      const growing = last.spec.kind === 'service';
      const holdS = growing
        ? t.bootS + overheadS
        : overheadS +
          list.reduce((s, a) => s + a.spec.estimateS + a.spec.imageGb / t.fetchGbPerS, 0) / list.length;
      const target = rate * holdS * n + spread * Math.sqrt(rate * holdS * n2);
      const tasks = Math.round(target - (growing ? 0 : (underWay.get(name) ?? 0)));
      if (tasks > 0) out.push({ spec: last.spec, tasks });
    }
    return out;
  }
}
