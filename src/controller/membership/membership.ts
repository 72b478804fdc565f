/** This process's session and, if it gets it, the leadership; both hang on one lease of the state service. */
import { LOG_EVENT } from '../../core/log-events.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { SessionRecord, LeaderRecord, ShardRecord } from '../../core/model/cluster.js';
import { key } from '../../core/records/keys.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import { UnavailableError } from '../../core/errors.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { ControllerContext } from '../controller-context.js';
import { Notification } from '../notification.js';

/** The steady clocks drift apart by at most 0.05%; twice that is allowed for. */
const DRIFT = 0.999;

/** Keeps this process's session alive, takes its own slice, and stands for leader. */
export class Membership {
  private lease: number | null = null;
  /** Until then the lease has surely not run out: counted from when the renewal was sent. */
  private validUntil = Number.NEGATIVE_INFINITY;
  /** When this process first saw each session. */
  readonly sessionsFirstSeen = new Map<string, MonotonicMs>();
  private readonly notification: Notification;
  /** Until then this process takes on nothing: it has handed over what it held. */
  private drainingUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly context: ControllerContext) {
    this.notification = new Notification(context.clock);
    context.viewChanges.subscribe(({ leader, sessions }) => {
      if (leader || sessions.has(context.settings.node)) this.notification.notify();
      for (const node of context.view.sessions.keys())
        if (!this.sessionsFirstSeen.has(node)) this.sessionsFirstSeen.set(node, this.context.clock.now());
      for (const node of [...this.sessionsFirstSeen.keys()])
        if (!context.view.sessions.has(node)) this.sessionsFirstSeen.delete(node);
    });
  }

  get hasValidLease(): boolean {
    return this.lease !== null && this.context.clock.now() < this.validUntil;
  }

  /** What this process's own records may hang on, or null. */
  get currentLease(): number | null {
    return this.hasValidLease ? this.lease : null;
  }

  get isLeader(): boolean {
    const l = this.context.view.leader;
    return this.hasValidLease && l?.incarnation === this.context.incarnation && l.lease === this.lease;
  }

  /** This process takes on neither slices nor the leadership for so long; 0 ends that. */
  drainFor(ms: number): void {
    this.drainingUntil = this.context.clock.now() + ms;
  }

  private get isDraining(): boolean {
    return this.context.clock.now() < this.drainingUntil;
  }

  /** Leads if nobody else could. */
  private get mayLead(): boolean {
    const others = [...this.context.view.sessions.values()].filter(
      (s) => s.node !== this.context.settings.node,
    );
    return !this.isDraining || !others.some((s) => s.draining !== true);
  }

  private get ownSession(): SessionRecord | undefined {
    return this.context.view.sessions.get(this.context.settings.node);
  }

  async run(): Promise<never> {
    const { operator } = this.context;
    for (;;) {
      try {
        if (this.context.watcher.isReady) await this.step();
      } catch (e) {
        if (!(e instanceof UnavailableError)) throw e;
        await this.context.clock.sleep(150);
      }
      await this.notification.wait(
        this.context.watcher.isReady ? operator.sessions.renew_every_s * 1000 : 30,
      );
    }
  }

  private async step(): Promise<void> {
    const { context } = this;
    const ttl = context.operator.sessions.ttl_s * 1000;
    const sent = this.context.clock.now();
    if (this.lease !== null) {
      if (await context.state.renewLease(this.lease)) this.validUntil = sent + ttl * DRIFT;
      else {
        context.log.info({ lease: this.lease }, LOG_EVENT.sessionLeaseExpired);
        this.lease = null;
      }
    }
    if (this.lease === null) {
      this.lease = await context.state.grantLease(ttl);
      this.validUntil = sent + ttl * DRIFT;
    }
    await this.writeSession(this.lease);
    await this.acquireOwnShard();
    if (context.view.leader === null && this.mayLead) {
      const value: LeaderRecord = {
        node: context.settings.node,
        incarnation: context.incarnation,
        lease: this.lease,
      };
      if (await this.putWithLease(key.leader, value))
        context.log.info({ lease: this.lease }, LOG_EVENT.leadershipAcquired);
    }
  }

  private async writeSession(lease: number): Promise<void> {
    const { context } = this;
    const mine = this.ownSession;
    const isOwn = mine?.lease === lease && mine.incarnation === context.incarnation;
    if (isOwn && (mine.draining === true) === this.isDraining) return;
    await context.watcher.waitUntilFresh();
    const value: SessionRecord = {
      node: context.settings.node,
      incarnation: context.incarnation,
      lease,
      zone: context.settings.zone,
      ...(this.isDraining ? { draining: true } : {}),
    };
    const isWritten = await this.putWithLease(key.session(context.settings.node), value);
    // A session under this node's name that is not this process's is its predecessor's: the platform runs one process per
    // node, so it can be ended without waiting for its lease. Only once it is replaced: were there no session for a
    // moment, the leader would give the slice away, and a plain restart would cost two changes of holder.
    if (isWritten && !isOwn && mine !== undefined) await context.state.revokeLease(mine.lease);
  }

  /** The slice of this node, where nobody holds it or its predecessor did, is taken at once. */
  private async acquireOwnShard(): Promise<void> {
    const { context } = this;
    const held = context.view.shards.get(context.settings.node);
    if (
      held !== undefined &&
      (held.holder !== context.settings.node || held.incarnation === context.incarnation)
    )
      return;
    const k = key.shard(context.settings.node);
    const value: ShardRecord = { holder: context.settings.node, incarnation: context.incarnation };
    const op: WriteOperation = { key: k, value, reason: 'membership' };
    const r = await context.state.transact(
      { guards: [context.guards.forKey(k)], operations: [op] },
      REQUEST_PRIORITY.session,
    );
    if (r.kind === 'ok') {
      context.watcher.applyCommitted([op], r.revision);
      context.log.info({ slice: context.settings.node, token: r.revision }, LOG_EVENT.shardAcquired);
    } else if (r.kind === 'conflict') await context.watcher.waitForRevision(r.revision, 1000);
  }

  private async putWithLease(k: string, value: { lease: number }): Promise<boolean> {
    const { context } = this;
    const op: WriteOperation = { key: k, value, lease: value.lease, reason: 'membership' };
    const r = await context.state.transact(
      { guards: [context.guards.forKey(k)], operations: [op] },
      REQUEST_PRIORITY.session,
    );
    if (r.kind === 'ok') {
      context.watcher.applyCommitted([op], r.revision);
      return true;
    }
    if (r.kind === 'no_lease') this.lease = null;
    if (r.kind === 'conflict') await context.watcher.waitForRevision(r.revision, 1000);
    return false;
  }
}
