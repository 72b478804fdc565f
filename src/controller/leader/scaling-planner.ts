/** Makes the leader's scaling plan, and collects the input that the plan needs beside the view. */
import type { MachineName } from '../../core/model/ids.js';
import type { JobRecord } from '../../core/model/jobs.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import { planScalingInSteps } from '../../core/scaling/scaling-plan.js';
import type { ScalingInput, ScalingPlan } from '../../core/scaling/scaling-types.js';
import type { Steps } from '../../core/steps.js';
import type { ControllerContext } from '../controller-context.js';
import { HeadroomPlanner } from './headroom-planner.js';
import type { MisroutedAgents } from './misrouted-agents.js';
import type { Rentals } from './rentals.js';

/** Boot time assumed for a machine type that is not known. */
const DEFAULT_BOOT_S = 60;
/** A machine that does not come up is released this long after its boot time multiplied by `lost_boot_factor`. */
const LOST_BOOT_GRACE_S = 30;

/** Makes scaling plans from the view, the forecast of demand and the observed state of machines. */
export class ScalingPlanner {
  private readonly emptySince = new Map<MachineName, MonotonicMs>();
  private readonly headroomPlanner: HeadroomPlanner;

  constructor(
    private readonly context: ControllerContext,
    private readonly misroutedAgents: MisroutedAgents,
    private readonly rentals: Rentals,
  ) {
    this.headroomPlanner = new HeadroomPlanner(context);
  }

  /**
   * The plan for the present state, made in steps. Its releases include machines that never came up and those drained and
   * empty. Decisions about machines whose records changed while the plan was made are left out: they would overwrite the
   * change.
   */
  *plan(): Steps<ScalingPlan> {
    const { view } = this.context;
    const machines = [...view.machines.values()];
    this.updateEmptySince(machines);
    const plan = yield* planScalingInSteps(this.planInput(machines));
    const isUnchanged = (machine: MachineRecord): boolean => view.machines.get(machine.name) === machine;
    const lostOrDrained = machines.filter((machine) => this.isLostOrDrained(machine));
    return {
      rentals: plan.rentals,
      moves: plan.moves.filter(({ machine }) => isUnchanged(machine)),
      releases: [...lostOrDrained, ...plan.releases].filter(isUnchanged),
    };
  }

  private planInput(machines: readonly MachineRecord[]): ScalingInput {
    const { context } = this;
    const { view, policy } = context;
    return {
      jobs: context.dependencies.current().startable.filter((job) => this.mayUseRentals(job)),
      machines,
      rentals: view.rentals.values(),
      totals: context.allocations.current(),
      types: view.types ?? [],
      shardByTeam: new Map([...view.teams].map(([team, record]) => [team, record.owner])),
      order: policy.jobOrder(),
      isUsable: (machine) => this.isUsable(machine),
      // The plan goes by the records alone: heartbeats arrive at the owners.
      roomOf: (machine) => context.machineRooms.roomOf(machine, null),
      roomOfNewMachine: context.machineRooms.roomOfNewMachine(),
      isMovable: (machine) => this.isMovable(machine),
      leavesWholeMachinesToGangs: policy.gangWholeMachinePolicy(),
      mayReserve: (job) => policy.mayReserve(job),
      headroom: this.headroomPlanner.headroom(),
      isAvailable: (type, zone, spot) => this.rentals.isAvailable(type, zone, spot),
      isIdle: (machine) => this.isIdle(machine),
    };
  }

  /** The age of the machine's record in seconds. */
  ageS(machine: MachineRecord): number {
    return (this.context.clock.wallClock() - machine.since) / 1000;
  }

  private bootS(machine: MachineRecord): number {
    return this.context.view.typesByName.get(machine.type)?.bootS ?? DEFAULT_BOOT_S;
  }

  private updateEmptySince(machines: readonly MachineRecord[]): void {
    const { view, clock } = this.context;
    for (const { name, placed, phase } of machines) {
      if (placed.length > 0 || phase !== 'up') this.emptySince.delete(name);
      else if (!this.emptySince.has(name)) this.emptySince.set(name, clock.now());
    }
    for (const name of this.emptySince.keys()) if (!view.machines.has(name)) this.emptySince.delete(name);
  }

  /**
   * Whether the plan may provide machines for the job. One that fails on every machine gets none while it backs off, and
   * those for a single task otherwise: the machines that it failed on may be the faulty ones, however often it failed.
   */
  private mayUseRentals({ failing }: JobRecord): boolean {
    return failing === undefined || failing.until <= this.context.clock.wallClock();
  }

  private isUsable(machine: MachineRecord): boolean {
    const { ownership, operator } = this.context;
    const { phase, drain } = machine;
    if (drain === true) return false;
    // The owner does not reach a machine that has a proxy, and cannot start tasks there.
    if (ownership.proxyOf(machine) !== null) return false;
    if (phase === 'booting')
      return this.ageS(machine) < this.bootS(machine) * operator.fleet.late_boot_factor;
    return phase === 'up';
  }

  private isMovable(machine: MachineRecord): boolean {
    const hasConfirmedToken = (machine.heard ?? 0) >= this.context.view.fencingTokenOf(machine);
    return hasConfirmedToken && !this.misroutedAgents.isMisrouted(machine.name);
  }

  /** Whether the machine has been empty long enough, relative to its boot time, to be released. */
  private isIdle(machine: MachineRecord): boolean {
    const { clock, operator } = this.context;
    const since = this.emptySince.get(machine.name);
    if (since === undefined) return false;
    return clock.now() - since > operator.fleet.idle_boot_factor * this.bootS(machine) * 1000;
  }

  /** Whether the machine did not come up in time, or is drained and empty. */
  private isLostOrDrained(machine: MachineRecord): boolean {
    const { phase, drain, placed } = machine;
    if (phase === 'booting') {
      const { lost_boot_factor } = this.context.operator.fleet;
      return this.ageS(machine) > this.bootS(machine) * lost_boot_factor + LOST_BOOT_GRACE_S;
    }
    return phase === 'up' && drain === true && placed.length === 0;
  }
}
