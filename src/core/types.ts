/**
 * The vocabulary of the core. Ids, versions and times are types of their own, so that one cannot stand in
 * for another by mistake.
 */

declare const brand: unique symbol;
type Brand<T, B extends string> = T & { readonly [brand]: B };

/** Id of a job, chosen by its user. */
export type JobId = Brand<string, 'JobId'>;
/** Name of a team. */
export type TeamName = Brand<string, 'TeamName'>;
/** Name of a machine, given by the cloud. */
export type MachineName = Brand<string, 'MachineName'>;
/** Name of a machine type. */
export type TypeName = Brand<string, 'TypeName'>;
/** Name of a zone. */
export type Zone = Brand<string, 'Zone'>;
/** Name of a controller, and of its slice. */
export type NodeName = Brand<string, 'NodeName'>;
/** One life of a controller process; a restart gets a new one. */
export type Incarnation = Brand<string, 'Incarnation'>;
/** Version of one key in the state service; 0 says that the key does not exist. */
export type Version = Brand<number, 'Version'>;
/** Revision of the whole state service. */
export type Revision = Brand<number, 'Revision'>;
/** Fencing token of a machine. */
export type FencingToken = Brand<number, 'Token'>;
/** Tells one start of a task from its others; the tasks of a gang share theirs. */
export type Attempt = Brand<number, 'Attempt'>;
/** Number of a task in its job, from 0. */
export type TaskIndex = number;
/** Milliseconds on this process's steady clock. */
export type MonotonicMs = Brand<number, 'Steady'>;
/** Milliseconds of the time of day; only ever used with slack. */
export type WallClockMs = Brand<number, 'WallMs'>;

/** Takes text for a job id. */
export const jobId = (s: string) => s as JobId;
/** Takes text for a team's name. */
export const teamName = (s: string) => s as TeamName;
/** Takes text for a machine's name. */
export const machineName = (s: string) => s as MachineName;
/** Takes text for a type's name. */
export const typeName = (s: string) => s as TypeName;
/** Takes text for a zone's name. */
export const zoneName = (s: string) => s as Zone;
/** Takes text for a controller's name. */
export const nodeName = (s: string) => s as NodeName;
/** Takes text for the id of a process. */
export const incarnation = (s: string) => s as Incarnation;
/** Takes a number for a key's version. */
export const version = (n: number) => n as Version;
/** Takes a number for a revision. */
export const revision = (n: number) => n as Revision;
/** Takes a number for a fencing token. */
export const fencingToken = (n: number) => n as FencingToken;
/** Takes a number for an attempt. */
export const attempt = (n: number) => n as Attempt;
/** Takes milliseconds for a time of the steady clock. */
export const monotonicMs = (n: number) => n as MonotonicMs;
/** Takes milliseconds for a time of day. */
export const wallClockMs = (n: number) => n as WallClockMs;

/** The version of a key that does not exist. */
export const NO_VERSION = version(0);

/**
 * Amounts of the three resources in whole millionths, so that adding and taking away loses nothing:
 * [cpu, memory in GB, gpu].
 */
export type ResourceVector = readonly [number, number, number];
/** Amounts are whole numbers of this part of a unit. */
export const MICRO_UNITS = 1_000_000;
/** Index of the CPUs in amounts. */
export const CPU = 0;
/** Index of the memory. */
export const MEMORY = 1;
/** Index of the GPUs. */
export const GPU = 2;
/** A demand is rounded up and a capacity down, so no machine is ever promised more than it has. */
export const demandVector = (cpus: number, memoryGb: number, gpus: number): ResourceVector => [
  Math.ceil(cpus * MICRO_UNITS - 1e-3),
  Math.ceil(memoryGb * MICRO_UNITS - 1e-3),
  Math.ceil(gpus * MICRO_UNITS - 1e-3),
];
/** A machine's capacity, rounded down. */
export const capacityVector = (cpus: number, memoryGb: number, gpus: number): ResourceVector => [
  Math.floor(cpus * MICRO_UNITS + 1e-3),
  Math.floor(memoryGb * MICRO_UNITS + 1e-3),
  Math.floor(gpus * MICRO_UNITS + 1e-3),
];
/** The sum of `a` and so many times `b`. */
export const addResources = (a: ResourceVector, b: ResourceVector, times = 1): ResourceVector => [
  a[0] + b[0] * times,
  a[1] + b[1] * times,
  a[2] + b[2] * times,
];
/** Whether a need fits into the room, in every resource. */
export const fitsWithin = (need: ResourceVector, room: ResourceVector) =>
  need[0] <= room[0] && need[1] <= room[1] && need[2] <= room[2];
/** How many times the need fits into the room. */
export const tasksThatFit = (need: ResourceVector, room: ResourceVector): number => {
  let n = Number.POSITIVE_INFINITY;
  for (const r of [CPU, MEMORY, GPU] as const)
    if (need[r] > 0) n = Math.min(n, Math.max(0, Math.floor(room[r] / need[r])));
  return n;
};
/** No amount of anything. */
export const NO_RESOURCES: ResourceVector = [0, 0, 0];

