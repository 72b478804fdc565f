/** Jobs: what users submit, what the state service keeps of them, and what users are told. */
import type { ExitReason } from './heartbeats.js';
import type { JobId, TeamName, TypeName, Zone, MachineName } from './ids.js';
import type { ResourceVector } from './resources.js';
import type { WallClockMs } from './time.js';

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
