/**
 * Takes slices from controllers that are taken for failed, and gives slices away in a planned handover. The state service
 * decides: each change is guarded on the slice record as it was seen and on the sessions of both sides, and every commit of
 * a holder is guarded on the slice record, so that nothing of the former holder can follow.
 */
import { key } from '../../core/records/keys.js';
import type { SessionRecord, ShardRecord } from '../../core/model/cluster.js';
import type { NodeName } from '../../core/model/ids.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import { UnavailableError } from '../../core/errors.js';
import type { Guard, WriteOperation } from '../../io/state/state-messages.js';
import type { ShardControl, ShardFact, ShardTransferOutcome } from '../../plugin-host/api.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from './membership.js';

const OVERTAKEN: ShardTransferOutcome = { kind: 'overtaken' };
const UNAVAILABLE: ShardTransferOutcome = { kind: 'unavailable' };
/** How long the view may take to show what overtook a transaction. */
const VIEW_WAIT_MS = 1000;

/** Changes the holders of slices. */
export class ShardTransfer implements ShardControl {
  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
  ) {}

  async failOver(shard: ShardFact): Promise<ShardTransferOutcome> {
    const { context, membership } = this;
    if (!membership.hasValidLease) return UNAVAILABLE;
    const session = context.view.sessions.get(shard.holder);
    // A new life of the holder takes its slice back by itself.
    if (session !== undefined && session.incarnation !== shard.incarnation) return OVERTAKEN;
    const sessionKey = key.session(shard.holder);
    const value: ShardRecord = { holder: context.settings.node, incarnation: context.incarnation };
    const guards = [
      { key: key.shard(shard.name), version: shard.epoch },
      context.guards.forKey(sessionKey),
      context.guards.forKey(key.session(context.settings.node)),
    ];
    const operations: WriteOperation[] = [{ key: key.shard(shard.name), value, reason: 'membership' }];
    // With the slice, in one transaction: were the session ended first, the leader might give the slice to another one.
    const { operationsPerTransaction } = context.state.limits;
    if (session !== undefined && operations.length < operationsPerTransaction)
      operations.push({ key: sessionKey, value: undefined, reason: 'membership' });
    if (
      context.view.leader?.incarnation === shard.incarnation &&
      operations.length < operationsPerTransaction
    ) {
      guards.push(context.guards.forKey(key.leader));
      operations.push({ key: key.leader, value: undefined, reason: 'membership' });
    }
    const outcome = await this.commit(guards, operations);
    if (outcome.kind === 'committed' && session !== undefined) await this.endLease(session.lease);
    return outcome;
  }

  /** The former holder's other keys go with its lease. Where that fails they go when the lease runs out. */
  private async endLease(lease: number): Promise<void> {
    try {
      await this.context.state.revokeLease(lease);
    } catch (e) {
      if (!(e instanceof UnavailableError)) throw e;
    }
  }

  async handOver(
    shards: readonly ShardFact[],
    to: NodeName,
    drainForMs: number,
  ): Promise<ShardTransferOutcome> {
    const { context, membership } = this;
    const receiver = context.view.sessions.get(to);
    const mine = context.view.sessions.get(context.settings.node);
    if (!membership.hasValidLease || mine?.incarnation !== context.incarnation) return UNAVAILABLE;
    if (receiver === undefined || receiver.draining === true) return OVERTAKEN;
    membership.drainFor(drainForMs);
    const value: ShardRecord = { holder: receiver.node, incarnation: receiver.incarnation };
    const perTransaction = Math.max(1, context.state.limits.operationsPerTransaction - 2);
    let outcome: ShardTransferOutcome = OVERTAKEN;
    for (let i = 0; i < shards.length; i += perTransaction) {
      const part = shards.slice(i, i + perTransaction);
      const operations: WriteOperation[] = part.map(({ name: shard }) => ({
        key: key.shard(shard),
        value,
        reason: 'membership',
      }));
      const guards: Guard[] = part.map(({ name: shard, epoch }) => ({
        key: key.shard(shard),
        version: epoch,
      }));
      const leaving = this.leaving(mine);
      outcome = await this.commit(
        [...guards, context.guards.forKey(key.session(to)), ...leaving.guards],
        [...operations, ...leaving.ops],
      );
      if (outcome.kind !== 'committed') break;
    }
    if (outcome.kind === 'overtaken') membership.drainFor(0);
    return outcome;
  }

  /** In the same transaction as the slices, or the leader would give them back at once. */
  private leaving(mine: SessionRecord): { guards: Guard[]; ops: WriteOperation[] } {
    const { context, membership } = this;
    const sessionKey = key.session(context.settings.node);
    const session: SessionRecord = { ...mine, draining: true };
    const guards = [context.guards.forKey(sessionKey)];
    const operations: WriteOperation[] = [
      { key: sessionKey, value: session, lease: mine.lease, reason: 'membership' },
    ];
    if (membership.isLeader) {
      guards.push(context.guards.forKey(key.leader));
      operations.push({ key: key.leader, value: undefined, reason: 'membership' });
    }
    return { guards, ops: operations };
  }

  private async commit(
    guards: readonly Guard[],
    operations: readonly WriteOperation[],
  ): Promise<ShardTransferOutcome> {
    const { state, watcher } = this.context;
    const result = await state.transact({ guards, operations }, REQUEST_PRIORITY.session);
    if (result.kind === 'ok') {
      watcher.applyCommitted(operations, result.revision);
      return { kind: 'committed', revision: result.revision };
    }
    if (result.kind !== 'conflict') return UNAVAILABLE;
    await watcher.waitForRevision(result.revision, VIEW_WAIT_MS);
    return OVERTAKEN;
  }
}
