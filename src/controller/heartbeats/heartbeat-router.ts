/**
 * Which controller answers a worker's report, and who answers in its place when the worker cannot reach it.
 *
 * A worker whose owner is cut off from it would lose its tasks when its lease runs out, though nothing is
 * wrong with it. So a controller that has fresh contact to the state service answers for the owner, with the
 * token of the machine's record and without starts. The token keeps this safe: once another owner has shown
 * the worker a higher one, such an answer is dropped. Who is kept alive this way is written down, so that
 * nobody takes those machines for dead.
 */
import type { AgentCommand, Heartbeat } from '../../core/model/heartbeats.js';
import type { MachineName, FencingToken } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health-tracker.js';
import { leaderOf, type Leader } from '../leader/leader.js';
import type { Membership } from '../membership/membership.js';
import type { HeartbeatReply } from '../shard/agent-sessions.js';
import type { ShardController } from '../shard/shard-controller.js';
import type { Availability } from '../membership/availability.js';
import { ProxiedMachineList } from './proxied-machine-list.js';

interface ProxiedAgent {
  /** The owner's token; under another one everything begins anew. */
  readonly token: FencingToken;
  /** Since when this worker is answered here, and when it was last heard. */
  since: MonotonicMs;
  lastHeartbeatAt: MonotonicMs;
  /** It has come back soon after an answer, so it hears this controller and not only the other way round. */
  receivesAnswers: boolean;
  /** For how long it is kept before it is sent to its owner again, to see whether that works now. */
  keepMs: number;
}

/** A worker that does not reach where it was sent is back after so long at the soonest, and at the latest. */
const BACK_SOONEST_MS = 900;
const BACK_LATEST_MS = 25_000;
/** The list of machines answered for others is looked at so often. */
const LIST_EVERY_MS = 500;

/** Answers workers' reports, or tells them which controller does. */
export class HeartbeatRouter {
  private readonly proxied = new Map<MachineName, ProxiedAgent>();
  /** Workers that were sent to their owner, and when. */
  private readonly redirectedAt = new Map<MachineName, { token: FencingToken; at: MonotonicMs }>();
  /** Workers that were sent on by this controller, alone as it is, and are back since then: nobody else has them. */
  private readonly returnedAt = new Map<MachineName, { token: FencingToken; at: MonotonicMs }>();
  private readonly tokens = new Map<MachineName, { token: FencingToken; since: MonotonicMs }>();
  private readonly proxiedMachineList: ProxiedMachineList;

  constructor(
    private readonly context: ControllerContext,
    private readonly owner: ShardController,
    private readonly leader: Leader,
    private readonly health: HealthTracker,
    private readonly membership: Membership,
    private readonly availability: Availability,
  ) {
    this.proxiedMachineList = new ProxiedMachineList(context);
    context.viewChanges.subscribe(({ machines, shards }) => {
      for (const name of shards.size > 0 ? context.view.machines.keys() : machines) this.noteToken(name);
      // Those that have just gone are not in the view any more.
      if (shards.size > 0) for (const name of machines) this.noteToken(name);
    });
  }

  private noteToken(name: MachineName): void {
    const { view, clock } = this.context;
    const m = view.machines.get(name);
    if (m === undefined) {
      this.tokens.delete(name);
      this.redirectedAt.delete(name);
      this.returnedAt.delete(name);
      return;
    }
    const token = view.fencingTokenOf(m);
    if (this.tokens.get(name)?.token !== token) this.tokens.set(name, { token, since: clock.now() });
  }

  answer(r: Heartbeat): HeartbeatReply {
    const { context } = this;
    if (!context.watcher.isReady) return { kind: 'busy' };
    this.health.observeHeartbeat(r);
    const m = context.view.machines.get(r.machine);
    if (m === undefined) {
      const leader = leaderOf(context);
      if (leader !== context.settings.node) return { kind: 'elsewhere', node: leader };
      this.leader.recordUnregistered(r);
      return { kind: 'elsewhere', node: null };
    }
    if (context.ownership.owns(m)) {
      if (!this.availability.mayAnswerAgents) return this.answerIsolated(m, r);
      this.redirectedAt.delete(m.name);
      this.returnedAt.delete(m.name);
      return this.owner.answerHeartbeat(m, r);
    }
    // Kept, and told nothing, for the moment until the view holds what its former owner has committed.
    if (context.ownership.isAcquiring(m))
      return { kind: 'ok', token: context.view.fencingTokenOf(m), commands: [] };
    if (!this.isStateFresh()) return this.answerIsolated(m, r);
    const holder = context.ownership.holderOf(m);
    if (!this.shouldProxy(m, r, holder !== null)) return { kind: 'elsewhere', node: holder };
    return { kind: 'ok', token: context.view.fencingTokenOf(m), commands: this.stopCommandsFor(r) };
  }

