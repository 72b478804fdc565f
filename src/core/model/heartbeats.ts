/** Heartbeats of node agents, which carry the status of their tasks, and commands to agents. */
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
  /** Why the task has exited; null if it has not. */
  readonly exitReason: ExitReason | null;
  readonly hasCheckpoint: boolean;
}

/** Identifies and orders the heartbeats of one machine: by agent epoch, then by sequence number. */
export interface HeartbeatId {
  /** Number that the agent increments whenever it restarts or loses its lease. */
  readonly agentEpoch: number;
  readonly sequence: number;
}

/** A heartbeat of an agent, with the status of its machine and tasks. */
export interface Heartbeat extends HeartbeatId {
  readonly machine: MachineName;
  /** Address at which the agent receives direct commands, as host and port. */
  readonly address: string;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  /** The highest fencing token that the agent has seen. */
  readonly token: FencingToken;
  /** Seconds until the cloud reclaims the spot machine; null if it has given no notice. */
  readonly preemptionNoticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

interface CommandTarget {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
}

/** Tells an agent to start an attempt of a task. */
export interface StartCommand extends CommandTarget {
  readonly op: 'start';
}

/** Tells an agent to stop an attempt of a task. */
export interface StopCommand extends CommandTarget {
  readonly op: 'stop';
  /** Seconds that the task has to save a checkpoint before it is ended; 0 ends it at once. */
  readonly gracePeriodS: number;
}

/** Allows an agent to remove an exited attempt of a task from its heartbeats. */
export interface ForgetCommand extends CommandTarget {
  readonly op: 'forget';
}

/** A command to an agent. */
export type AgentCommand = StartCommand | StopCommand | ForgetCommand;

/** The reply to an agent's heartbeat. */
export type HeartbeatReply =
  | { readonly kind: 'ok'; readonly token: FencingToken; readonly commands: readonly AgentCommand[] }
  /** The agent is to send its heartbeats to another controller: to `node`, or to any other if `node` is null. */
  | { readonly kind: 'redirect'; readonly node: NodeName | null }
  /** This controller cannot answer yet, since its view of the state service is not complete. */
  | { readonly kind: 'busy' };