/** Array: independent tasks. Gang: all tasks at the same time or none. Service: replicas until cancelled. */
export type JobKind = 'array' | 'gang' | 'service';
/** Priorities, from the highest to the lowest. */
export type Priority = 'production' | 'high' | 'normal' | 'low';
/** A smaller rank is a higher priority. */
export const PRIORITY_RANK: Record<Priority, number> = { production: 0, high: 1, normal: 2, low: 3 };

/** A job as its user described it. */
export interface JobSpec {
  readonly id: JobId;
  readonly class: string;
  readonly team: TeamName;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly tasks: number;
  readonly demand: ResourceVector;
  readonly image: string;
  readonly imageGb: number;
  readonly types: readonly TypeName[] | null;
  readonly zone: Zone | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts; only those that were not when it came. */
  readonly needs?: readonly JobId[];
}

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

/** A team with its guarantee and its limit. */
export interface Team {
  readonly name: TeamName;
  /** [cpu, memory (never guaranteed), gpu]; 0 means none. */
  readonly guarantee: ResourceVector;
  /** Null where the settings give 0: no limit of that kind. */
  readonly limitCpu: number | null;
  readonly limitGpu: number | null;
}

/** A job is active until its cancellation begins. */
export type JobPhase = 'active' | 'cancelling';
/** How a job has ended. */
export type FinalState = 'done' | 'cancelled';
/** A job's state as its user is told. */
export type JobState = 'pending' | 'running' | FinalState;

/** A job as its user is shown it. */
export interface JobStatus {
  readonly state: JobState;
  readonly done: number;
  readonly running: number;
  /** What the job still waits for. */
  readonly needs?: readonly JobId[];
  /** What it inherits from jobs that need it. */
  readonly inherited?: { readonly priority: Priority; readonly dueInS: number | null };
  /** The job whose cancellation withdrew this one. */
  readonly because?: JobId;
  /** How often, with what and where it failed, and when it is tried next. */
  readonly failing?: {
    readonly rounds: number;
    readonly why: ExitReason;
    readonly machines: readonly MachineName[];
    readonly nextTryInS: number;
  };
}

/** What the state service keeps of an unfinished job. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly phase: JobPhase;
  /** Tasks below `base` are done; of those from it on, the ones whose bit is set. */
  readonly done: DoneSet;
  readonly submitted: WallClockMs;
  /** It fails wherever it runs; gone with the next task that is done. */
  readonly failing?: JobFailureRecord;
}

/** What a job's record says of its failures, so that another owner goes on with its waits, and its user can see them. */
export interface JobFailureRecord {
  /** How often it was tried and failed since it is taken to fail everywhere. */
  readonly rounds: number;
  readonly why: ExitReason;
  /** The machines where it failed last. */
  readonly machines: readonly MachineName[];
  /** It is not tried again before. */
  readonly until: WallClockMs;
}

/** Which tasks of a job are done. */
export interface DoneSet {
  readonly base: number;
  /** Base64 of a bitmap whose first bit is task `base`. */
  readonly bits: string;
  readonly count: number;
}

/** What remains of a job for ever. */
export interface FinalRecord {
  readonly state: FinalState;
  readonly done: number;
  /** When it was over; versions before pipelines did not write it. */
  readonly at?: WallClockMs;
  /** The job whose cancellation withdrew this one, where it was not its own. */
  readonly because?: JobId;
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

/** What the state service keeps of a team. */
export interface TeamRecord {
  /** The slice whose holder schedules the team. */
  readonly owner: NodeName;
}

/** Who holds a slice: its machines and its teams. Written only when that changes. */
export interface ShardRecord {
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
}

/** A controller's session; it goes with its lease. */
export interface SessionRecord {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  readonly lease: number;
  readonly zone: Zone;
  /** It has handed over what it held and is about to end: it is given nothing. */
  readonly draining?: boolean;
}

/** The leadership; it goes with its lease. */
export interface LeaderRecord {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  readonly lease: number;
}

/** Machines that answer to a controller which is not their owner, since they do not reach that one. */
export interface ProxiedMachinesRecord {
  readonly machines: readonly MachineName[];
  readonly lease: number;
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

/** State of a task on its machine. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** Why a task has left its machine. */
export type ExitReason =
  'done' | 'stopped' | 'peers' | 'incomplete' | 'error' | 'full' | 'in_use' | 'unknown';

/** A task as its worker reports it. */
export interface ReportedTask {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly state: TaskState;
  readonly exitReason: ExitReason | null;
  readonly hasCheckpoint: boolean;
}

/** Orders the heartbeats of one machine: by agent epoch, then by sequence number. */
export interface HeartbeatId {
  /** Raised by the agent whenever it restarts or loses its lease. */
  readonly agentEpoch: number;
  readonly sequence: number;
}

/** A heartbeat with status, as an agent sends it. */
export interface Heartbeat extends HeartbeatId {
  readonly machine: MachineName;
  readonly address: string;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  readonly token: FencingToken;
  readonly preemptionNoticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

/** A command to a worker. */
export type AgentCommand =
  | { readonly op: 'start'; readonly job: JobId; readonly index: TaskIndex; readonly attempt: Attempt }
  | {
      readonly op: 'stop';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: Attempt;
      readonly gracePeriodS: number;
    }
  | { readonly op: 'forget'; readonly job: JobId; readonly index: TaskIndex; readonly attempt: Attempt };
