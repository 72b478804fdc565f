/**
 * Group commit: independent change sets that arrive together, such as the submissions of thousands of small jobs, share
 * transactions. A change set that arrives alone is sent at once.
 */
import { REQUEST_PRIORITY } from '../rate-limiter.js';
import { GUARDS_PER_OPERATION, isGuardedOnAny, mergeChangeSets, type ChangeSet } from './change-set.js';
import type { StateClient } from './state-client.js';
import type { TransactionConflict, TransactionResult } from './transaction-result.js';

/** Maximum number of transactions in flight; change sets that arrive meanwhile are queued for the next batch. */
const MAX_IN_FLIGHT = 2;
/** Maximum bytes of operations in a batch; guards and field names fill the rest of the state service's 64 KiB. */
const MAX_BATCH_BYTES = 48_000;
/** A change set that would be queued longer is refused at once: its user would time out before it is sent. */
const MAX_WAIT_MS = 3000;

interface QueueEntry {
  readonly changeSet: ChangeSet;
  readonly resolve: (result: TransactionResult) => void;
}

/** Queues change sets while other transactions are in flight and commits them in batches. */
export class GroupCommit {
  private queue: QueueEntry[] = [];
  /** Results of change sets whose outcome is not known yet, by the name passed to `commit`. */
  private readonly pendingByName = new Map<string, Promise<TransactionResult>>();
  private inFlight = 0;

  constructor(private readonly client: StateClient) {}

  /**
   * Commits a change set and resolves to its own result, independent of the others in the same transaction; `refused`
   * at once if it would be queued too long. While a name is pending, further calls with it share its result and send
   * nothing: users who got no answer in time retry.
   */
  commit(name: string, changeSet: ChangeSet): Promise<TransactionResult> {
    const pending = this.pendingByName.get(name);
    if (pending !== undefined) return pending;
    if (this.queue.length >= this.maxQueued()) return Promise.resolve({ kind: 'refused' });
    const result = new Promise<TransactionResult>((resolve) => {
      this.queue.push({ changeSet, resolve });
    }).finally(() => this.pendingByName.delete(name));
    this.pendingByName.set(name, result);
    this.sendQueued();
    return result;
  }

  /** Maximum length of the queue: as many operations as can be written within `MAX_WAIT_MS`. */
  private maxQueued(): number {
    const fairShare = (this.writesPerSecond() * MAX_WAIT_MS) / 1000;
    return Math.max(fairShare, this.client.writesWithin(MAX_WAIT_MS));
  }

  /** Operations per second that this controller may write if all controllers share the rate equally; at least 1. */
  private writesPerSecond(): number {
    const { writeRps, controllerCount } = this.client.limits;
    return Math.max(1, Math.floor(writeRps / controllerCount));
  }

  private sendQueued(): void {
    while (this.inFlight < MAX_IN_FLIGHT && this.queue.length > 0) {
      const batch = this.takeBatch();
      this.inFlight++;
      void this.send(batch)
        .catch(() => {
          for (const entry of batch) entry.resolve({ kind: 'unknown' });
        })
        .finally(() => {
          this.inFlight--;
          this.sendQueued();
        });
    }
  }

  /**
   * Removes from the queue as many change sets as fit into one transaction and into a second of this controller's write
   * rate; at least one.
   */
  private takeBatch(): QueueEntry[] {
    const { operationsPerTransaction } = this.client.limits;
    const maxOperations = Math.min(operationsPerTransaction, this.writesPerSecond());
    const maxGuards = operationsPerTransaction * GUARDS_PER_OPERATION;
    let operations = 0;
    let guards = 0;
    let bytes = 0;
    let batchSize = 0;
    for (const { changeSet } of this.queue) {
      operations += changeSet.operations.length;
      guards += changeSet.guards.length;
      bytes += Buffer.byteLength(JSON.stringify(changeSet.operations));
      const isFull = operations > maxOperations || guards > maxGuards || bytes > MAX_BATCH_BYTES;
      if (batchSize > 0 && isFull) break;
      batchSize++;
    }
    return this.queue.splice(0, batchSize);
  }

  private async send(batch: readonly QueueEntry[]): Promise<void> {
    const merged = mergeChangeSets(batch.map(({ changeSet }) => changeSet));
    const result = await this.client.transactWithRetry(merged, REQUEST_PRIORITY.users);
    if (batch.length > 1 && result.kind === 'conflict') {
      this.requeueUnaffected(batch, result);
      return;
    }
    if (batch.length > 1 && result.kind === 'rejected') {
      await this.sendSeparately(batch);
      return;
    }
    for (const entry of batch) entry.resolve(result);
  }

  /**
   * Resolves the change sets whose guards failed, at least one, with the conflict, and puts the others back at the head
   * of the queue.
   */
  private requeueUnaffected(batch: readonly QueueEntry[], result: TransactionConflict): void {
    const failedKeys = new Set(result.failed);
    const hasFailed = ({ changeSet }: QueueEntry) => isGuardedOnAny(changeSet, failedKeys);
    for (const entry of batch.filter(hasFailed)) entry.resolve(result);
    this.queue.unshift(...batch.filter((entry) => !hasFailed(entry)));
  }

  /** Sends each change set of a rejected batch alone: one that is malformed or too large must not fail the others. */
  private async sendSeparately(batch: readonly QueueEntry[]): Promise<void> {
    for (const entry of batch)
      entry.resolve(await this.client.transactWithRetry(entry.changeSet, REQUEST_PRIORITY.users));
  }
}
