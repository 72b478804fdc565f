/**
 * The holder's side of a shard's decision log: a bounded tail of numbered entries, and the state that results from all
 * entries. Appending never waits for a standby.
 */
import type { NodeName, Version } from '../../../src/core/model/ids.js';
import type { LogEntry } from './log-entries.js';
import { ReplicatedState } from './replicated-state.js';

/** Minimum interval between entries of an unchanged agent: it sends a heartbeat every few seconds. */
const AGENT_ENTRY_INTERVAL_MS = 10_000;

/** Consecutive entries of a log. */
export interface Batch {
  /** Number of the first entry. */
  readonly first: number;
  readonly entries: readonly LogEntry[];
}

/** The decision log of one shard under one epoch. */
export class DecisionLog {
  readonly state = new ReplicatedState();
  /** Number of the newest entry; 0 while the log is empty. */
  head = 0;
  private tail: LogEntry[] = [];

  constructor(
    readonly shard: NodeName,
    readonly epoch: Version,
    private readonly tailEntries: number,
  ) {}

  /** Appends an entry, unless it is an unchanged heartbeat within `AGENT_ENTRY_INTERVAL_MS` of the agent's latest entry. */
  append(entry: LogEntry): void {
    if (entry.kind === 'agent' && this.isRedundant(entry)) return;
    this.head++;
    this.state.apply(entry);
    this.tail.push(entry);
    // Truncated once every `tailEntries` appends: removing the oldest entry at each append would shift the whole array.
    if (this.tail.length > 2 * this.tailEntries) this.tail = this.tail.slice(-this.tailEntries);
  }

  private isRedundant(entry: Extract<LogEntry, { kind: 'agent' }>): boolean {
    const latest = this.state.agentEntry(entry.machine);
    if (latest === undefined) return false;
    const isSame =
      latest.address === entry.address &&
      latest.agentEpoch === entry.agentEpoch &&
      latest.token === entry.token;
    return isSame && entry.heardAt - latest.heardAt < AGENT_ENTRY_INTERVAL_MS;
  }

  /** At most `limit` entries after the acknowledged one; null if the tail does not reach back that far. */
  after(acknowledged: number, limit: number): Batch | null {
    const lastDropped = this.head - this.tail.length;
    if (acknowledged < lastDropped || acknowledged > this.head) return null;
    const from = acknowledged - lastDropped;
    return { first: acknowledged + 1, entries: this.tail.slice(from, from + limit) };
  }
}
