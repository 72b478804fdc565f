/** Entries of a decision log: decisions of a shard's holder, and what it has learned but not committed yet. */
import type { ServiceEvent, TaskOnMachine } from '../../../src/core/events.js';
import type { TaskRun } from '../../../src/core/health/slow-machine-detector.js';
import type { ExitReason } from '../../../src/core/model/heartbeats.js';
import type { Attempt, JobId, MachineName } from '../../../src/core/model/ids.js';
import type { WallClockMs } from '../../../src/core/model/time.js';
import type { Hint } from '../../../src/plugin-host/api.js';

type AgentHint = Extract<Hint, { kind: 'agent' }>;

/** One entry of a decision log. Its times are wall-clock times: monotonic clocks of two processes are not comparable. */
export type LogEntry =
  | { readonly kind: 'start' | 'stop' | 'preempt'; readonly task: TaskOnMachine }
  /** A task has left its machine; its result may not be committed yet. `absent`: its agent no longer reports it. */
  | { readonly kind: 'exited'; readonly task: TaskOnMachine; readonly why: ExitReason | 'absent' }
  | (AgentHint & { readonly heardAt: WallClockMs })
  | {
      readonly kind: 'job_failing';
      readonly job: JobId;
      readonly rounds: number;
      readonly why: 'error' | 'unknown';
      readonly machines: readonly MachineName[];
      readonly retryAt: WallClockMs;
    }
  | { readonly kind: 'run'; readonly machine: MachineName; readonly run: TaskRun };

/** The machine or the job that an entry is about; it decides which shards' logs get the entry. */
export type EntrySubject =
  { readonly kind: 'machine'; readonly machine: MachineName } | { readonly kind: 'job'; readonly job: JobId };

/** An entry with its subject. */
export interface RecordedEntry {
  readonly subject: EntrySubject;
  readonly entry: LogEntry;
}

/** Both clocks at one moment, in milliseconds, to convert monotonic times to wall-clock times. */
export interface ClockReading {
  readonly monotonic: number;
  readonly wallClock: number;
}

const machineEntry = (machine: MachineName, entry: LogEntry): RecordedEntry => ({
  subject: { kind: 'machine', machine },
  entry,
});

const taskOf = (
  machine: MachineName,
  command: { job: JobId; index: number; attempt: Attempt },
): TaskOnMachine => ({
  machine,
  job: command.job,
  index: command.index,
  attempt: command.attempt,
});

/** The log entry for an event of the service; null for events that are not logged. */
export function entryOf(event: ServiceEvent, now: ClockReading): RecordedEntry | null {
  switch (event.kind) {
    case 'command_sent': {
      const { machine, command } = event;
      if (command.op === 'forget') return null;
      return machineEntry(machine, { kind: command.op, task: taskOf(machine, command) });
    }
    case 'task_preempted':
      return machineEntry(event.task.machine, { kind: 'preempt', task: event.task });
    case 'task_exited':
      return machineEntry(event.task.machine, {
        kind: 'exited',
        task: event.task,
        why: event.reason ?? 'absent',
      });
    case 'heartbeat_recorded': {
      const { machine, address, agentEpoch, sequence, token } = event.heartbeat;
      const heardAt = now.wallClock as WallClockMs;
      return machineEntry(machine, { kind: 'agent', machine, address, agentEpoch, sequence, token, heardAt });
    }
    case 'task_ran':
      return machineEntry(event.machine, { kind: 'run', machine: event.machine, run: event.run });
    case 'job_failing': {
      const { job, failures } = event;
      const { rounds, why, machines, until } = failures;
      const retryAt = (now.wallClock + Math.max(0, until - now.monotonic)) as WallClockMs;
      return {
        subject: { kind: 'job', job },
        entry: { kind: 'job_failing', job, rounds, why, machines: [...machines], retryAt },
      };
    }
    case 'job_accepted':
    case 'task_placed':
    case 'transaction':
      return null;
  }
}
