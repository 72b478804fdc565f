/**
 * The state that results from a decision log: the content of a snapshot, and what a standby knows at a failover. The holder
 * and its standbys derive it with the same code from the same entries.
 */
import { evictOldest } from '../../../src/core/bounded-map.js';
import type { JobId, MachineName } from '../../../src/core/model/ids.js';
import type { Hint } from '../../../src/plugin-host/api.js';
import type { LogEntry } from './log-entries.js';

type AgentEntry = Extract<LogEntry, { kind: 'agent' }>;
type FailingEntry = Extract<LogEntry, { kind: 'job_failing' }>;
type RunEntry = Extract<LogEntry, { kind: 'run' }>;
type ExitedEntry = Extract<LogEntry, { kind: 'exited' }>;

/** Number of latest task runs kept: enough to compare the run times of machines. */
const MAX_RUNS = 300;
/** Maximum number of exited tasks kept until their job's results are committed; beyond it the oldest are evicted. */
const MAX_EXITS = 2000;

/** Which machines and jobs still exist; entries about others are pruned. */
export interface LiveEntities {
  /** Whether the machine belongs to the shard. */
  readonly hasMachine: (machine: MachineName) => boolean;
  /** Whether the job is unfinished. */
  readonly hasJob: (job: JobId) => boolean;
}

/** The state that results from one shard's log up to some entry. */
export class ReplicatedState {
  private readonly agents = new Map<MachineName, AgentEntry>();
  private readonly failing = new Map<JobId, FailingEntry>();
  private readonly exits = new Map<string, ExitedEntry>();
  private runs: RunEntry[] = [];

  /** Applies the next entry of the log. */
  apply(entry: LogEntry): void {
    switch (entry.kind) {
      case 'agent':
        this.agents.set(entry.machine, entry);
        return;
      case 'job_failing':
        this.failing.set(entry.job, entry);
        return;
      case 'run':
        this.runs.push(entry);
        if (this.runs.length > 2 * MAX_RUNS) this.runs = this.runs.slice(-MAX_RUNS);
        return;
      case 'exited': {
        const { job, index, attempt } = entry.task;
        this.exits.set(`${job}/${index}@${attempt}`, entry);
        evictOldest(this.exits, MAX_EXITS);
        return;
      }
      case 'start':
      case 'stop':
      case 'preempt':
      // Replicated for their order only: which task runs on which machine is read from the state service.
    }
  }

  /** Removes entries about machines and jobs that no longer exist. */
  prune({ hasMachine, hasJob }: LiveEntities): void {
    for (const machine of this.agents.keys()) if (!hasMachine(machine)) this.agents.delete(machine);
    for (const job of this.failing.keys()) if (!hasJob(job)) this.failing.delete(job);
    for (const [key, { task }] of this.exits) if (!hasJob(task.job)) this.exits.delete(key);
    this.runs = this.runs.slice(-MAX_RUNS).filter(({ machine }) => hasMachine(machine));
  }

  /** Entries that make an empty state equal to this one when applied in this order. */
  entries(): LogEntry[] {
    return [...this.agents.values(), ...this.failing.values(), ...this.exits.values(), ...this.runs];
  }

  /** The latest entry of the machine's agent; undefined if there is none. */
  agentEntry(machine: MachineName): AgentEntry | undefined {
    return this.agents.get(machine);
  }

  /** Number of exited tasks of unfinished jobs: their results may not be committed yet. */
  get uncommittedExitCount(): number {
    return this.exits.size;
  }

  get agentCount(): number {
    return this.agents.size;
  }

  /** Hints for the controller that takes over; `wallMs` is its wall-clock time, from which retry delays are counted. */
  hints(wallMs: number): Hint[] {
    const out: Hint[] = [];
    for (const { machine, address, agentEpoch, sequence, token } of this.agents.values())
      out.push({ kind: 'agent', machine, address, agentEpoch, sequence, token });
    for (const { job, rounds, why, machines, retryAt } of this.failing.values())
      out.push({ kind: 'job_failing', job, rounds, why, machines, retryInMs: Math.max(0, retryAt - wallMs) });
    for (const { machine, run } of this.runs) out.push({ kind: 'task_ran', machine, run });
    return out;
  }
}
