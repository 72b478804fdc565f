/** Jobs: what users submit, what the state service keeps of them, and what users are told. */
import type { ExitReason } from './heartbeats.js';
import type { JobId, MachineName, TeamName, TypeName, Zone } from './ids.js';
import type { ResourceVector } from './resources.js';
import type { WallClockMs } from './time.js';

/** Array: independent tasks. Gang: all tasks at the same time or none. Service: replicas that run until cancelled. */
export type JobKind = 'array' | 'gang' | 'service';
/** Priorities, from the highest to the lowest. */
export type Priority = 'production' | 'high' | 'normal' | 'low';
/** A smaller rank is a higher priority. */
export const PRIORITY_RANK: Readonly<Record<Priority, number>> = {
  production: 0,
  high: 1,
  normal: 2,
  low: 3,
};

/** A job as its user described it. */
export interface JobSpec {
  readonly id: JobId;
  /** The class of jobs that it belongs to; the settings state objectives by class. */
  readonly class: string;
  readonly team: TeamName;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** Number of tasks. */
  readonly tasks: number;
  /** What one task needs. */
  readonly demand: ResourceVector;
  readonly image: string;
  readonly imageGb: number;
  /** The machine types that the job may run on; null for all. */
  readonly types: readonly TypeName[] | null;
  /** The zone that the job must run in; null for any. */
  readonly zone: Zone | null;
  /** All tasks have to run in the same zone. */
  readonly oneZone: boolean;
  /** At most half of the tasks, rounded up, may run in one zone. */
  readonly spread: boolean;
  /** The job may run on spot machines. */
  readonly spot: boolean;
  /** The user's estimate of a task's run time. */
  readonly estimateS: number;
  /** Progress between two checkpoints; 0 for tasks without checkpoints, whose work is lost when they are stopped. */
  readonly checkpointS: number;
  /** How long a task takes to save a checkpoint when it is stopped. */
  readonly saveS: number;
  /** Deadline, in seconds after the submission; null for none. */
  readonly deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts; only those that were not at its submission. */
  readonly needs?: readonly JobId[];
}

/** A job is active until its cancellation begins. */
export type JobPhase = 'active' | 'cancelling';
/** How a job has ended. */
export type FinalState = 'done' | 'cancelled';
/** A job's state as its user sees it. */
export type JobState = 'pending' | 'running' | FinalState;

/** A job as its user sees it. */
export interface JobStatus {
  readonly state: JobState;
  /** Number of tasks that are done. */
  readonly done: number;
  /** Number of tasks that are running. */
  readonly running: number;
  /** The jobs that it still waits for. */
  readonly needs?: readonly JobId[];
  /** What it inherits from jobs that depend on it. */
  readonly inherited?: { readonly priority: Priority; readonly dueInS: number | null };
  /** The job whose cancellation withdrew this one. */
  readonly because?: JobId;
  /** Its failures on every machine, and when it is tried next. */
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
  readonly done: DoneSet;
  readonly submitted: WallClockMs;
  /** The job fails on every machine; removed when its next task is done. */
  readonly failing?: JobFailureRecord;
}

/** A job's failures, stored so that another owner continues its backoff and its user can see them. */
export interface JobFailureRecord {
  /** Number of failed tries since the job was found to fail on every machine. */
  readonly rounds: number;
  readonly why: ExitReason;
  /** The machines of its last failures. */
  readonly machines: readonly MachineName[];
  /** End of the backoff: it is not tried again before. */
  readonly until: WallClockMs;
}

/** Which tasks of a job are done: all below `base`, and those from it on whose bit is set. */
export interface DoneSet {
  readonly base: number;
  /** Base64 of a bitmap whose first bit, the lowest of its first byte, stands for task `base`. */
  readonly bits: string;
  /** Number of tasks that are done. */
  readonly count: number;
}

/** What the state service keeps of a finished job for ever. */
export interface FinalRecord {
  readonly state: FinalState;
  /** Number of tasks that were done. */
  readonly done: number;
  /** When the job ended; missing in records of versions without dependencies between jobs. */
  readonly at?: WallClockMs;
  /** The job whose cancellation withdrew this one, where it was not its own. */
  readonly because?: JobId;
}
