/**
 * Acquires shards of controllers that are suspected to have failed, and hands shards over in a planned handover. The state
 * service decides: each change is guarded on the shard's record as it was seen and on the sessions of both sides. Every
 * commit of a holder is guarded on the shard's record, so that a former holder can commit nothing.
 */
import { UnavailableError } from '../../core/errors.js';
import type { SessionRecord, ShardRecord } from '../../core/model/cluster.js';
import type { NodeName } from '../../core/model/ids.js';
import { key } from '../../core/records/keys.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { ChangeSet } from '../../io/state/change-set.js';
import type { Guard, WriteOperation } from '../../io/state/state-messages.js';
import type { CommittedShard, ShardControl, ShardTransferOutcome } from '../../plugin-host/api.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from './membership.js';

const OVERTAKEN: ShardTransferOutcome = { kind: 'overtaken' };
const UNAVAILABLE: ShardTransferOutcome = { kind: 'unavailable' };
/** Longest wait until the view shows what a transaction conflicted with. */
const CONFLICT_VIEW_TIMEOUT_MS = 1000;
/** Largest number of operations in a handover beside those on shards: on this controller's session and leadership. */
const MAX_OWN_CHANGES = 2;

/** Changes the holders of shards, by guarded transactions only. */
export class ShardTransfer implements ShardControl {
  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
  ) {}

  /** Acquires the shard and ends its holder's session in one transaction, unless a guarded record has changed. */
  async failOver(shard: CommittedShard): Promise<ShardTransferOutcome> {
    const { context, membership } = this;
    if (!membership.hasValidLease) return UNAVAILABLE;
    const session = context.view.sessions.get(shard.holder);
    // The holder has restarted and acquires its shard again by itself.
    if (session !== undefined && session.incarnation !== shard.incarnation) return OVERTAKEN;
    const outcome = await this.commit(this.failOverChanges(shard, session));
    if (outcome.kind === 'committed' && session !== undefined) await this.endLease(session.lease);
    return outcome;
  }

  /**
   * Hands shards that this process holds over to a controller that has a session, and makes this process drain for
   * `drainForMs`; the outcome `overtaken` ends the draining at once.
   */
  async handOver(
    shards: readonly CommittedShard[],
    to: NodeName,
    drainForMs: number,
  ): Promise<ShardTransferOutcome> {
    const { context, membership } = this;
    const receiver = context.view.sessions.get(to);
    const ownSession = context.view.sessions.get(context.settings.node);
    if (!membership.hasValidLease || ownSession?.incarnation !== context.incarnation) return UNAVAILABLE;
    if (receiver === undefined || receiver.draining === true) return OVERTAKEN;
    membership.drainFor(drainForMs);
    const batchSize = Math.max(1, context.state.limits.operationsPerTransaction - MAX_OWN_CHANGES);
    let outcome: ShardTransferOutcome = OVERTAKEN;
    for (let start = 0; start < shards.length; start += batchSize) {
      const batch = shards.slice(start, start + batchSize);
      outcome = await this.commit(this.handOverChanges(batch, receiver, ownSession));
      if (outcome.kind !== 'committed') break;
    }
    if (outcome.kind === 'overtaken') membership.drainFor(0);
    return outcome;
  }

  /**
   * Changes the shard's holder and, as far as they fit into the transaction, ends the former holder's session and
   * leadership. If the session ended first, the leader might assign the shard to another controller.
   */
  private failOverChanges(shard: CommittedShard, session: SessionRecord | undefined): ChangeSet {
    const { settings, incarnation, guards: guard, state, view } = this.context;
    const { operationsPerTransaction } = state.limits;
    const shardKey = key.shard(shard.name);
    const sessionKey = key.session(shard.holder);
    const value: ShardRecord = { holder: settings.node, incarnation };
    const guards: Guard[] = [
      { key: shardKey, version: shard.epoch },
      guard.forKey(sessionKey),
      guard.forKey(key.session(settings.node)),
    ];
    const operations: WriteOperation[] = [{ key: shardKey, value, reason: 'membership' }];
    if (session !== undefined && operations.length < operationsPerTransaction)
      operations.push({ key: sessionKey, value: undefined, reason: 'membership' });
    const holderLeads = view.leader?.incarnation === shard.incarnation;
    if (holderLeads && operations.length < operationsPerTransaction) {
      guards.push(guard.forKey(key.leader));
      operations.push({ key: key.leader, value: undefined, reason: 'membership' });
    }
    return { guards, operations };
  }

  /** Ends the former holder's lease, which deletes its other keys. If revoking fails, they go when the lease expires. */
  private async endLease(lease: number): Promise<void> {
    try {
      await this.context.state.revokeLease(lease);
    } catch (error) {
      if (!(error instanceof UnavailableError)) throw error;
    }
  }

  private handOverChanges(
    shards: readonly CommittedShard[],
    receiver: SessionRecord,
    ownSession: SessionRecord,
  ): ChangeSet {
    const value: ShardRecord = { holder: receiver.node, incarnation: receiver.incarnation };
    const drainChanges = this.drainChanges(ownSession);
    return {
      guards: [
        ...shards.map(({ name, epoch }) => ({ key: key.shard(name), version: epoch })),
        this.context.guards.forKey(key.session(receiver.node)),
        ...drainChanges.guards,
      ],
      operations: [
        ...shards.map(({ name }) => ({ key: key.shard(name), value, reason: 'membership' as const })),
        ...drainChanges.operations,
      ],
    };
  }

  /**
   * Marks this controller's session as draining and ends its leadership. Both are committed together with the shards'
   * change of holder; otherwise the leader would assign the shards to this controller again at once.
   */
  private drainChanges(ownSession: SessionRecord): ChangeSet {
    const { context, membership } = this;
    const sessionKey = key.session(context.settings.node);
    const value: SessionRecord = { ...ownSession, draining: true };
    const guards: Guard[] = [context.guards.forKey(sessionKey)];
    const operations: WriteOperation[] = [
      { key: sessionKey, value, lease: ownSession.lease, reason: 'membership' },
    ];
    if (membership.isLeader) {
      guards.push(context.guards.forKey(key.leader));
      operations.push({ key: key.leader, value: undefined, reason: 'membership' });
    }
    return { guards, operations };
  }

  private async commit(changeSet: ChangeSet): Promise<ShardTransferOutcome> {
    const { state, watcher } = this.context;
    const result = await state.transact(changeSet, REQUEST_PRIORITY.session);
    if (result.kind === 'ok') {
      watcher.applyCommitted(changeSet.operations, result.revision);
      return { kind: 'committed', revision: result.revision };
    }
    if (result.kind !== 'conflict') return UNAVAILABLE;
    await watcher.catchUpAfterConflict(changeSet.guards, result, CONFLICT_VIEW_TIMEOUT_MS);
    return OVERTAKEN;
  }
}
