/** Machine types, machines with their allocated tasks, and rentals of machines. */
import type { Attempt, JobId, MachineName, NodeName, TaskIndex, TeamName, TypeName, Zone } from './ids.js';
import type { JobKind, Priority } from './jobs.js';
import type { ResourceVector } from './resources.js';
import type { WallClockMs } from './time.js';

/** A type of machine that the cloud rents out. */
export interface MachineType {
  readonly name: TypeName;
  readonly capacity: ResourceVector;
  /** Price of an on-demand machine per hour. */
  readonly price: number;
  /** Price of a spot machine per hour. */
  readonly spotPrice: number;
  /** Usual time in seconds from a rental to the first heartbeat of the machine's agent. */
  readonly bootS: number;
  /** Size of the image cache in gigabytes. */
  readonly cacheGb: number;
  /** Bandwidth for fetching images in gigabytes per second, shared by all fetches in progress. */
  readonly fetchGbPerS: number;
  /** Zones in which machines of the type can be rented. */
  readonly zones: readonly Zone[];
}

/** Tasks of one job and one attempt that are allocated to a machine. */
export interface Allocation {
  readonly job: JobId;
  readonly team: TeamName;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** Resources that each of the tasks needs. */
  readonly demand: ResourceVector;
  readonly attempt: Attempt;
  readonly tasks: readonly TaskIndex[];
  /** Whether the tasks are being stopped; recorded so that a new owner of the machine continues to stop them. */
  readonly stop?: boolean;
}

/** Phase of a machine: it boots, is up, and is then released to the cloud. */
export type MachinePhase = 'booting' | 'up' | 'releasing';

/** The stored record of a machine. */
export interface MachineRecord {
  readonly name: MachineName;
  readonly type: TypeName;
  readonly zone: Zone;
  /** Whether the machine is a spot machine, which the cloud may reclaim, or an on-demand one. */
  readonly spot: boolean;
  /** The shard that the machine belongs to; shards are named after the controllers that hold them by default. */
  readonly owner: NodeName;
  /** Lower bound of the machine's fencing token; see `ClusterView.fencingTokenOf`. */
  readonly floor: number;
  readonly phase: MachinePhase;
  /** Address at which the agent receives direct commands, as host and port; known from its first heartbeat on. */
  readonly address?: string;
  /** Tasks allocated to the machine. */
  readonly placed: readonly Allocation[];
  /** When the record was created; limits how long the machine may take to boot. */
  readonly since: WallClockMs;
  /** Whether the machine is draining: it gets no new tasks. */
  readonly drain?: boolean;
  /** Images known to be in the machine's cache, the most recently used last. */
  readonly images?: readonly string[];
  /** The highest fencing token under which its owner has confirmed contact with the machine. */
  readonly heard?: number;
}

/** The stored record of a rental that was decided and whose outcome is not recorded yet. */
export interface RentalRecord {
  readonly name: string;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  /** The shard to which each requested machine will belong. */
  readonly owners: readonly NodeName[];
}
