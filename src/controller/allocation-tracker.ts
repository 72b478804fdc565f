/** Keeps the totals of allocated resources up to date with the view. */
import type { Team } from '../core/model/cluster.js';
import type { TeamName, TypeName } from '../core/model/ids.js';
import type { MachineType } from '../core/model/machines.js';
import { AllocationTotals } from '../core/state/allocation-totals.js';
import type { ClusterView } from '../core/state/cluster-view.js';

/** Caches allocation totals, and applies the view's changed machines to them on each read. */
export class AllocationTracker {
  private totals: AllocationTotals | null = null;
  private types: ReadonlyMap<TypeName, MachineType> | null = null;

  constructor(
    private readonly view: ClusterView,
    private readonly teams: ReadonlyMap<TeamName, Team>,
  ) {}

  /** Totals over the current view. The same object is updated in place until the list of machine types changes. */
  current(): AllocationTotals {
    const { view } = this;
    if (this.totals === null || this.types !== view.typesByName) {
      this.types = view.typesByName;
      this.totals = new AllocationTotals(view.machines.values(), this.types, this.teams);
    } else for (const name of view.dirtyMachines) this.totals.setMachine(name, view.machines.get(name));
    view.dirtyMachines.clear();
    return this.totals;
  }
}
