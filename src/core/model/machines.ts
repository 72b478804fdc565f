/** Machine types, machines with the tasks allocated to them, and rentals of machines. */
import type { TypeName, Zone, JobId, TeamName, Attempt, TaskIndex, MachineName, NodeName } from './ids.js';
import type { JobKind, Priority } from './jobs.js';
import type { ResourceVector } from './resources.js';
import type { WallClockMs } from './time.js';

/** A type of machine that the cloud rents. */
export interface MachineType {
  readonly name: TypeName;
  readonly capacity: ResourceVector;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly zones: readonly Zone[];
}

/** Some tasks of one job and one attempt on one machine. */
export interface Allocation {
  readonly job: JobId;
  readonly team: TeamName;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly demand: ResourceVector;
  readonly attempt: Attempt;
  readonly tasks: readonly TaskIndex[];
  /** Set once the tasks are to go: a controller that takes over goes on with it. */
  readonly stop?: boolean;
}

/** A machine boots, is up, and is then returned to the cloud. */
export type MachinePhase = 'booting' | 'up' | 'releasing';

/** What the state service keeps of a machine. */
export interface MachineRecord {
  readonly name: MachineName;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  /** The slice that it belongs to, named after the controller whose slice it is on the ordinary path. */
  readonly owner: NodeName;
  /** The fencing token is at least this; see `tokenOf`. */
  readonly floor: number;
  readonly phase: MachinePhase;
  /** Where the worker takes direct commands; known from its first report on. */
  readonly address?: string;
  readonly placed: readonly Allocation[];
  /** When the record was made, for judging a boot that takes too long. */
  readonly since: WallClockMs;
  /** No new work is put here. */
  readonly drain?: boolean;
  /** Images that it has cached as far as is known, the latest used last. */
  readonly images?: readonly string[];
  /** The highest token under which its owner knows that the machine hears it. */
  readonly heard?: number;
}

/** A rental that was decided and whose answer is not yet in the state. */
export interface RentalRecord {
  readonly name: string;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  /** The slice of each machine asked for. */
  readonly owners: readonly NodeName[];
}
