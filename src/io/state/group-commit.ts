/**
 * Commits independent changes that arrive together, such as the submissions of thousands of small jobs, in shared
 * transactions. A change that arrives alone is sent at once.
 */
import { REQUEST_PRIORITY } from '../rate-limiter.js';
import { GUARDS_PER_OPERATION, type ChangeSet } from './change-set.js';
import type { StateClient, TransactionResult } from './state-client.js';

/** Transactions under way at once; changes that arrive meanwhile are gathered for the next one. */
const MAX_IN_FLIGHT = 2;
/** Bytes of changes in one transaction, below the service's limit by the size of guards and names. */
const MAX_BATCH_BYTES = 48_000;
/** A change that would wait longer is refused at once: its user would have given up before its turn. */
const MAX_WAIT_MS = 3000;

interface PendingChange {
  readonly changeSet: ChangeSet;
  readonly resolve: (result: TransactionResult) => void;
}

/** Gathers changes while other transactions are under way, and commits them in batches. */
export class GroupCommit {
  private queue: PendingChange[] = [];
  /** Changes whose outcome is not known yet, by name. */
  private readonly pending = new Map<string, Promise<TransactionResult>>();
  private inFlight = 0;

  constructor(private readonly client: StateClient) {}

  /**
   * Commits a change and returns its own outcome, whatever becomes of the others in the same transaction. A change under
   * a name that is pending already is not sent a second time: users who got no answer in time retry.
   */
  commit(name: string, changeSet: ChangeSet): Promise<TransactionResult> {
    const pending = this.pending.get(name);
    if (pending !== undefined) return pending;
    if (this.queue.length >= this.maxQueued()) return Promise.resolve({ kind: 'refused' });
    const result = new Promise<TransactionResult>((resolve) => {
      this.queue.push({ changeSet, resolve });
    }).finally(() => this.pending.delete(name));
    this.pending.set(name, result);
    this.sendQueued();
    return result;
  }

  /** As many changes as can be written within the longest wait. */
  private maxQueued(): number {
    const fairShare = (this.writesPerSecond() * MAX_WAIT_MS) / 1000;
    return Math.max(fairShare, this.client.writesWithin(MAX_WAIT_MS));
  }

  /** This controller's share of the write rate. */
  private writesPerSecond(): number {
    const { writeRps, nodes } = this.client.limits;
    return Math.max(1, Math.floor(writeRps / nodes));
  }

  private sendQueued(): void {
    while (this.inFlight < MAX_IN_FLIGHT && this.queue.length > 0) {
      const batch = this.takeBatch();
      this.inFlight++;
      void this.send(batch)
        .catch(() => {
          for (const change of batch) change.resolve({ kind: 'unknown' });
        })
        .finally(() => {
          this.inFlight--;
          this.sendQueued();
        });
    }
  }

  /** Takes as many queued changes as fit into one transaction and may be written within a second; at least one. */
  private takeBatch(): PendingChange[] {
    const { operationsPerTransaction } = this.client.limits;
    const maxOperations = Math.min(operationsPerTransaction, this.writesPerSecond());
    const maxGuards = operationsPerTransaction * GUARDS_PER_OPERATION;
    let operations = 0;
    let guards = 0;
    let bytes = 0;
    let size = 0;
    for (const { changeSet } of this.queue) {
      operations += changeSet.operations.length;
      guards += changeSet.guards.length;
      bytes += Buffer.byteLength(JSON.stringify(changeSet.operations));
      const isFull = operations > maxOperations || guards > maxGuards || bytes > MAX_BATCH_BYTES;
      if (size > 0 && isFull) break;
      size++;
    }
    return this.queue.splice(0, size);
  }

  private async send(batch: readonly PendingChange[]): Promise<void> {
    const result = await this.client.transactWithRetry(mergeChanges(batch), REQUEST_PRIORITY.users);
    if (batch.length > 1 && result.kind === 'conflict') {
      this.requeueUnaffected(batch, result);
      return;
    }
    if (batch.length > 1 && result.kind === 'rejected') {
      await this.sendSeparately(batch);
      return;
    }
    for (const change of batch) change.resolve(result);
  }

  /** Answers the changes whose guards have failed, at least one, and queues the others again. */
  private requeueUnaffected(
    batch: readonly PendingChange[],
    result: TransactionResult & { kind: 'conflict' },
  ): void {
    const failedKeys = new Set(result.failed);
    const hasFailed = ({ changeSet }: PendingChange) =>
      changeSet.guards.some((guard) => failedKeys.has(guard.key));
    for (const change of batch.filter(hasFailed)) change.resolve(result);
    this.queue.unshift(...batch.filter((change) => !hasFailed(change)));
  }

  /** After a rejection: a change that is malformed or too large must not fail the others. */
  private async sendSeparately(batch: readonly PendingChange[]): Promise<void> {
    for (const change of batch)
      change.resolve(await this.client.transactWithRetry(change.changeSet, REQUEST_PRIORITY.users));
  }
}

const mergeChanges = (batch: readonly PendingChange[]): ChangeSet => ({
  operations: batch.flatMap(({ changeSet }) => changeSet.operations),
  guards: batch.flatMap(({ changeSet }) => changeSet.guards),
});