  /**
   * Without the state service a controller can't know whom a worker belongs to by now. It sends its own workers on, while
   * their leases last, to one that can act. Where no other controller answers this one either, a worker that is back
   * after it had time to try them all, or that came here since its own did not answer, reaches nobody else: the zone is
   * cut off, and this is the only one who can keep its tasks alive. It is told nothing, and the token keeps this safe as
   * it does for substitutes. After a lease it is sent on again: another controller may wait for it, and would give its
   * machine up.
   */
  private answerIsolated(m: MachineRecord, r: Heartbeat): HeartbeatReply {
    const { context } = this;
    if (!this.availability.isIsolated)
      return { kind: 'elsewhere', node: context.ownership.owns(m) ? null : context.ownership.holderOf(m) };
    const t = context.clock.now();
    const token = context.view.fencingTokenOf(m);
    const kept = this.returnedAt.get(m.name);
    const sent = this.redirectedAt.get(m.name);
    const away = sent?.token === token ? t - sent.at : Number.POSITIVE_INFINITY;
    // Each try costs it a second at least; one that another controller sent straight back is here sooner.
    const triedAll = away > context.settings.nodes * 1000 - 500 && away < BACK_LATEST_MS;
    const came =
      triedAll || (!(away < BACK_LATEST_MS) && !context.ownership.owns(m) && this.leftOwner(r, token));
    const keepMs = context.settings.workers.lease_s * 1000;
    const stays = kept?.token === token && t - kept.at < keepMs;
    if (r.token > token || !(came || stays)) {
      this.returnedAt.delete(m.name);
      this.redirectedAt.set(m.name, { token, at: t });
      return { kind: 'elsewhere', node: null };
    }
    if (!stays) this.returnedAt.set(m.name, { token, at: t });
    this.redirectedAt.delete(m.name);
    return { kind: 'ok', token, commands: [] };
  }

  /** It has the present token and has had it for a while: it knew its owner and left it. */
  private leftOwner(r: Heartbeat, token: FencingToken): boolean {
    const known = this.tokens.get(r.machine);
    const reportMs = this.context.settings.workers.report_s * 1000;
    return (
      r.token === token && known !== undefined && this.context.clock.now() - known.since >= reportMs * 1.5
    );
  }

  private shouldProxy(m: MachineRecord, r: Heartbeat, ownerLives: boolean): boolean {
    const { context } = this;
    const t = context.clock.now();
    const reportMs = context.settings.workers.report_s * 1000;
    const soon = reportMs * 1.25 + 500;
    const token = context.view.fencingTokenOf(m);
    if (r.token > token) return false;
    const before = this.proxied.get(m.name);
    // After a change of owner the worker is sent to the new one first.
    const s = before?.token === token ? before : undefined;
    if (s === undefined) this.proxied.delete(m.name);
    if (!ownerLives) {
      this.proxied.set(m.name, {
        token,
        since: s?.since ?? t,
        lastHeartbeatAt: t,
        receivesAnswers: s !== undefined && (s.receivesAnswers || t - s.lastHeartbeatAt < soon),
        keepMs: s?.keepMs ?? reportMs * 2,
      });
      return true;
    }
    if (s === undefined) {
      // One that left its owner is kept. Any other is sent there first. One that comes back from there does not reach
      // it; it may not even have the token yet, where its machine got a new owner while zones were apart.
      const left = this.leftOwner(r, token);
      const sent = this.redirectedAt.get(m.name);
      const away = sent?.token === token ? t - sent.at : Number.POSITIVE_INFINITY;
      if (!left && (away < BACK_SOONEST_MS || away > BACK_LATEST_MS)) {
        if (away > BACK_LATEST_MS) this.redirectedAt.set(m.name, { token, at: t });
        return false;
      }
      this.redirectedAt.delete(m.name);
      this.proxied.set(m.name, {
        token,
        since: t,
        lastHeartbeatAt: t,
        receivesAnswers: false,
        keepMs: reportMs * 2,
      });
      return true;
    }
    s.receivesAnswers ||= t - s.lastHeartbeatAt < soon;
    s.lastHeartbeatAt = t;
    if (t - s.since < s.keepMs) return true;
    // Back to its owner; if it returns from there it is kept for longer.
    s.since = (t + reportMs) as MonotonicMs;
    s.keepMs = Math.min(s.keepMs * 2, reportMs * 16);
    return false;
  }

  private isStateFresh(): boolean {
    return (
      this.context.clock.now() - this.context.state.lastContactAt < 2500 && this.membership.hasValidLease
    );
  }

  /** Only what the state says is over may be stopped in the owner's place. */
  private stopCommandsFor(r: Heartbeat): AgentCommand[] {
    const out: AgentCommand[] = [];
    for (const t of r.tasks) {
      if (t.state === 'exited') continue;
      const job = this.context.view.jobs.get(t.job);
      if (job === undefined || job.phase === 'cancelling')
        out.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, gracePeriodS: 0 });
    }
    return out;
  }

  /** Keeps the list of machines answered here for others current in the state service. */
  async run(): Promise<never> {
    const { context } = this;
    for (;;) {
      // A long list takes several changes each time.
      await context.clock.sleep(LIST_EVERY_MS * Math.max(1, this.proxiedMachineList.records));
      if (!context.watcher.isReady) continue;
      const reportMs = context.settings.workers.report_s * 1000;
      for (const [name, s] of [...this.proxied]) {
        const m = context.view.machines.get(name);
        const keepMs = s.receivesAnswers ? reportMs * 2 + 6000 : reportMs * 1.25 + 500;
        if (m === undefined || context.ownership.owns(m) || context.clock.now() - s.lastHeartbeatAt > keepMs)
          this.proxied.delete(name);
      }
      const lease = this.membership.currentLease;
      if (lease === null) continue;
      await this.proxiedMachineList.publish(this.proxied.keys(), lease);
    }
  }
}
