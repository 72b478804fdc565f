/** Input, result and intermediate types of the leader's scaling plan. */
import type { MachineTraits } from '../jobs/feasibility.js';
import type { JobOrderContext } from '../jobs/job-order.js';
import type { TypeName, Zone, NodeName, TeamName } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import type { MachineRecord, RentalRecord, MachineType } from '../model/machines.js';
import type { ResourceVector } from '../model/resources.js';
import type { MachineRoom } from '../records/machine-room.js';
import type { AllocationTotals } from '../state/allocation-totals.js';

/** A machine to rent, and the shard that it is for. */
export interface RentalRequest extends MachineTraits {
  readonly shard: NodeName;
}

/** A machine type in one zone, rented as a spot or an on-demand machine. */
export interface RentalOption {
  readonly type: MachineType;
  readonly zone: Zone;
  readonly spot: boolean;
}

/** The state from which a scaling plan is made. */
export interface ScalingInput {
  /** Jobs that may be given machines; those that are not active, or whose team has no shard, are skipped. */
  readonly jobs: Iterable<JobRecord>;
  /** All machines that have a record. */
  readonly machines: readonly MachineRecord[];
  /** Rentals that were decided and whose machines have no records yet. */
  readonly rentals: Iterable<RentalRecord>;
  /** Totals over the same machine records. */
  readonly totals: AllocationTotals;
  /** The machine types that the cloud offers. */
  readonly types: readonly MachineType[];
  /** The shard that schedules each team. */
  readonly shardByTeam: ReadonlyMap<TeamName, NodeName>;
  /** What the order of jobs depends on, except `hasTasks`, which follows from the totals. */
  readonly order: Omit<JobOrderContext, 'hasTasks'>;
  /** Whether the machine can take tasks: it is up, reachable and not draining, or it is booting and not overdue. */
  readonly isUsable: (machine: MachineRecord) => boolean;
  /** What the machine's record and the heartbeats of its agent have left for further tasks. */
  readonly roomOf: (machine: MachineRecord) => MachineRoom;
  /** The same for a machine that is rented, which has no tasks. */
  readonly roomOfNewMachine: MachineRoom;
  /**
   * Whether the machine has confirmed its owner's fencing token. A machine that cannot reach its owner must not be
   * moved from shard to shard, since each new owner would start over in determining whether it has failed.
   */
  readonly isMovable: (machine: MachineRecord) => boolean;
  /** Whether the job must leave empty on-demand machines to gangs that wait for them. */
  readonly leavesWholeMachinesToGangs: (job: JobRecord) => boolean;
  /** Whether the gang has waited so long that its shard controller reserves machines for it. */
  readonly mayReserve: (job: JobRecord) => boolean;
  /** Capacity to keep free in addition to what the pending jobs need. */
  readonly headroom: readonly Headroom[];
  /** Whether the cloud may have machines of this type, zone and billing kind; false for a time after a refusal. */
  readonly isAvailable: (type: TypeName, zone: Zone, spot: boolean) => boolean;
  /** Whether the machine has been empty long enough to be released. */
  readonly isIdle: (machine: MachineRecord) => boolean;
}

/** Capacity to keep free: for `tasks` tasks of the kind that `spec` describes. */
export interface Headroom {
  readonly spec: JobSpec;
  readonly tasks: number;
  /** Whether the tasks come in addition to those that the team has, so that its quota must allow them. */
  readonly limitedByQuota: boolean;
}

/** A machine that is to change its shard. */
export interface MachineMove {
  readonly machine: MachineRecord;
  readonly to: NodeName;
}

/** The actions that the leader is to take: machines to move, to rent and to release. */
export interface ScalingPlan {
  readonly moves: readonly MachineMove[];
  readonly rentals: readonly RentalRequest[];
  readonly releases: readonly MachineRecord[];
}

/** Tasks of one job, or of headroom, that need machines. */
export interface PendingDemand {
  readonly spec: JobSpec;
  /** The shard that schedules the job's team. */
  readonly shard: NodeName;
  /** Number of tasks that are not packed yet. */
  tasks: number;
  /** The only zone that the tasks may go to; null if they may go to any. */
  zone: Zone | null;
  /** Number of the job's tasks in each zone: those allocated and those packed by this plan. */
  readonly tasksPerZone: Map<Zone, number>;
  /** Whether empty on-demand machines are left to gangs. */
  readonly leavesWholeMachinesToGangs: boolean;
}

/**
 * A machine that exists, or equal machines that are being rented or are to be rented, with the resources that the plan
 * leaves free on each.
 */
export interface PackingBin extends MachineTraits {
  /** The machine's record; null for machines that are being rented or are to be rented. */
  readonly machine: MachineRecord | null;
  /** Number of equal machines that the bin stands for; 1 for a machine with a record. */
  count: number;
  /** Whether the machine has a record and nothing is allocated on it. */
  readonly isEmpty: boolean;
  /** The shard that the machine belongs to once the plan is carried out. */
  shard: NodeName;
  /** Resources of each machine left free by the allocated tasks and by those that the plan packs. */
  free: ResourceVector;
  /** What the record and the heartbeats of each machine have left for further tasks, in addition to those planned. */
  room: MachineRoom;
  /** Number of tasks that the plan packs into the bin, on all its machines together. */
  plannedTasks: number;
}

/** The move of a bin's machine to another shard. */
export interface BinMove {
  readonly bin: PackingBin;
  readonly to: NodeName;
}

/** Tasks for which neither the fleet nor the cloud has machines now. */
export interface UnmetDemand {
  readonly demand: PendingDemand;
  readonly tasks: number;
}
