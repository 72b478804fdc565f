/** Machine types, machines with the tasks allocated to them, and rentals of machines. */
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
  /** Usual time from a rental to the first heartbeat of the machine's agent. */
  readonly bootS: number;
  /** Size of the image cache. */
  readonly cacheGb: number;
  /** Bandwidth for fetching images, shared by all that are fetched at once. */
  readonly fetchGbPerS: number;
  /** The zones in which it can be rented. */
  readonly zones: readonly Zone[];
}

/** Tasks of one job that share an attempt, on one machine. */
export interface Allocation {
  readonly job: JobId;
  readonly team: TeamName;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** What each of the tasks needs. */
  readonly demand: ResourceVector;
  readonly attempt: Attempt;
  readonly tasks: readonly TaskIndex[];
  /** The tasks are being stopped; recorded so that a controller that takes over goes on with it. */
  readonly stop?: boolean;
}

/** A machine boots, is up, and is then returned to the cloud. */
export type MachinePhase = 'booting' | 'up' | 'releasing';

/** What the state service keeps of a machine. */
export interface MachineRecord {
  readonly name: MachineName;
  readonly type: TypeName;
  readonly zone: Zone;
  /** Whether it is a spot machine, which the cloud may reclaim, or an on-demand one. */
  readonly spot: boolean;
  /** The shard that it belongs to; shards are named after the controllers that hold them by default. */
  readonly owner: NodeName;
  /** Lower bound of its fencing token; see `ClusterView.fencingTokenOf`. */
  readonly floor: number;
  readonly phase: MachinePhase;
  /** Where its agent takes direct commands, as host and port; known from its first heartbeat on. */
  readonly address?: string;
  /** Tasks allocated to the machine. */
  readonly placed: readonly Allocation[];
  /** When the record was created; bounds the time that a machine may take to boot. */
  readonly since: WallClockMs;
  /** The machine gets no new tasks. */
  readonly drain?: boolean;
  /** Images known to be cached, the most recently used last. */
  readonly images?: readonly string[];
  /** The highest fencing token under which its owner has confirmed contact with the machine. */
  readonly heard?: number;
}

/** A rental that was decided and whose outcome is not in the state yet. */
export interface RentalRecord {
  readonly name: string;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  /** The shard of each requested machine. */
  readonly owners: readonly NodeName[];
}
