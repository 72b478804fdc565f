/** Jobs as users submit them, as they are stored, and as their status is shown to users. */
import type { ExitReason } from './heartbeats.js';
import type { JobId, MachineName, TeamName, TypeName, Zone } from './ids.js';
import type { ResourceVector } from './resources.js';
import type { WallClockMs } from './time.js';

/** Kinds of jobs. Array: independent tasks. Gang: all tasks run together or none. Service: replicas until cancelled. */
export type JobKind = 'array' | 'gang' | 'service';
/** Priorities, from the highest to the lowest. */
export type Priority = 'production' | 'high' | 'normal' | 'low';
/** Rank of each priority, for sorting: a smaller rank is a higher priority. */
export const PRIORITY_RANK: Readonly<Record<Priority, number>> = {
  production: 0,
  high: 1,
  normal: 2,
  low: 3,
};

/** A job as its user described it. */
export interface JobSpec {
  readonly id: JobId;
  /** The class of jobs that the job belongs to; the settings state objectives by class. */
  readonly class: string;
  readonly team: TeamName;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** Number of tasks. */
  readonly tasks: number;
  /** Resources that one task needs. */
  readonly demand: ResourceVector;
  readonly image: string;
  readonly imageGb: number;
  /** The machine types that the job may run on; null for all. */
  readonly types: readonly TypeName[] | null;
  /** The zone that the job must run in; null for any. */
  readonly zone: Zone | null;
  /** Whether all tasks have to run in the same zone. */
  readonly oneZone: boolean;
  /** Whether at most half of the tasks, rounded up, may run in one zone. */
  readonly spread: boolean;
  /** Whether the job may run on spot machines. */
  readonly spot: boolean;
  /** The user's estimate of a task's run time, in seconds. */
  readonly estimateS: number;
  /** Seconds of progress between checkpoints; 0 for tasks without checkpoints, which lose their work when stopped. */
  readonly checkpointS: number;
  /** Seconds that a task takes to save a checkpoint when it is stopped. */
  readonly saveS: number;
  /** Deadline in seconds after the submission; null for none. */
  readonly deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts, without those done when it was submitted. */
  readonly needs?: readonly JobId[];
}

/** Phase of an unfinished job: it is active until its cancellation begins. */
export type JobPhase = 'active' | 'cancelling';
/** State in which a job has ended. */
export type FinalState = 'done' | 'cancelled';
/** A job's state as its user sees it. */
export type JobState = 'pending' | 'running' | FinalState;

/** A job's status as its user sees it. */
export interface JobStatus {
  readonly state: JobState;
  /** Number of tasks that are done. */
  readonly done: number;
  /** Number of tasks that are running. */
  readonly running: number;
  /** Jobs that the job still waits for. */
  readonly needs?: readonly JobId[];
  /** Priority, and deadline in seconds from now, that the job inherits from jobs that depend on it. */
  readonly inherited?: { readonly priority: Priority; readonly dueInS: number | null };
  /** The job whose cancellation also cancelled this one. */
  readonly because?: JobId;
  /** Failures of a job that fails on every machine, and the seconds until it is tried again. */
  readonly failing?: {
    readonly rounds: number;
    readonly why: ExitReason;
    readonly machines: readonly MachineName[];
    readonly nextTryInS: number;
  };
}

/** The stored record of an unfinished job. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly phase: JobPhase;
  readonly done: DoneSet;
  readonly submitted: WallClockMs;
  /** Present while the job fails on every machine; removed once a task of it is done or runs well. */
  readonly failing?: JobFailureRecord;
}

/** The failures of a job, stored so that a new owner continues the backoff and the user can see them. */
export interface JobFailureRecord {
  /** Number of failed rounds since the job was found to fail on every machine. */
  readonly rounds: number;
  readonly why: ExitReason;
  /** The machines of the job's latest failures. */
  readonly machines: readonly MachineName[];
  /** End of the backoff, before which the job is not tried again. */
  readonly until: WallClockMs;
}

/** The tasks of a job that are done: all below `base`, and those from `base` on whose bit is set. */
export interface DoneSet {
  readonly base: number;
  /** Base64 of a bitmap whose first bit, the lowest of its first byte, stands for task `base`. */
  readonly bits: string;
  /** Number of tasks that are done. */
  readonly count: number;
}

/** The stored record of a finished job, which is kept forever. */
export interface FinalRecord {
  readonly state: FinalState;
  /** Number of tasks that were done when the job ended. */
  readonly done: number;
  /** When the job ended; missing in records written by versions without dependencies between jobs. */
  readonly at?: WallClockMs;
  /** The job whose cancellation also cancelled this one; missing if this one was cancelled itself. */
  readonly because?: JobId;
}
