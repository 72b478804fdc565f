/**
 * The holder's side of a shard's log: a bounded tail of numbered entries, and the state that all entries add up to. Adding to
 * it never waits for anybody.
 */
import type { NodeName, Version } from '../../../src/core/model/ids.js';
import type { LogEntry } from './log-entries.js';
import { ReplicatedState } from './replicated-state.js';

/** Agents report every few seconds: without a change theirs is an entry only so often. */
const AGENT_ENTRY_INTERVAL_MS = 10_000;

/** Numbered entries, in order and without a gap. */
export interface Batch {
  /** Number of the first entry. */
  readonly first: number;
  readonly entries: readonly LogEntry[];
}

/** The log of one shard under one epoch. */
export class DecisionLog {
  readonly state = new ReplicatedState();
  /** Number of the newest entry; 0: none. */
  head = 0;
  private tail: LogEntry[] = [];

  constructor(
    readonly shard: NodeName,
    readonly epoch: Version,
    private readonly tailEntries: number,
  ) {}

  /** Adds an entry, unless it is a heartbeat that says nothing new. */
  append(entry: LogEntry): void {
    if (entry.kind === 'agent' && this.isKnown(entry)) return;
    this.head++;
    this.state.apply(entry);
    this.tail.push(entry);
    // Cut in one go now and then, rather than shifted with each entry.
    if (this.tail.length > 2 * this.tailEntries) this.tail = this.tail.slice(-this.tailEntries);
  }

  private isKnown(entry: Extract<LogEntry, { kind: 'agent' }>): boolean {
    const known = this.state.agentEntry(entry.machine);
    if (known === undefined) return false;
    const isSame =
      known.address === entry.address && known.agentEpoch === entry.agentEpoch && known.token === entry.token;
    return isSame && entry.heardAt - known.heardAt < AGENT_ENTRY_INTERVAL_MS;
  }

  /** The entries after a number, or null where the tail does not reach back that far. */
  after(acknowledged: number, most: number): Batch | null {
    const before = this.head - this.tail.length;
    if (acknowledged < before || acknowledged > this.head) return null;
    const from = acknowledged - before;
    return { first: acknowledged + 1, entries: this.tail.slice(from, from + most) };
  }
}
