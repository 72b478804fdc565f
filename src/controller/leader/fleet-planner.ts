/** Plans the fleet: which machines change slice, which are rented and which are returned. */
import { planFleet, type FleetPlan, type Reserve } from '../../core/fleet.js';
import { Forecast } from '../../core/forecast.js';
import { typeAllowed } from '../../core/jobs.js';
import {
  fitsWithin,
  type JobRecord,
  type JobSpec,
  type MachineName,
  type MachineRecord,
  type MachineType,
  type MonotonicMs,
} from '../../core/types.js';
import type { ControllerContext } from '../context.js';
import type { Rentals } from './rentals.js';
import type { MisroutedAgents } from './strayed-machines.js';

/** Less room than this in a record is too little for another job's tasks. */
const FULL_RECORD = 300;
/** The boot time of a type that is not known any more. */
const USUAL_BOOT_S = 60;
/** Beyond the factor that operators set, a boot that never ends is given up so much later. */
const LOST_BOOT_EXTRA_S = 30;

/** A job that fails everywhere after so many tries is hardly one that only met faulty machines. */
const ROUNDS_WORTH_RENTING = 2;

/** Makes the leader's plan from the view, the forecast and what is known of machines. */
export class FleetPlanner {
  private readonly emptySince = new Map<MachineName, MonotonicMs>();
  private readonly forecast: Forecast;

  constructor(
    private readonly context: ControllerContext,
    private readonly strayed: MisroutedAgents,
    private readonly rentals: Rentals,
  ) {
    const { forecast_window_s, spare_spread, overhead_s } = context.operator.fleet;
    this.forecast = new Forecast({ windowS: forecast_window_s, spread: spare_spread, overheadS: overhead_s });
  }

  plan(): FleetPlan {
    const { context } = this;
    const { view } = context;
    const machines = [...view.machines.values()];
    this.noteEmpty(machines);
    const plan = planFleet({
      jobs: context.dependencies.all().startable.filter((j) => this.deservesRoom(j)),
      machines,
      rentals: view.rentals.values(),
      ledger: context.allocations(),
      types: view.types ?? [],
      owners: new Map([...view.teams].map(([team, r]) => [team, r.owner])),
      order: context.order(),
      usable: (m) => this.isUsable(m),
      movable: (m) => (m.heard ?? 0) >= view.fencingTokenOf(m) && !this.strayed.isMisrouted(m.name),
      yields: context.yielding(),
      mayHold: (j) => context.mayHold(j),
      reserve: this.reserve(),
      available: (type, zone, spot) => this.rentals.isAvailable(type, zone, spot),
      idle: (m) => this.isIdle(m),
    });
    return { ...plan, releases: [...machines.filter((m) => this.isUseless(m)), ...plan.releases] };
  }

  ageS(m: MachineRecord): number {
    return (this.context.clock.wallClock() - m.since) / 1000;
  }

  private bootS(m: MachineRecord): number {
    return this.context.types.get(m.type)?.bootS ?? USUAL_BOOT_S;
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
  private isUseless(m: MachineRecord): boolean {
    const { lost_boot_factor } = this.context.operator.fleet;
    if (m.phase === 'booting') return this.ageS(m) > this.bootS(m) * lost_boot_factor + LOST_BOOT_EXTRA_S;
    return m.phase === 'up' && m.drain === true && m.placed.length === 0;
  }

  /** What fails wherever it runs gets room of its own for its first tries; later ones use what is free. */
  private deservesRoom({ failing }: JobRecord): boolean {
    if (failing === undefined) return true;
    return failing.rounds <= ROUNDS_WORTH_RENTING && failing.until <= this.context.clock.wallClock();
  }

  private isUsable(m: MachineRecord): boolean {
    const { context } = this;
    if (m.drain === true) return false;
    // A machine whose record is full takes nothing more, however much of it is free.
    if (m.placed.length > 0 && context.recordRoom(m) <= FULL_RECORD) return false;
    // Its owner does not reach it, so what is free on it is of no use now.
    if (context.proxyOf(m) !== null) return false;
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

  private reserve(): Reserve[] {
    const { context } = this;
    const underWay = new Map<string, number>();
    // A job that waits for others is no work yet: it arrives when the last of them is done.
    for (const j of context.dependencies.all().startable) {
      // What fails wherever it runs says nothing about the room that its class needs.
      if (j.failing !== undefined) continue;
      this.forecast.arrived(j.spec, j.submitted / 1000);
      const left = j.spec.tasks - j.done.count;
      underWay.set(j.spec.class, (underWay.get(j.spec.class) ?? 0) + left);
    }
    const typeOf = (spec: JobSpec): MachineType | undefined =>
      [...context.types.values()].find(
        (t) => typeAllowed(spec, t.name) && fitsWithin(spec.demand, t.capacity),
      );
    return [
      ...this.forecast.reserve(context.clock.wallClock() / 1000, underWay, typeOf),
      ...this.spareForLoss(),
    ];
  }

  /** Services are wanted all the time: room for those of any one machine, should it be lost. */
  private spareForLoss(): Reserve[] {
    const { view } = this.context;
    let most: Reserve | null = null;
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
