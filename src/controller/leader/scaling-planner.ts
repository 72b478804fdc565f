/** Plans the fleet: which machines change slice, which are rented and which are returned. */
import { planScaling } from '../../core/scaling/scaling-plan.js';
import type { ScalingPlan, Headroom } from '../../core/scaling/scaling-types.js';
import { DemandForecast } from '../../core/scaling/demand-forecast.js';
import { allowsMachineType } from '../../core/jobs/feasibility.js';
import type { MachineName } from '../../core/model/ids.js';
import type { JobRecord, JobSpec } from '../../core/model/jobs.js';
import type { MachineRecord, MachineType } from '../../core/model/machines.js';
import { fitsWithin } from '../../core/model/resources.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { ControllerContext } from '../controller-context.js';
import type { Rentals } from './rentals.js';
import type { MisroutedAgents } from './misrouted-agents.js';

/** Less room than this in a record is too little for another job's tasks. */
const MIN_RECORD_BYTES_LEFT = 300;
/** The boot time of a type that is not known any more. */
const DEFAULT_BOOT_S = 60;
/** Beyond the factor that operators set, a boot that never ends is given up so much later. */
const LOST_BOOT_GRACE_S = 30;

/** A job that fails everywhere after so many tries is hardly one that only met faulty machines. */
const MAX_FAILED_ROUNDS_WITH_RENTALS = 2;

/** Makes the leader's plan from the view, the forecast and what is known of machines. */
export class ScalingPlanner {
  private readonly emptySince = new Map<MachineName, MonotonicMs>();
  private readonly forecast: DemandForecast;

  constructor(
    private readonly context: ControllerContext,
    private readonly misroutedAgents: MisroutedAgents,
    private readonly rentals: Rentals,
  ) {
    const { forecast_window_s, spare_spread, overhead_s } = context.operator.fleet;
    this.forecast = new DemandForecast({
      windowS: forecast_window_s,
      spread: spare_spread,
      overheadS: overhead_s,
    });
  }

  plan(): ScalingPlan {
    const { context } = this;
    const { view } = context;
    const machines = [...view.machines.values()];
    this.noteEmpty(machines);
    const plan = planScaling({
      jobs: context.dependencies.current().startable.filter((j) => this.deservesRoom(j)),
      machines,
      rentals: view.rentals.values(),
      totals: context.allocations.current(),
      types: view.types ?? [],
      shardByTeam: new Map([...view.teams].map(([team, r]) => [team, r.owner])),
      order: context.policy.jobOrder(),
      isUsable: (m) => this.isUsable(m),
      isMovable: (m) => (m.heard ?? 0) >= view.fencingTokenOf(m) && !this.misroutedAgents.isMisrouted(m.name),
      leavesWholeMachinesToGangs: context.policy.gangWholeMachinePolicy(),
      mayReserve: (j) => context.policy.mayReserve(j),
      headroom: this.headroom(),
      isAvailable: (type, zone, spot) => this.rentals.isAvailable(type, zone, spot),
      isIdle: (m) => this.isIdle(m),
    });
    return { ...plan, releases: [...machines.filter((m) => this.shouldRelease(m)), ...plan.releases] };
  }

  ageS(m: MachineRecord): number {
    return (this.context.clock.wallClock() - m.since) / 1000;
  }

  private bootS(m: MachineRecord): number {
    return this.context.view.typesByName.get(m.type)?.bootS ?? DEFAULT_BOOT_S;
  }

  private noteEmpty(machines: readonly MachineRecord[]): void {
    const { view, clock } = this.context;
    for (const m of machines) {
      if (m.placed.length > 0 || m.phase !== 'up') this.emptySince.delete(m.name);
      else if (!this.emptySince.has(m.name)) this.emptySince.set(m.name, clock.now());
    }
    for (const name of this.emptySince.keys()) if (!view.machines.has(name)) this.emptySince.delete(name);
  }

  /** It never came up, or is drained and empty. */
  private shouldRelease(m: MachineRecord): boolean {
    const { lost_boot_factor } = this.context.operator.fleet;
    if (m.phase === 'booting') return this.ageS(m) > this.bootS(m) * lost_boot_factor + LOST_BOOT_GRACE_S;
    return m.phase === 'up' && m.drain === true && m.placed.length === 0;
  }

  /** What fails wherever it runs gets room of its own for its first tries; later ones use what is free. */
  private deservesRoom({ failing }: JobRecord): boolean {
    if (failing === undefined) return true;
    return (
      failing.rounds <= MAX_FAILED_ROUNDS_WITH_RENTALS && failing.until <= this.context.clock.wallClock()
    );
  }

  private isUsable(m: MachineRecord): boolean {
    const { context } = this;
    if (m.drain === true) return false;
    // A machine whose record is full takes nothing more, however much of it is free.
    if (m.placed.length > 0 && context.recordBudget.bytesLeft(m) <= MIN_RECORD_BYTES_LEFT) return false;
    // Its owner does not reach it, so what is free on it is of no use now.
    if (context.ownership.proxyOf(m) !== null) return false;
    if (m.phase === 'booting') return this.ageS(m) < this.bootS(m) * context.operator.fleet.late_boot_factor;
    return m.phase === 'up';
  }

  /** Empty for so long that it is returned. */
  private isIdle(m: MachineRecord): boolean {
    const { clock, operator } = this.context;
    const since = this.emptySince.get(m.name);
    return (
      since !== undefined && clock.now() - since > operator.fleet.idle_boot_factor * this.bootS(m) * 1000
    );
  }

  private headroom(): Headroom[] {
    const { context } = this;
    const underWay = new Map<string, number>();
    // A job that waits for others is no work yet: it arrives when the last of them is done.
    for (const j of context.dependencies.current().startable) {
      // What fails wherever it runs says nothing about the room that its class needs.
      if (j.failing !== undefined) continue;
      this.forecast.recordArrival(j.spec, j.submitted / 1000);
      const left = j.spec.tasks - j.done.count;
      underWay.set(j.spec.class, (underWay.get(j.spec.class) ?? 0) + left);
    }
    const typeOf = (spec: JobSpec): MachineType | undefined =>
      [...context.view.typesByName.values()].find(
        (t) => allowsMachineType(spec, t.name) && fitsWithin(spec.demand, t.capacity),
      );
    return [
      ...this.forecast.headroom({
        nowS: context.clock.wallClock() / 1000,
        unfinishedTasks: underWay,
        machineTypeFor: typeOf,
      }),
      ...this.serviceHeadroom(),
    ];
  }

  /** Services are wanted all the time: room for those of any one machine, should it be lost. */
  private serviceHeadroom(): Headroom[] {
    const { view } = this.context;
    let most: Headroom | null = null;
    for (const m of view.machines.values()) {
      const services = m.placed.filter((p) => p.kind === 'service' && p.stop !== true);
      const tasks = services.reduce((n, p) => n + p.tasks.length, 0);
      const spec = services.map((p) => view.jobs.get(p.job)?.spec).find((s) => s !== undefined);
      // Without the job's own ties: its zone is where it was, and the room is for whatever comes there.
      if (spec !== undefined && tasks > (most?.tasks ?? 0))
        most = { spec: { ...spec, oneZone: false, spread: false, tasks }, tasks };
    }
    return most === null ? [] : [most];
  }
}
