/** Heartbeats with status from node agents, and commands to them. */
import type {
  Attempt,
  FencingToken,
  JobId,
  MachineName,
  NodeName,
  TaskIndex,
  TypeName,
  Zone,
} from './ids.js';

/** State of a task on its machine: fetching its image, waiting to start, running, saving a checkpoint, or exited. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/** Why a task has left its machine. */
export type ExitReason =
  'done' | 'stopped' | 'peers' | 'incomplete' | 'error' | 'full' | 'in_use' | 'unknown';

/** A task as its agent reports it. */
export interface ReportedTask {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly state: TaskState;
  /** Null unless the task has exited. */
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
  /** Where the agent takes direct commands, as host and port. */
  readonly address: string;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  /** The highest fencing token that the agent has seen. */
  readonly token: FencingToken;
  /** Seconds until the cloud reclaims the spot machine; null without a notice. */
  readonly preemptionNoticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

interface CommandTarget {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
}

/** Starts a task. */
export interface StartCommand extends CommandTarget {
  readonly op: 'start';
}

/** Stops a task. */
export interface StopCommand extends CommandTarget {
  readonly op: 'stop';
  /** Seconds that the task has to save a checkpoint. */
  readonly gracePeriodS: number;
}

/** Lets the agent drop an exited task from its heartbeats. */
export interface ForgetCommand extends CommandTarget {
  readonly op: 'forget';
}

/** A command to an agent. */
export type AgentCommand = StartCommand | StopCommand | ForgetCommand;

/** The reply to an agent's heartbeat. */
export type HeartbeatReply =
  | { readonly kind: 'ok'; readonly token: FencingToken; readonly commands: readonly AgentCommand[] }
  /** The agent is to turn to another controller: the named one, or any other where null. */
  | { readonly kind: 'redirect'; readonly node: NodeName | null }
  /** This controller cannot answer yet. */
  | { readonly kind: 'busy' };
