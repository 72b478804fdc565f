/**
 * Takes slices from controllers that are taken for failed, and gives slices away in a planned handover. The state service
 * decides: each change is guarded on the slice record as it was seen and on the sessions of both sides, and every commit of
 * a holder is guarded on the slice record, so that nothing of the former holder can follow.
 */
import { key } from '../core/keys.js';
import type { NodeName, SessionRecord, SliceRecord } from '../core/types.js';
import { URGENCY } from '../io/rate-limiter.js';
import { Unavailable } from '../io/state/client.js';
import type { Guard, Op } from '../io/wire.js';
import type { SliceControl, SliceFact, SliceOutcome } from '../packages/api.js';
import type { Context } from './context.js';
import type { Membership } from './membership.js';

const OVERTAKEN: SliceOutcome = { kind: 'overtaken' };
const UNAVAILABLE: SliceOutcome = { kind: 'unavailable' };
/** How long the view may take to show what overtook a transaction. */
const VIEW_WAIT_MS = 1000;

/** Changes the holders of slices. */
export class SliceTransfer implements SliceControl {
  constructor(
    private readonly ctx: Context,
    private readonly membership: Membership,
  ) {}

  async takeOver(slice: SliceFact): Promise<SliceOutcome> {
    const { ctx, membership } = this;
    if (!membership.valid) return UNAVAILABLE;
    const session = ctx.view.sessions.get(slice.holder);
    // A new life of the holder takes its slice back by itself.
    if (session !== undefined && session.incarnation !== slice.incarnation) return OVERTAKEN;
    const sessionKey = key.session(slice.holder);
    const value: SliceRecord = { holder: ctx.settings.node, incarnation: ctx.incarnation };
    const guards = [
      { key: key.slice(slice.slice), version: slice.epoch },
      ctx.guard(sessionKey),
      ctx.guard(key.session(ctx.settings.node)),
    ];
    const ops: Op[] = [{ key: key.slice(slice.slice), value, reason: 'membership' }];
    // With the slice, in one transaction: were the session ended first, the leader might give the slice to another one.
    const { txnOps } = ctx.state.settings;
    if (session !== undefined && ops.length < txnOps)
      ops.push({ key: sessionKey, value: undefined, reason: 'membership' });
    if (ctx.view.leader?.incarnation === slice.incarnation && ops.length < txnOps) {
      guards.push(ctx.guard(key.leader));
      ops.push({ key: key.leader, value: undefined, reason: 'membership' });
    }
    const outcome = await this.commit(guards, ops);
    if (outcome.kind === 'committed' && session !== undefined) await this.endLease(session.lease);
    return outcome;
  }

  /** The former holder's other keys go with its lease. Where that fails they go when the lease runs out. */
  private async endLease(lease: number): Promise<void> {
    try {
      await this.ctx.state.revoke(lease);
    } catch (e) {
      if (!(e instanceof Unavailable)) throw e;
    }
  }

  async handOver(slices: readonly SliceFact[], to: NodeName, drainForMs: number): Promise<SliceOutcome> {
    const { ctx, membership } = this;
    const receiver = ctx.view.sessions.get(to);
    const mine = ctx.view.sessions.get(ctx.settings.node);
    if (!membership.valid || mine?.incarnation !== ctx.incarnation) return UNAVAILABLE;
    if (receiver === undefined || receiver.draining === true) return OVERTAKEN;
    membership.drainFor(drainForMs);
    const value: SliceRecord = { holder: receiver.node, incarnation: receiver.incarnation };
    const perTransaction = Math.max(1, ctx.state.settings.txnOps - 2);
    let outcome: SliceOutcome = OVERTAKEN;
    for (let i = 0; i < slices.length; i += perTransaction) {
      const part = slices.slice(i, i + perTransaction);
      const ops: Op[] = part.map(({ slice }) => ({ key: key.slice(slice), value, reason: 'membership' }));
      const guards: Guard[] = part.map(({ slice, epoch }) => ({ key: key.slice(slice), version: epoch }));
      const leaving = this.leaving(mine);
      outcome = await this.commit(
        [...guards, ctx.guard(key.session(to)), ...leaving.guards],
        [...ops, ...leaving.ops],
      );
      if (outcome.kind !== 'committed') break;
    }
    if (outcome.kind === 'overtaken') membership.drainFor(0);
    return outcome;
  }

  /** In the same transaction as the slices, or the leader would give them back at once. */
  private leaving(mine: SessionRecord): { guards: Guard[]; ops: Op[] } {
    const { ctx, membership } = this;
    const sessionKey = key.session(ctx.settings.node);
    const session: SessionRecord = { ...mine, draining: true };
    const guards = [ctx.guard(sessionKey)];
    const ops: Op[] = [{ key: sessionKey, value: session, lease: mine.lease, reason: 'membership' }];
    if (membership.isLeader) {
      guards.push(ctx.guard(key.leader));
      ops.push({ key: key.leader, value: undefined, reason: 'membership' });
    }
    return { guards, ops };
  }

  private async commit(guards: readonly Guard[], ops: readonly Op[]): Promise<SliceOutcome> {
    const { state, follower } = this.ctx;
    const result = await state.txn(guards, ops, URGENCY.session);
    if (result.kind === 'ok') {
      follower.applied(ops, result.rev);
      return { kind: 'committed', revision: result.rev };
    }
    if (result.kind !== 'conflict') return UNAVAILABLE;
    await follower.reached(result.rev, VIEW_WAIT_MS);
    return OVERTAKEN;
  }
}
