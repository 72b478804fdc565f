/**
 * What a controller tells of its work while it does it, for packages that follow, trace or count it. Nobody has to listen:
 * without a listener an event is not even made.
 */
import type { JobFailures } from './health/failure-tracker.js';
import type { TaskRun } from './health/slow-machine-detector.js';
import type { AgentCommand, ExitReason, Heartbeat } from './model/heartbeats.js';
import type { Attempt, JobId, MachineName, TaskIndex, TeamName } from './model/ids.js';
import type { MonotonicMs } from './model/time.js';

/** One start of a task on a machine. */
export interface TaskOnMachine {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly machine: MachineName;
}

/** How a transaction ended, as far as its sender knows. */
export type TransactionOutcome = 'ok' | 'conflict' | 'refused' | 'unknown' | 'other';

/** Something that a controller did or learned. */
export type ServiceEvent =
  | {
      readonly kind: 'job_accepted';
      readonly job: JobId;
      readonly team: TeamName;
      readonly since: MonotonicMs;
    }
  /** Decided, and not yet committed. */
  | { readonly kind: 'task_placed'; readonly task: TaskOnMachine; readonly team: TeamName }
  /** Decided, and not yet committed. */
  | { readonly kind: 'task_preempted'; readonly task: TaskOnMachine; readonly inFavourOf: JobId }
  | { readonly kind: 'command_sent'; readonly machine: MachineName; readonly command: AgentCommand }
  /** A report, or the answer to a direct message, was taken in under the machine's present token. */
  | { readonly kind: 'heartbeat_recorded'; readonly heartbeat: Heartbeat }
  | { readonly kind: 'task_exited'; readonly task: TaskOnMachine; readonly why: ExitReason | null }
  | { readonly kind: 'task_ran'; readonly machine: MachineName; readonly run: TaskRun }
  | { readonly kind: 'job_failing'; readonly job: JobId; readonly failures: JobFailures }
  | {
      readonly kind: 'transaction';
      readonly keys: readonly string[];
      readonly outcome: TransactionOutcome;
      readonly since: MonotonicMs;
    };

/** Takes in events; must neither throw nor wait. */
export type EventListener = (event: ServiceEvent) => void;

/** Hands events to those who listen. */
export class EventBus {
  private readonly listeners: EventListener[] = [];

  /** Whether anybody listens: whoever makes events asks first. */
  get isActive(): boolean {
    return this.listeners.length > 0;
  }

  subscribe(listener: EventListener): void {
    this.listeners.push(listener);
  }

  emit(event: ServiceEvent): void {
    for (const listener of this.listeners) listener(event);
  }
}
