/** Events of a controller's work, to which plugins subscribe. Without a subscriber no event is created. */
import type { JobFailures } from './health/failure-tracker.js';
import type { TaskRun } from './health/slow-machine-detector.js';
import type { AgentCommand, ExitReason, Heartbeat } from './model/heartbeats.js';
import type { Attempt, JobId, MachineName, TaskIndex, TeamName } from './model/ids.js';
import type { MonotonicMs } from './model/time.js';

/** One attempt of a task on a machine. */
export interface TaskOnMachine {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly machine: MachineName;
}

/** Outcome of a transaction, as far as its sender knows it. */
export type TransactionOutcome = 'ok' | 'conflict' | 'refused' | 'unknown' | 'other';

/** Something that a controller has done or observed. `since` is the time at which the work began. */
export type ServiceEvent =
  | {
      readonly kind: 'job_accepted';
      readonly job: JobId;
      readonly team: TeamName;
      readonly since: MonotonicMs;
    }
  /** The start of a task was decided; it is not committed yet. */
  | { readonly kind: 'task_placed'; readonly task: TaskOnMachine; readonly team: TeamName }
  /** A preemption was decided; it is not committed yet. */
  | { readonly kind: 'task_preempted'; readonly task: TaskOnMachine; readonly preemptor: JobId }
  | { readonly kind: 'command_sent'; readonly machine: MachineName; readonly command: AgentCommand }
  /** A heartbeat or an answer to a direct command was recorded under the machine's present fencing token. */
  | { readonly kind: 'heartbeat_recorded'; readonly heartbeat: Heartbeat }
  | { readonly kind: 'task_exited'; readonly task: TaskOnMachine; readonly reason: ExitReason | null }
  | { readonly kind: 'task_ran'; readonly machine: MachineName; readonly run: TaskRun }
  | { readonly kind: 'job_failing'; readonly job: JobId; readonly failures: JobFailures }
  | {
      readonly kind: 'transaction';
      readonly keys: readonly string[];
      readonly outcome: TransactionOutcome;
      readonly since: MonotonicMs;
    };

/** Receives events. A listener must neither throw nor block. */
export type EventListener = (event: ServiceEvent) => void;

/** Delivers events to subscribers, synchronously and in the order of their subscription. */
export class EventBus {
  private readonly listeners: EventListener[] = [];

  /** Whether there are subscribers; checked before an event is created. */
  get isActive(): boolean {
    return this.listeners.length > 0;
  }

  /** Adds a subscriber for the lifetime of the process. */
  subscribe(listener: EventListener): void {
    this.listeners.push(listener);
  }

  /** Delivers an event to all subscribers before it returns. */
  emit(event: ServiceEvent): void {
    for (const listener of this.listeners) listener(event);
  }
}
