/** Commits that only the present leader can make: each transaction is guarded on the leadership. */
import { key, parseKey } from '../../core/records/keys.js';
import type { RequestPriority } from '../../io/rate-limiter.js';
import { commit, packTransactions, type ChangeSet } from '../../io/state/transactions.js';
import type { Guard, WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from '../membership/membership.js';

/** Commits changes that are guarded on the leadership. */
export class LeaderTransactions {
  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
  ) {}

  /** Commits one transaction as it is. */
  async commit({ operations, guards }: ChangeSet, priority: RequestPriority): Promise<boolean> {
    if (!this.membership.isLeader) return false;
    const outcome = await commit(
      this.context.state,
      this.context.watcher,
      [this.context.guards.forKey(key.leader), ...guards],
      operations,
      priority,
    );
    return outcome === 'ok';
  }

  /** Commits groups in order, as many to a transaction as fit, and stops at the first that fails. */
  async commitInOrder(groups: readonly ChangeSet[], priority: RequestPriority): Promise<boolean> {
    for (const transaction of this.packed(groups))
      if (!(await this.commit(transaction, priority))) return false;
    return true;
  }

  /** Single-key changes, as many to a transaction as fit; one that fails does not hold up the others. */
  async commitEach(operations: readonly WriteOperation[], priority: RequestPriority): Promise<boolean> {
    // Taken before the first wait: a value goes with the versions that it was made from. Were the guards of a later
    // transaction read when its turn comes, it would overwrite what was committed in between, such as a start.
    const groups = operations.map((o) => ({ operations: [o], guards: this.guardsOf(o) }));
    let ok = true;
    for (const transaction of this.packed(groups)) ok = (await this.commit(transaction, priority)) && ok;
    return ok;
  }

  private packed(groups: readonly ChangeSet[]): Generator<ChangeSet> {
    const { context } = this;
    return packTransactions(groups, [context.guards.forKey(key.leader)], context.state.limits, context.view);
  }

  /**
   * The key written, and for a machine the slice it is in: the floor that a move gives it is above its token
   * only as long as that slice has not got another holder.
   */
  private guardsOf(op: WriteOperation): Guard[] {
    const { context } = this;
    const before = context.view.entries.get(op.key)?.value as { owner?: string } | undefined;
    const shard = parseKey(op.key).kind === 'machine' ? before?.owner : undefined;
    return [
      context.guards.forKey(op.key),
      ...(shard === undefined ? [] : [context.guards.forKey(key.shard(shard))]),
    ];
  }
}
