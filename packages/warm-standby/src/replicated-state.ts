/**
 * The state that a decision log adds up to: what a snapshot holds, and what a standby has at a failover. The holder and its
 * standbys keep it by the same code from the same entries.
 */
import { evictOldest } from '../../../src/core/bounded-map.js';
import type { JobId, MachineName } from '../../../src/core/model/ids.js';
import type { Hint } from '../../../src/plugin-host/api.js';
import type { LogEntry } from './log-entries.js';

type AgentEntry = Extract<LogEntry, { kind: 'agent' }>;
type FailingEntry = Extract<LogEntry, { kind: 'job_failing' }>;
type RunEntry = Extract<LogEntry, { kind: 'run' }>;
type ExitedEntry = Extract<LogEntry, { kind: 'exited' }>;

/** The latest runs that are kept: enough to compare machines by. */
const MAX_RUNS = 300;
/** Ended tasks that are kept until their job's results are committed. */
const MAX_EXITS = 2000;

/** Which machines and jobs are still there. */
export interface LiveEntities {
  readonly hasMachine: (machine: MachineName) => boolean;
  readonly hasJob: (job: JobId) => boolean;
}

/** What one shard's log says up to some entry. */
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
      // Followed for their order only: what runs where is read from the state service.
    }
  }

  /** Forgets what concerns machines and jobs that are gone. */
  prune({ hasMachine, hasJob }: LiveEntities): void {
    for (const machine of this.agents.keys()) if (!hasMachine(machine)) this.agents.delete(machine);
    for (const job of this.failing.keys()) if (!hasJob(job)) this.failing.delete(job);
    for (const [k, { task }] of this.exits) if (!hasJob(task.job)) this.exits.delete(k);
    this.runs = this.runs.slice(-MAX_RUNS).filter(({ machine }) => hasMachine(machine));
  }

  /** Entries from which the same state is made. */
  entries(): LogEntry[] {
    return [...this.agents.values(), ...this.failing.values(), ...this.exits.values(), ...this.runs];
  }

  /** The last entry of an agent, if any. */
  agentEntry(machine: MachineName): AgentEntry | undefined {
    return this.agents.get(machine);
  }

  /** Ended tasks whose job is not over yet: their results may not be committed. */
  get uncommittedExits(): number {
    return this.exits.size;
  }

  get agentCount(): number {
    return this.agents.size;
  }

  /** What a controller that takes over can learn from it. */
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
