/**
 * The standby's side of a shard's log. It applies entries in order or not at all, and knows how far it is behind. Nothing
 * that it holds is carried out: what runs where is read from the state service alone.
 */
import type { NodeName, Version } from '../../../src/core/model/ids.js';
import type { MonotonicMs } from '../../../src/core/model/time.js';
import type { LogEntry } from './log-entries.js';
import { ReplicatedState } from './replicated-state.js';

/** What became of a message. */
export type ReplicaOutcome =
  | 'applied'
  /** Entries are missing before it: a snapshot is needed. */
  | 'gap'
  /** Its sender has lost the shard since. */
  | 'stale';

/** Entries of the log, as they come from the holder. */
export interface AppendMessage {
  readonly epoch: Version;
  readonly first: number;
  readonly entries: readonly LogEntry[];
  /** The newest entry that the holder had when it sent this. */
  readonly head: number;
}

/** One part of a snapshot. */
export interface SnapshotMessage {
  readonly epoch: Version;
  /** The snapshot holds all up to this entry. */
  readonly upTo: number;
  readonly part: number;
  readonly parts: number;
  readonly entries: readonly LogEntry[];
}

/** How far a replica is behind its holder. */
export interface ReplicationLag {
  readonly entries: number;
  /** Since it last had all that the holder had, as far as it was told. */
  readonly ms: number;
}

interface PendingSnapshot {
  readonly upTo: number;
  readonly parts: number;
  readonly state: ReplicatedState;
  next: number;
}

/** A shard as a standby follows it. */
export class Replica {
  epoch: Version = 0 as Version;
  /** Number of the last entry applied; null until a snapshot or the beginning of the log was. */
  applied: number | null = null;
  state = new ReplicatedState();
  private head = 0;
  private caughtUpAt: MonotonicMs | null = null;
  private heardAt: MonotonicMs | null = null;
  private pending: PendingSnapshot | null = null;

  constructor(readonly shard: NodeName) {}

  /** Applies entries that follow those applied so far; known ones are skipped. */
  append(message: AppendMessage, now: MonotonicMs): ReplicaOutcome {
    if (message.epoch < this.epoch) return 'stale';
    if (message.epoch > this.epoch) this.resetTo(message.epoch);
    this.heardAt = now;
    this.head = message.head;
    if (this.applied === null && message.first === 1) this.applied = 0;
    if (this.applied === null || message.first > this.applied + 1) return 'gap';
    const known = this.applied + 1 - message.first;
    for (const entry of message.entries.slice(known)) {
      this.state.apply(entry);
      this.applied++;
    }
    if (this.applied >= this.head) this.caughtUpAt = now;
    return 'applied';
  }

  /** Takes in one part of a snapshot; the last part replaces the replicated state. */
  snapshot(message: SnapshotMessage, now: MonotonicMs): ReplicaOutcome {
    if (message.epoch < this.epoch) return 'stale';
    if (message.epoch > this.epoch) this.resetTo(message.epoch);
    this.heardAt = now;
    // A late copy of a snapshot must not take the replica back.
    if (this.applied !== null && message.upTo <= this.applied) return 'applied';
    if (message.part === 0)
      this.pending = { upTo: message.upTo, parts: message.parts, state: new ReplicatedState(), next: 0 };
    const { pending } = this;
    if (pending?.next !== message.part || pending.upTo !== message.upTo || pending.parts !== message.parts) {
      this.pending = null;
      return 'gap';
    }
    for (const entry of message.entries) pending.state.apply(entry);
    pending.next++;
    if (pending.next < pending.parts) return 'applied';
    this.state = pending.state;
    this.applied = pending.upTo;
    this.pending = null;
    return 'applied';
  }

  /** How far it was behind when it last heard its holder; null: it knows nothing yet. */
  lag(): ReplicationLag | null {
    if (this.applied === null || this.heardAt === null || this.caughtUpAt === null) return null;
    return { entries: Math.max(0, this.head - this.applied), ms: this.heardAt - this.caughtUpAt };
  }

  /** Whether it may claim to be warm for the shard under its present epoch. */
  isWarm(epoch: Version, maxLagEntries: number, maxLagMs: number): boolean {
    const lag = this.lag();
    return this.epoch === epoch && lag !== null && lag.entries <= maxLagEntries && lag.ms <= maxLagMs;
  }

  private resetTo(epoch: Version): void {
    this.epoch = epoch;
    this.applied = null;
    this.state = new ReplicatedState();
    this.head = 0;
    this.caughtUpAt = null;
    this.pending = null;
  }
}
