/** This process's session and, if elected, its leadership; both records are bound to one lease of the state service. */
import type { SessionStatus } from '../../core/agents/answer-basis.js';
import { UnavailableError } from '../../core/errors.js';
import { LOG_EVENT } from '../../core/log-events.js';
import type { LeaderRecord, SessionRecord, ShardRecord } from '../../core/model/cluster.js';
import type { Version } from '../../core/model/ids.js';
import type { MonotonicMs } from '../../core/model/time.js';
import { key } from '../../core/records/keys.js';
import type { ViewChanges } from '../../core/state/view-changes.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { ChangeSet } from '../../io/state/change-set.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import { Notification } from '../notification.js';

/** Part of a lease's duration that is relied on. Monotonic clocks drift by at most 0.05%; twice that is allowed for. */
const LEASE_VALID_FRACTION = 0.999;
/** Pause before the session is renewed again after the state service did not answer. */
const UNAVAILABLE_RETRY_MS = 150;
/** Interval at which this process checks whether its view is ready. */
const READY_CHECK_MS = 30;
/** Longest wait until the view shows what a transaction conflicted with. */
const CONFLICT_VIEW_TIMEOUT_MS = 1000;

/** The beginning of this process's session, as its view shows it. */
interface SessionStart {
  readonly lease: number;
  /** Version of the first record of the session under this lease. */
  readonly version: Version;
}

