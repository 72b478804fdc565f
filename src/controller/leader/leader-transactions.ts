/** Transactions that only the current leader can commit: each is guarded on the leadership. */
import { key, parseKey } from '../../core/records/keys.js';
import type { RequestPriority } from '../../io/rate-limiter.js';
import type { ChangeSet } from '../../io/state/change-set.js';
import type { Guard, WriteOperation } from '../../io/state/state-messages.js';
import { attemptCommit, commitTransaction, type CommitAttempt } from '../../io/state/transaction-commit.js';
import { packTransactions, type PackedTransaction } from '../../io/state/transaction-packing.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from '../membership/membership.js';

/** The attempt of a controller that does not lead: nothing was sent. */
const NOT_LEADING: CommitAttempt = { outcome: 'refused', failedKeys: [], isRestSound: false };

/**
 * Commits changes that are guarded on the leadership. All methods resolve to true only if every transaction is known to be
 * committed, and to false while this controller does not lead.
 */
export class LeaderTransactions {
  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
  ) {}

  /** Commits one change set as one transaction. */
  async commit(changeSet: ChangeSet, priority: RequestPriority): Promise<boolean> {
    return (await this.attempt(changeSet, priority)).outcome === 'ok';
  }

  /** Commits change sets in order, as many per transaction as fit, and stops at the first transaction that fails. */
  async commitInOrder(changeSets: readonly ChangeSet[], priority: RequestPriority): Promise<boolean> {
    for (const transaction of this.packed(changeSets))
      if (!(await this.commit(transaction, priority))) return false;
    return true;
  }

  /**
   * Commits independent operations, as many per transaction as fit. One that conflicts or is rejected does not stop the
   * others.
   */
  async commitEach(operations: readonly WriteOperation[], priority: RequestPriority): Promise<boolean> {
    // All guards are taken before the first wait, from the same view as the values: a guard taken later would accept a
    // version committed in between, and the operation would overwrite it.
    const changeSets = operations.map((operation) => ({
      operations: [operation],
      guards: this.guardsOf(operation),
    }));
    let areAllCommitted = true;
    const send = (changeSet: ChangeSet) => this.attempt(changeSet, priority);
    for (const transaction of this.packed(changeSets)) {
      const outcome = await commitTransaction(this.context.view, transaction, send);
      areAllCommitted &&= outcome === 'ok';
    }
    return areAllCommitted;
  }

  private async attempt(changeSet: ChangeSet, priority: RequestPriority): Promise<CommitAttempt> {
    if (!this.membership.isLeader) return NOT_LEADING;
    const { state, watcher } = this.context;
    const { operations, guards } = changeSet;
    return attemptCommit(state, watcher, { operations, guards: [this.leaderGuard(), ...guards] }, priority);
  }

  /** Packs change sets into transactions. Those whose guards fail in the view are left out, which is not a failure. */
  private packed(changeSets: readonly ChangeSet[]): Generator<PackedTransaction> {
    const { state, view } = this.context;
    return packTransactions(changeSets, [this.leaderGuard()], state.limits, view);
  }

  private leaderGuard(): Guard {
    return this.context.guards.forKey(key.leader);
  }

  /**
   * Guards on the written key and, for a machine, on the shard that it belongs to: the floor set by a move is above the
   * machine's fencing token only while that shard keeps its holder.
   */
  private guardsOf(operation: WriteOperation): Guard[] {
    const { guards } = this.context;
    const shard = this.shardOfMachine(operation.key);
    if (shard === undefined) return [guards.forKey(operation.key)];
    return [guards.forKey(operation.key), guards.forKey(key.shard(shard))];
  }

  private shardOfMachine(recordKey: string): string | undefined {
    if (parseKey(recordKey).kind !== 'machine') return undefined;
    const record = this.context.view.entries.get(recordKey)?.value as { owner?: string } | undefined;
    return record?.owner;
  }
}
