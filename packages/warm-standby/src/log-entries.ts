/** What the decision log holds: decisions of a shard's holder, and what it has learned and not written down yet. */
import type { ServiceEvent, TaskOnMachine } from '../../../src/core/events.js';
import type { TaskRun } from '../../../src/core/health/slow-machine-detector.js';
import type { ExitReason } from '../../../src/core/model/heartbeats.js';
import type { Attempt, JobId, MachineName } from '../../../src/core/model/ids.js';
import type { WallClockMs } from '../../../src/core/model/time.js';
import type { Hint } from '../../../src/plugin-host/api.js';

type AgentHint = Extract<Hint, { kind: 'agent' }>;

/** One entry. Times are wall-clock times: monotonic clocks of two controllers have nothing in common. */
export type LogEntry =
  | { readonly kind: 'start' | 'stop' | 'preempt'; readonly task: TaskOnMachine }
  /** A task has left its machine; its result may not be written yet. */
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

/** Where an entry belongs. */
export type EntrySubject =
  { readonly kind: 'machine'; readonly machine: MachineName } | { readonly kind: 'job'; readonly job: JobId };

/** An entry and what decides whose shard it belongs to. */
export interface RecordedEntry {
  readonly subject: EntrySubject;
  readonly entry: LogEntry;
}

/** The clocks at one moment, to turn times of one into times of the other. */
export interface ClockReading {
  readonly monotonic: number;
  readonly wallClock: number;
}

const ofMachine = (machine: MachineName, entry: LogEntry): RecordedEntry => ({
  subject: { kind: 'machine', machine },
  entry,
});

const taskOf = (machine: MachineName, c: { job: JobId; index: number; attempt: Attempt }): TaskOnMachine => ({
  machine,
  job: c.job,
  index: c.index,
  attempt: c.attempt,
});

/** The entry that an event of the service makes, or null where the log does not follow it. */
export function entryOf(event: ServiceEvent, now: ClockReading): RecordedEntry | null {
  switch (event.kind) {
    case 'command_sent': {
      const { machine, command } = event;
      if (command.op === 'forget') return null;
      return ofMachine(machine, { kind: command.op, task: taskOf(machine, command) });
    }
    case 'task_preempted':
      return ofMachine(event.task.machine, { kind: 'preempt', task: event.task });
    case 'task_exited':
      return ofMachine(event.task.machine, {
        kind: 'exited',
        task: event.task,
        why: event.reason ?? 'absent',
      });
    case 'heartbeat_recorded': {
      const { machine, address, agentEpoch, sequence, token } = event.heartbeat;
      const heardAt = now.wallClock as WallClockMs;
      return ofMachine(machine, { kind: 'agent', machine, address, agentEpoch, sequence, token, heardAt });
    }
    case 'task_ran':
      return ofMachine(event.machine, { kind: 'run', machine: event.machine, run: event.run });
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
