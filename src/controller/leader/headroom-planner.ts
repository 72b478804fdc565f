/** Plans the capacity that the leader keeps free for jobs likely to arrive and for the services of a lost machine. */
import { addToCount } from '../../core/collections.js';
import { allowsMachineType } from '../../core/jobs/feasibility.js';
import type { JobSpec } from '../../core/model/jobs.js';
import type { MachineRecord, MachineType } from '../../core/model/machines.js';
import { fitsWithin } from '../../core/model/resources.js';
import { DemandForecast } from '../../core/scaling/demand-forecast.js';
import type { Headroom } from '../../core/scaling/scaling-types.js';
import type { ControllerContext } from '../controller-context.js';

/** Records the arrivals of jobs and computes the headroom to keep. */
export class HeadroomPlanner {
  private readonly forecast: DemandForecast;

  constructor(private readonly context: ControllerContext) {
    const { forecast_window_s, spare_spread, overhead_s } = context.operator.fleet;
    this.forecast = new DemandForecast({
      windowS: forecast_window_s,
      stdDevs: spare_spread,
      overheadS: overhead_s,
    });
  }

  /** Headroom for the jobs that are likely to arrive, followed by headroom for services. */
  headroom(): Headroom[] {
    const unfinishedTasks = this.recordJobs();
    const { clock } = this.context;
    const forDemand = this.forecast.headroom({
      nowS: clock.wallClock() / 1000,
      unfinishedTasks,
      machineTypeFor: (spec) => this.machineTypeFor(spec),
    });
    return [...forDemand, ...this.serviceHeadroom()];
  }

  /** Records the startable jobs as arrived and counts their unfinished tasks by job class. */
  private recordJobs(): ReadonlyMap<string, number> {
    const unfinishedTasks = new Map<string, number>();
    // `submitted` of a startable job that depends on others is the time at which the last of them was done.
    for (const { spec, done, submitted, failing } of this.context.dependencies.current().startable) {
      // A job that fails on every machine says nothing about the capacity that its class needs.
      if (failing !== undefined) continue;
      this.forecast.recordArrival(spec, submitted / 1000);
      addToCount(unfinishedTasks, spec.class, spec.tasks - done.count);
    }
    return unfinishedTasks;
  }

  private machineTypeFor(spec: JobSpec): MachineType | undefined {
    return [...this.context.view.typesByName.values()].find(
      (type) => allowsMachineType(spec, type.name) && fitsWithin(spec.demand, type.capacity),
    );
  }

  /**
   * Headroom to restart the service tasks of a machine that is lost: for the largest number of them on one machine. It is
   * kept for as long as there are services, since they never end.
   */
  private serviceHeadroom(): Headroom[] {
    let largest: Headroom | null = null;
    for (const machine of this.context.view.machines.values()) {
      const services = this.servicesOn(machine);
      if (services !== null && services.tasks > (largest?.tasks ?? 0)) largest = services;
    }
    if (largest === null) return [];
    // `oneZone` and `spread` are dropped, since the headroom may serve any service.
    const { spec, tasks } = largest;
    return [{ spec: { ...spec, oneZone: false, spread: false, tasks }, tasks, limitedByQuota: false }];
  }

  private servicesOn({ placed }: MachineRecord): Headroom | null {
    const { jobs } = this.context.view;
    const services = placed.filter((allocation) => allocation.kind === 'service' && allocation.stop !== true);
    const tasks = services.reduce((sum, allocation) => sum + allocation.tasks.length, 0);
    const spec = services.map(({ job }) => jobs.get(job)?.spec).find((known) => known !== undefined);
    return spec === undefined ? null : { spec, tasks, limitedByQuota: false };
  }
}
