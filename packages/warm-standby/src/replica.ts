/**
 * The standby's side of a shard's decision log. It applies entries in order or not at all, and measures its lag. Replicated
 * decisions are never carried out: which task runs on which machine is read from the state service alone.
 */
import type { NodeName, Version } from '../../../src/core/model/ids.js';
import type { MonotonicMs } from '../../../src/core/model/time.js';
import type { LogEntry } from './log-entries.js';
import { ReplicatedState } from './replicated-state.js';

/** Result of a replication message. */
export type ReplicaOutcome =
  | 'applied'
  /** Entries or parts that precede the message are missing: a snapshot is needed. */
  | 'gap'
  /** The epoch of the message is older than the replica's: its sender has lost the shard since. */
  | 'stale';

/** Consecutive entries of the log, as the holder sends them; without entries it is a heartbeat. */
export interface AppendMessage {
  readonly epoch: Version;
  /** Number of the first entry, counted from 1. */
  readonly first: number;
  readonly entries: readonly LogEntry[];
  /** Number of the holder's newest entry when it sent the message. */
  readonly head: number;
}

/** One part of a snapshot. */
export interface SnapshotMessage {
  readonly epoch: Version;
  /** Number of the last entry that the snapshot includes. */
  readonly upTo: number;
  /** Index of the part, counted from 0. */
  readonly part: number;
  /** Number of parts of the snapshot. */
  readonly parts: number;
  readonly entries: readonly LogEntry[];
}

/** How far a replica is behind its holder. */
export interface ReplicationLag {
  readonly entries: number;
  /** Milliseconds from the append that last made the replica complete to the holder's latest message. */
  readonly ms: number;
}

interface PendingSnapshot {
  readonly upTo: number;
  readonly parts: number;
  readonly state: ReplicatedState;
  nextPart: number;
}

/** A standby's replica of one shard's decision log. */
export class Replica {
  epoch: Version = 0 as Version;
  /** Number of the last entry applied; null until a snapshot or the beginning of the log is applied. */
  applied: number | null = null;
  state = new ReplicatedState();
  private head = 0;
  private caughtUpAt: MonotonicMs | null = null;
  private heardAt: MonotonicMs | null = null;
  private pending: PendingSnapshot | null = null;

  constructor(readonly shard: NodeName) {}

  /** Applies the entries that follow those applied so far and skips those applied already. */
  append(message: AppendMessage, now: MonotonicMs): ReplicaOutcome {
    if (message.epoch < this.epoch) return 'stale';
    if (message.epoch > this.epoch) this.resetTo(message.epoch);
    this.heardAt = now;
    this.head = message.head;
    if (this.applied === null && message.first === 1) this.applied = 0;
    if (this.applied === null || message.first > this.applied + 1) return 'gap';
    const alreadyApplied = this.applied + 1 - message.first;
    for (const entry of message.entries.slice(alreadyApplied)) {
      this.state.apply(entry);
      this.applied++;
    }
    if (this.applied >= this.head) this.caughtUpAt = now;
    return 'applied';
  }

  /** Applies one part of a snapshot; the last part replaces the replicated state. */
  applySnapshotPart(message: SnapshotMessage, now: MonotonicMs): ReplicaOutcome {
    if (message.epoch < this.epoch) return 'stale';
    if (message.epoch > this.epoch) this.resetTo(message.epoch);
    this.heardAt = now;
    // A delayed or repeated snapshot must not revert entries applied since.
    if (this.applied !== null && message.upTo <= this.applied) return 'applied';
    if (message.part === 0)
      this.pending = { upTo: message.upTo, parts: message.parts, state: new ReplicatedState(), nextPart: 0 };
    const { pending } = this;
    if (
      pending?.nextPart !== message.part ||
      pending.upTo !== message.upTo ||
      pending.parts !== message.parts
    ) {
      this.pending = null;
      return 'gap';
    }
    for (const entry of message.entries) pending.state.apply(entry);
    pending.nextPart++;
    if (pending.nextPart < pending.parts) return 'applied';
    this.state = pending.state;
    this.applied = pending.upTo;
    this.pending = null;
    return 'applied';
  }

  /** The lag at the holder's latest message; null until the replica has caught up once under its epoch. */
  lag(): ReplicationLag | null {
    if (this.applied === null || this.heardAt === null || this.caughtUpAt === null) return null;
    return { entries: Math.max(0, this.head - this.applied), ms: this.heardAt - this.caughtUpAt };
  }

  /** Whether the replica is warm: it follows the given epoch, and its lag is within both bounds. */
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
