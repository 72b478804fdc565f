/** Heartbeats with status from node agents, and commands to them. */
import type { JobId, TaskIndex, Attempt, MachineName, TypeName, Zone, FencingToken } from './ids.js';

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
