/**
 * Commits independent changes together where they come together, such as the submissions of thousands of small jobs: one
 * request instead of one each. A change that comes alone is sent at once.
 */
import type { Guard, WriteOperation } from './state-messages.js';
import { REQUEST_PRIORITY } from '../rate-limiter.js';
import type { StateClient, TransactionResult } from './state-client.js';
import { GUARDS_PER_OPERATION, type ChangeSet } from './transactions.js';

/** So many transactions are under way at once; what comes meanwhile is gathered for the next one. */
const MOST_IN_FLIGHT = 2;
/** Bytes of changes in one transaction, below the service's limit by what guards and names take. */
const MOST_BYTES = 48_000;

/** What is to wait longer than this is refused at once: its user would have given up before its turn. */
const MOST_WAIT_MS = 3000;

interface Pending {
  readonly group: ChangeSet;
  readonly done: (result: TransactionResult) => void;
}

/** Gathers changes while others are under way. */
export class GroupCommit {
  private waiting: Pending[] = [];
  /** Changes whose outcome is not known yet, by name. */
  private readonly pending = new Map<string, Promise<TransactionResult>>();
  private inFlight = 0;

  constructor(private readonly client: StateClient) {}

  /**
   * What became of this change; that of others in the same transaction does not matter. One under a name that waits
   * already is not sent a second time: users who got no answer in time ask again.
   */
  commit(name: string, group: ChangeSet): Promise<TransactionResult> {
    const known = this.pending.get(name);
    if (known !== undefined) return known;
    if (this.waiting.length >= this.mostWaiting()) return Promise.resolve({ kind: 'refused' });
    const result = new Promise<TransactionResult>((done) => {
      this.waiting.push({ group, done });
    }).finally(() => this.pending.delete(name));
    this.pending.set(name, result);
    this.sendWaiting();
    return result;
  }

  private mostWaiting(): number {
    const fairPart = (this.mostAtOnce() * MOST_WAIT_MS) / 1000;
    return Math.max(fairPart, this.client.writesWithin(MOST_WAIT_MS));
  }

  /** As many changes as this process may write within a second. */
  private mostAtOnce(): number {
    const { writeRps, nodes } = this.client.limits;
    return Math.max(1, Math.floor(writeRps / nodes));
  }

  private sendWaiting(): void {
    while (this.inFlight < MOST_IN_FLIGHT && this.waiting.length > 0) {
      const batch = this.nextBatch();
      this.inFlight++;
      void this.send(batch)
        .catch(() => {
          for (const p of batch) p.done({ kind: 'unknown' });
        })
        .finally(() => {
          this.inFlight--;
          this.sendWaiting();
        });
    }
  }

  /** As many of those that wait as one transaction takes, and as may be written within a second. */
  private nextBatch(): Pending[] {
    const { operationsPerTransaction } = this.client.limits;
    const most = Math.min(operationsPerTransaction, this.mostAtOnce());
    let operations = 0;
    let guards = 0;
    let bytes = 0;
    let size = 0;
    for (const { group } of this.waiting) {
      operations += group.operations.length;
      guards += group.guards.length;
      bytes += Buffer.byteLength(JSON.stringify(group.operations));
      if (
        size > 0 &&
        (operations > most || guards > operationsPerTransaction * GUARDS_PER_OPERATION || bytes > MOST_BYTES)
      )
        break;
      size++;
    }
    return this.waiting.splice(0, size);
  }

  private async send(batch: readonly Pending[]): Promise<void> {
    const operations: WriteOperation[] = batch.flatMap((p) => p.group.operations);
    const guards: Guard[] = batch.flatMap((p) => p.group.guards);
    const result = await this.client.transactWithRetry(guards, operations, REQUEST_PRIORITY.users);
    if (batch.length > 1 && result.kind === 'conflict') {
      const failed = new Set(result.failed);
      const isFailed = (p: Pending) => p.group.guards.some((g) => failed.has(g.key));
      for (const p of batch.filter(isFailed)) p.done(result);
      // Some guard has failed, so that this leaves fewer each time.
      this.waiting.unshift(...batch.filter((p) => !isFailed(p)));
      return;
    }
    if (batch.length > 1 && result.kind === 'rejected') {
      // One of them is malformed or too large: each goes alone, so that it takes no others with it.
      for (const p of batch)
        p.done(
          await this.client.transactWithRetry(p.group.guards, p.group.operations, REQUEST_PRIORITY.users),
        );
      return;
    }
    for (const p of batch) p.done(result);
  }
}
