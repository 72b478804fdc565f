/** Inputs, results and working state of the leader's scaling plan. */
import type { JobOrderContext } from '../jobs/job-order.js';
import type { TypeName, Zone, NodeName, TeamName } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import type { MachineRecord, RentalRecord, MachineType } from '../model/machines.js';
import type { ResourceVector } from '../model/resources.js';
import type { AllocationTotals } from '../state/allocation-totals.js';

/** A machine to rent, and the slice that it is for. */
export interface RentalRequest {
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  readonly shard: NodeName;
}

/** What the plan is made from. */
export interface ScalingInput {
  readonly jobs: Iterable<JobRecord>;
  readonly machines: readonly MachineRecord[];
  readonly rentals: Iterable<RentalRecord>;
  readonly totals: AllocationTotals;
  readonly types: readonly MachineType[];
  readonly shardByTeam: ReadonlyMap<TeamName, NodeName>;
  readonly order: Omit<JobOrderContext, 'hasTasks'>;
  /** Up, reporting and not draining; or booting and not overdue. */
  readonly isUsable: (m: MachineRecord) => boolean;
  /** Its owner has shown it its token: one that hears nobody must not go from slice to slice, each time anew. */
  readonly isMovable: (m: MachineRecord) => boolean;
  readonly leavesWholeMachinesToGangs: (job: JobRecord) => boolean;
  /** A gang that has waited so long that its owner keeps room for it. */
  readonly mayReserve: (job: JobRecord) => boolean;
  /** Room to keep beside what waits, as tasks of a class's usual shape. */
  readonly headroom: readonly Headroom[];
  /** False while the cloud refuses this type, zone and kind. */
  readonly isAvailable: (type: TypeName, zone: Zone, spot: boolean) => boolean;
  /** Empty machines idle long enough to be returned. */
  readonly isIdle: (m: MachineRecord) => boolean;
}

/** Room to keep for so many tasks of this shape. */
export interface Headroom {
  readonly spec: JobSpec;
  readonly tasks: number;
}

/** What the leader is to do now. */
export interface ScalingPlan {
  readonly moves: readonly { readonly machine: MachineRecord; readonly to: NodeName }[];
  readonly rentals: readonly RentalRequest[];
  readonly releases: readonly MachineRecord[];
}

/** Tasks of one job that want room. */
export interface PendingDemand {
  readonly spec: JobSpec;
  readonly shard: NodeName;
  tasks: number;
  /** The only zone that they may go to. */
  zone: Zone | null;
  readonly tasksPerZone: Map<Zone, number>;
  /** It leaves empty ordinary machines to gangs. */
  readonly leavesWholeMachinesToGangs: boolean;
}

/** A machine that is there, boots, is being rented or is to be rented, with the room that the plan leaves on it. */
export interface PackingBin {
  readonly machine: MachineRecord | null;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  readonly isEmpty: boolean;
  shard: NodeName;
  free: ResourceVector;
  plannedTasks: number;
}

/** Tasks for which neither a slice nor the cloud has room. */
export interface UnmetDemand {
  readonly demand: PendingDemand;
  readonly tasks: number;
}
