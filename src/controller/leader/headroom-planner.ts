/** The capacity that the leader keeps free: for jobs that are likely to arrive, and for services of a machine that is lost. */
import { addToCount } from '../../core/collections.js';
import { allowsMachineType } from '../../core/jobs/feasibility.js';
import type { JobSpec } from '../../core/model/jobs.js';
import type { MachineRecord, MachineType } from '../../core/model/machines.js';
import { fitsWithin } from '../../core/model/resources.js';
import { DemandForecast } from '../../core/scaling/demand-forecast.js';
import type { Headroom } from '../../core/scaling/scaling-types.js';
import type { ControllerContext } from '../controller-context.js';

/** Records arriving jobs and tells the headroom to keep. */
export class HeadroomPlanner {
  private readonly forecast: DemandForecast;

  constructor(private readonly context: ControllerContext) {
    const { forecast_window_s, spare_spread, overhead_s } = context.operator.fleet;
    this.forecast = new DemandForecast({
      windowS: forecast_window_s,
      spread: spare_spread,
      overheadS: overhead_s,
    });
  }

  /** Headroom for the jobs that are likely to arrive, and then for services. */
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
    // A job that depends on others arrives when the last of them is done.
    for (const { spec, done, submitted, failing } of this.context.dependencies.current().startable) {
      // A job that fails everywhere tells nothing about the capacity that its class needs.
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

  /** Services never end: headroom for the largest number of their tasks on one machine, should it be lost. */
  private serviceHeadroom(): Headroom[] {
    let largest: Headroom | null = null;
    for (const machine of this.context.view.machines.values()) {
      const services = this.servicesOn(machine);
      if (services !== null && services.tasks > (largest?.tasks ?? 0)) largest = services;
    }
    if (largest === null) return [];
    // Without the job's ties to zones: the headroom serves any service.
    const { spec, tasks } = largest;
    return [{ spec: { ...spec, oneZone: false, spread: false, tasks }, tasks }];
  }

  private servicesOn({ placed }: MachineRecord): Headroom | null {
    const { jobs } = this.context.view;
    const services = placed.filter((allocation) => allocation.kind === 'service' && allocation.stop !== true);
    const tasks = services.reduce((sum, allocation) => sum + allocation.tasks.length, 0);
    const spec = services.map(({ job }) => jobs.get(job)?.spec).find((known) => known !== undefined);
    return spec === undefined ? null : { spec, tasks };
  }
}