/** Keeps this process's session alive, acquires its own shard, and takes the leadership while no other has it. */
export class Membership {
  /**
   * When this process first saw a session of each controller that has one, by name. A session that directly replaces
   * another, as after a plain restart, keeps the time.
   */
  readonly sessionsFirstSeen = new Map<string, MonotonicMs>();
  private readonly notification: Notification;
  private lease: number | null = null;
  /** The latest session that the view has shown; null while it shows none of this process. */
  private sessionStart: SessionStart | null = null;
  /** The lease has certainly not expired before this time, which is counted from when the renewal was sent. */
  private leaseValidUntil = Number.NEGATIVE_INFINITY;
  /** Until when this process is draining: it hands over its shards and should be assigned none. */
  private drainingUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly context: ControllerContext) {
    this.notification = new Notification(context.clock);
    context.viewChanges.subscribe((changes) => {
      this.observeSessions(changes);
    });
  }

  /** Whether the session has certainly not expired. */
  get hasValidLease(): boolean {
    return this.lease !== null && this.context.clock.now() < this.leaseValidUntil;
  }

  /**
   * Status of the session with regard to a shard that this process acquired at version `acquiredAt`. A shard is assigned
   * to another controller once its holder has no session, and a later session does not bring it back: the later session
   * counts only for shards that were acquired under it, or once the view has all changes from before it.
   */
  sessionStatus(acquiredAt: Version): SessionStatus {
    const { lease, sessionStart } = this;
    if (lease === null || sessionStart?.lease !== lease) return 'ended';
    if (Math.max(acquiredAt, this.context.view.revision) < sessionStart.version) return 'ended';
    return this.hasValidLease ? 'valid' : 'lapsed';
  }

  /** The id of the lease to which this process's own records may be bound; null unless it has certainly not expired. */
  get currentLease(): number | null {
    return this.hasValidLease ? this.lease : null;
  }

  /** Whether this process is the leader under its present lease, which has certainly not expired. */
  get isLeader(): boolean {
    const { view, incarnation } = this.context;
    return this.hasValidLease && view.leader?.incarnation === incarnation && view.leader.lease === this.lease;
  }

  /**
   * Makes this process drain for `ms`: its session is marked as draining, so that the leader assigns shards to other
   * controllers where it can, and this process leads only if no other controller could. 0 ends the draining.
   */
  drainFor(ms: number): void {
    this.drainingUntil = this.context.clock.now() + ms;
  }

  /** Renews the session at its interval and after changes of this session or the leadership; throws only on defects. */
  async run(): Promise<never> {
    const { operator, clock, watcher } = this.context;
    const renewIntervalMs = operator.sessions.renew_every_s * 1000;
    for (;;) {
      try {
        if (watcher.isReady) await this.renew();
      } catch (error) {
        if (!(error instanceof UnavailableError)) throw error;
        await clock.sleep(UNAVAILABLE_RETRY_MS);
      }
      await this.notification.wait(watcher.isReady ? renewIntervalMs : READY_CHECK_MS);
    }
  }

  private observeSessions({ leader, sessions }: ViewChanges): void {
    const { view, settings, clock } = this.context;
    if (leader || sessions.has(settings.node)) this.notification.notify();
    if (sessions.has(settings.node)) this.updateSessionStart();
    for (const node of view.sessions.keys())
      if (!this.sessionsFirstSeen.has(node)) this.sessionsFirstSeen.set(node, clock.now());
    for (const node of [...this.sessionsFirstSeen.keys()])
      if (!view.sessions.has(node)) this.sessionsFirstSeen.delete(node);
  }

  /** A later record of the same session, which marks the controller as draining, does not change when it began. */
  private updateSessionStart(): void {
    const { view, settings, incarnation } = this.context;
    const record = view.sessions.get(settings.node);
    if (record?.incarnation !== incarnation) this.sessionStart = null;
    else if (this.sessionStart?.lease !== record.lease)
      this.sessionStart = { lease: record.lease, version: view.versionOf(key.session(settings.node)) };
  }

  private get isDraining(): boolean {
    return this.context.clock.now() < this.drainingUntil;
  }

  /** Whether this process may take the leadership; while draining, only if no other controller could. */
  private get mayLead(): boolean {
    const { view, settings } = this.context;
    const others = [...view.sessions.values()].filter((session) => session.node !== settings.node);
    return !this.isDraining || !others.some((session) => session.draining !== true);
  }

  private async renew(): Promise<void> {
    const { state, view, operator, settings, incarnation, clock, log } = this.context;
    const ttlMs = operator.sessions.ttl_s * 1000;
    const sentAt = clock.now();
    if (this.lease !== null) {
      if (await state.renewLease(this.lease)) this.leaseValidUntil = sentAt + ttlMs * LEASE_VALID_FRACTION;
      else {
        log.info({ lease: this.lease }, LOG_EVENT.sessionLeaseExpired);
        this.lease = null;
      }
    }
    if (this.lease === null) {
      this.lease = await state.grantLease(ttlMs);
      this.leaseValidUntil = sentAt + ttlMs * LEASE_VALID_FRACTION;
    }
    await this.writeSession(this.lease);
    await this.acquireOwnShard();
    if (view.leader !== null || !this.mayLead) return;
    const value: LeaderRecord = { node: settings.node, incarnation, lease: this.lease };
    if (await this.putWithLease(key.leader, value))
      log.info({ lease: this.lease }, LOG_EVENT.leadershipAcquired);
  }

  private async writeSession(lease: number): Promise<void> {
    const { settings, incarnation, state, view, watcher } = this.context;
    const session = view.sessions.get(settings.node);
    const isOwn = session?.lease === lease && session.incarnation === incarnation;
    if (isOwn && (session.draining === true) === this.isDraining) return;
    await watcher.waitUntilFresh();
    const value: SessionRecord = {
      node: settings.node,
      incarnation,
      lease,
      zone: settings.zone,
      ...(this.isDraining ? { draining: true } : {}),
    };
    const isWritten = await this.putWithLease(key.session(settings.node), value);
    // A session under this node's name that is not this process's belongs to its predecessor. The platform runs one
    // process per node, so the predecessor has ended, and its lease can be revoked before it expires. That is done only
    // once the session is replaced: if there were no session for a moment, the leader would assign the shard to another
    // controller, and a plain restart would cost two changes of holder.
    if (isWritten && !isOwn && session !== undefined) await state.revokeLease(session.lease);
  }

  /** Acquires this node's own shard at once if it has no holder or is held by this process's predecessor. */
  private async acquireOwnShard(): Promise<void> {
    const { settings, incarnation, state, view, watcher, guards, log } = this.context;
    const { node } = settings;
    const shard = view.shards.get(node);
    if (shard !== undefined && (shard.holder !== node || shard.incarnation === incarnation)) return;
    const shardKey = key.shard(node);
    const value: ShardRecord = { holder: node, incarnation };
    const operation: WriteOperation = { key: shardKey, value, reason: 'membership' };
    const changeSet: ChangeSet = { guards: [guards.forKey(shardKey)], operations: [operation] };
    const result = await state.transact(changeSet, REQUEST_PRIORITY.session);
    if (result.kind === 'ok') {
      watcher.applyCommitted([operation], result.revision);
      log.info({ shard: node, token: result.revision }, LOG_EVENT.shardAcquired);
    } else if (result.kind === 'conflict')
      await watcher.catchUpAfterConflict(changeSet.guards, result, CONFLICT_VIEW_TIMEOUT_MS);
  }

  /** Writes a record that the state service deletes with the lease; false if it is not known to be written. */
  private async putWithLease(recordKey: string, value: { lease: number }): Promise<boolean> {
    const { state, watcher, guards } = this.context;
    const operation: WriteOperation = {
      key: recordKey,
      value,
      lease: value.lease,
      reason: 'membership',
    };
    const changeSet: ChangeSet = { guards: [guards.forKey(recordKey)], operations: [operation] };
    const result = await state.transact(changeSet, REQUEST_PRIORITY.session);
    if (result.kind === 'ok') {
      watcher.applyCommitted([operation], result.revision);
      return true;
    }
    if (result.kind === 'no_lease') this.lease = null;
    if (result.kind === 'conflict')
      await watcher.catchUpAfterConflict(changeSet.guards, result, CONFLICT_VIEW_TIMEOUT_MS);
    return false;
  }
}
