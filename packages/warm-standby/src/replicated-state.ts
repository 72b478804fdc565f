/**
 * The state that a decision log adds up to: what a snapshot holds, and what a standby has at a takeover. The holder and its
 * standbys keep it by the same code from the same entries.
 */
import { evictOldest } from '../../../src/core/bounded-map.js';
import type { JobId, MachineName } from '../../../src/core/model/ids.js';
import type { Hint } from '../../../src/plugin-host/api.js';
import type { LogEntry } from './entries.js';

type AgentEntry = Extract<LogEntry, { kind: 'agent' }>;
type FailingEntry = Extract<LogEntry, { kind: 'job_failing' }>;
type RunEntry = Extract<LogEntry, { kind: 'run' }>;
type ExitedEntry = Extract<LogEntry, { kind: 'exited' }>;

/** The latest runs that are kept: enough to compare machines by. */
const MOST_RUNS = 300;
/** Ended tasks that are kept until their job's results are committed. */
const MOST_LEFT = 2000;

/** Which machines and jobs are still there. */
export interface Present {
  readonly hasMachine: (machine: MachineName) => boolean;
  readonly hasJob: (job: JobId) => boolean;
}

/** What one slice's log says up to some entry. */
export class ReplicatedState {
  private readonly workers = new Map<MachineName, AgentEntry>();
  private readonly failing = new Map<JobId, FailingEntry>();
  private readonly left = new Map<string, ExitedEntry>();
  private runs: RunEntry[] = [];

  apply(entry: LogEntry): void {
    switch (entry.kind) {
      case 'agent':
        this.workers.set(entry.machine, entry);
        return;
      case 'job_failing':
        this.failing.set(entry.job, entry);
        return;
      case 'run':
        this.runs.push(entry);
        if (this.runs.length > 2 * MOST_RUNS) this.runs = this.runs.slice(-MOST_RUNS);
        return;
      case 'exited': {
        const { job, index, attempt } = entry.task;
        this.left.set(`${job}/${index}@${attempt}`, entry);
        evictOldest(this.left, MOST_LEFT);
        return;
      }
      case 'start':
      case 'stop':
      case 'preempt':
      // Followed for their order only: what runs where is read from the state service.
    }
  }

  /** Forgets what concerns machines and jobs that are gone. */
  prune({ hasMachine, hasJob }: Present): void {
    for (const machine of this.workers.keys()) if (!hasMachine(machine)) this.workers.delete(machine);
    for (const job of this.failing.keys()) if (!hasJob(job)) this.failing.delete(job);
    for (const [k, { task }] of this.left) if (!hasJob(task.job)) this.left.delete(k);
    this.runs = this.runs.slice(-MOST_RUNS).filter(({ machine }) => hasMachine(machine));
  }

  /** Entries from which the same state is made. */
  entries(): LogEntry[] {
    return [...this.workers.values(), ...this.failing.values(), ...this.left.values(), ...this.runs];
  }

  /** The last entry of a worker, if any. */
  worker(machine: MachineName): AgentEntry | undefined {
    return this.workers.get(machine);
  }

  /** Ended tasks whose job is not over yet: their results may not be committed. */
  get endedTasks(): number {
    return this.left.size;
  }

  get workerCount(): number {
    return this.workers.size;
  }

  /** What a controller that takes over can learn from it. */
  hints(wallMs: number): Hint[] {
    const out: Hint[] = [];
    for (const { machine, address, agentEpoch, sequence, token } of this.workers.values())
      out.push({ kind: 'agent', machine, address, agentEpoch, sequence, token });
    for (const { job, rounds, why, machines, retryAt } of this.failing.values())
      out.push({ kind: 'job_failing', job, rounds, why, machines, retryInMs: Math.max(0, retryAt - wallMs) });
    for (const { machine, run } of this.runs) out.push({ kind: 'task_ran', machine, run });
    return out;
  }
}
