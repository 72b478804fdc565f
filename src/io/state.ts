// The state service: paced requests, leases, transactions whose fate becomes known, and the watch.
import type { Clock } from '../core/clock.js';
import { bytesOf, slim } from '../core/records.js';
import { key, MACHINES, ROOT, type Change, type View } from '../core/view.js';
import {
  NO_VERSION,
  revision,
  version,
  type MachineRecord,
  type Revision,
  type Version,
} from '../core/types.js';
import type { Method, Reply, Transport } from './http.js';
import { Pacer, URGENT, type Urgency } from './pacer.js';
import * as wire from './wire.js';
import type { Guard, Op } from './wire.js';

export interface StateSettings {
  readonly rps: number;
  readonly writeRps: number;
  /** What the rates may fall to, without notice. */
  readonly lowRps: number;
  readonly lowWriteRps: number;
  readonly txnOps: number;
  readonly valueBytes: number;
  readonly nodes: number;
}

/** 'unknown': no answer came; it may have been carried out or may yet be. */
export type TxnResult =
  | { readonly kind: 'ok'; readonly rev: Revision }
  | { readonly kind: 'conflict'; readonly rev: Revision; readonly failed: readonly string[] }
  | { readonly kind: 'no_lease' }
  | { readonly kind: 'refused' }
  /** Malformed or above a limit: sent again, it would be rejected again. */
  | { readonly kind: 'rejected' }
  /** Not sent: its guards had failed already when its turn came. */
  | { readonly kind: 'stale' }
  | { readonly kind: 'unknown' };

export class Unavailable extends Error {}

const TIMEOUT_MS = 2000;
/** Polls that come within so long share a barrier: each is a request of the state service's budget. */
const BARRIER_EVERY_MS = 80;

export class StateClient {
  private readonly pacer: Pacer;
  /** When the newest answered request was sent: the state was in reach then. */
  contactAt = Number.NEGATIVE_INFINITY;
  /** When the service last refused or failed to answer. */
  failedAt = Number.NEGATIVE_INFINITY;
  counts = { requests: 0, limited: 0, refused: 0, lost: 0 };

  constructor(
    readonly settings: StateSettings,
    readonly clock: Clock,
    private readonly http: Transport,
    /** Apart from the others, since a watch holds its connection. */
    private readonly watchHttp: Transport,
    /** Told of each transaction that the service rejects for good. */
    private readonly rejected: (ops: readonly Op[], answer: unknown) => void = () => undefined,
  ) {
    this.pacer = new Pacer(
      { high: (settings.rps / settings.nodes) * 0.9, low: (settings.lowRps / settings.nodes) * 0.9 },
      {
        high: (settings.writeRps / settings.nodes) * 0.95,
        low: (settings.lowWriteRps / settings.nodes) * 0.95,
      },
      200,
      Math.max(1, settings.nodes * 0.8),
      clock,
    );
  }

  private async call(
    method: Method,
    path: string,
    body: unknown,
    urgency: Urgency,
    writes = 0,
    stale: () => boolean = () => false,
  ): Promise<Reply | 'refused' | 'stale' | 'unknown'> {
    if (!(await this.pacer.take(urgency, writes))) return 'refused';
    if (stale()) {
      this.pacer.giveBack(writes);
      return 'stale';
    }
    const sent = this.clock.now();
    this.counts.requests++;
    try {
      const r = await this.http.request(method, path, body, TIMEOUT_MS);
      if (r.status === 429) {
        this.counts.limited++;
        this.pacer.drained(writes);
        return 'refused';
      }
      if (r.status === 503) {
        this.counts.refused++;
        this.failedAt = this.clock.now();
        return 'refused';
      }
      this.contactAt = Math.max(this.contactAt, sent);
      return r;
    } catch {
      this.counts.lost++;
      this.failedAt = this.clock.now();
      return 'unknown';
    }
  }

  /** There is budget left for what could also be written later. */
  get spare(): boolean {
    return this.pacer.idle;
  }

  writesWithin(ms: number): number {
    return this.pacer.within(ms);
  }

  /** True where nothing since the last answer suggests that the service is out of reach. */
  reachable(withinMs: number): boolean {
    return this.contactAt > this.failedAt || this.clock.now() - this.contactAt < withinMs;
  }

  async get(k: string, urgency: Urgency): Promise<{ value: unknown; version: Version }> {
    const r = await this.call('GET', `${wire.paths.kv}/${k}`, undefined, urgency);
    if (typeof r === 'string') throw new Unavailable(k);
    if (r.status === 404) return { value: undefined, version: NO_VERSION };
    if (r.status !== 200) throw new Unavailable(`${k}: ${r.status}`);
    return wire.entryFromWire(r.body);
  }

  async txn(
    guards: readonly Guard[],
    ops: readonly Op[],
    urgency: Urgency,
    stale?: () => boolean,
  ): Promise<TxnResult> {
    const body = wire.txnToWire(guards, ops);
    const r = await this.call('POST', wire.paths.txn, body, urgency, ops.length, stale);
    if (typeof r === 'string') return { kind: r };
    if (r.status === 200) return { kind: 'ok', rev: wire.revisionFromWire(r.body) };
    if (r.status === 409)
      return { kind: 'conflict', rev: wire.revisionFromWire(r.body), failed: wire.failedFromWire(r.body) };
    if (r.status === 400 && ops.some((o) => o.lease !== undefined)) return { kind: 'no_lease' };
    if (r.status === 400) {
      this.rejected(ops, r.body);
      return { kind: 'rejected' };
    }
    throw new Error(`transaction: ${r.status} ${JSON.stringify(r.body)}`);
  }

  /** The service's present revision: whatever was committed before the call is at or below it. */
  async present(urgency: Urgency): Promise<Revision> {
    const r = await this.txn([], [], urgency);
    if (r.kind !== 'ok') throw new Unavailable('present');
    return r.rev;
  }

  async grant(ttlMs: number): Promise<number> {
    const r = await this.call('POST', wire.paths.leases, wire.leaseToWire(ttlMs), URGENT.session);
    if (typeof r === 'string' || r.status !== 200) throw new Unavailable('grant');
    return wire.leaseFromWire(r.body);
  }

  /** True: renewed; false: the lease is over. */
  async renew(lease: number): Promise<boolean> {
    const r = await this.call('POST', `${wire.paths.leases}/${lease}/touch`, undefined, URGENT.session);
    if (typeof r === 'string') throw new Unavailable('renew');
    if (r.status === 404) return false;
    if (r.status !== 200) throw new Unavailable(`renew: ${r.status}`);
    return true;
  }

  async revoke(lease: number): Promise<void> {
    const r = await this.call('DELETE', `${wire.paths.leases}/${lease}`, undefined, URGENT.session);
    if (typeof r === 'string') throw new Unavailable('revoke');
  }

  /** Reads everything below the root; the first page's revision is where the watch must begin. */
  async list(): Promise<{ rows: Change[]; from: Revision; upTo: Revision }> {
    const rows: Change[] = [];
    let from: Revision | null = null;
    let after: string | null = null;
    for (;;) {
      const r = await this.call(
        'GET',
        wire.paths.kv + wire.listKeysQuery(ROOT, after),
        undefined,
        URGENT.session,
      );
      if (typeof r === 'string' || r.status !== 200) throw new Unavailable('list');
      const page = wire.rowsFromWire(r.body);
      from ??= page.rev;
      rows.push(...page.rows);
      if (!page.more || page.rows.length === 0) return { rows, from, upTo: page.rev };
      after = page.rows[page.rows.length - 1]!.key;
    }
  }

  /** One wait for changes. Null: the revision is too old, list again. */
  async follow(from: Revision, waitMs: number): Promise<{ events: Change[]; rev: Revision } | null> {
    if (!(await this.pacer.take(URGENT.session, 0))) throw new Unavailable('watch');
    const path = wire.paths.watch + wire.watchQuery(ROOT, from, waitMs);
    const r = await this.watchHttp.request('GET', path, undefined, waitMs + TIMEOUT_MS);
    if (r.status === 410) return null;
    if (r.status !== 200) {
      if (r.status === 429) this.pacer.drained(0);
      throw new Unavailable(`watch: ${r.status}`);
    }
    return wire.eventsFromWire(r.body);
  }
}

/** Keeps a view current and lets others wait until it has reached a revision. */
export class Follower {
  /** The first complete picture has been reached. */
  ready = false;
  private waiting: { rev: Revision; go: (ok: boolean) => void }[] = [];
  private barrier: Promise<void> | null = null;
  private queuedBarrier: Promise<void> | null = null;

  constructor(
    private readonly client: StateClient,
    readonly view: View,
    private readonly changed: (keys: ReadonlySet<string>) => void,
    /** Told of each change that this process has committed, before the view is. */
    private readonly committed: (ops: readonly Op[]) => void = () => undefined,
  ) {}

  async run(): Promise<never> {
    for (;;) {
      try {
        const { rows, from, upTo } = await this.client.list();
        this.view.reset(rows, from);
        this.view.reached(from);
        this.changed(new Set(rows.map((r) => r.key)));
        if (from >= upTo) this.ready = true;
        let at = from;
        for (;;) {
          let r: { events: Change[]; rev: Revision } | null;
          try {
            r = await this.client.follow(at, 8000);
          } catch {
            await this.client.clock.sleep(250);
            continue;
          }
          if (r === null) break;
          const keys = new Set<string>();
          for (const e of r.events) if (this.view.apply(e)) keys.add(e.key);
          at = revision(Math.max(at, r.rev));
          this.view.reached(at);
          if (at >= upTo) this.ready = true;
          this.wake();
          if (keys.size > 0) this.changed(keys);
        }
      } catch {
        await this.client.clock.sleep(300);
      }
    }
  }

  private wake(): void {
    const rest: typeof this.waiting = [];
    for (const w of this.waiting) {
      if (w.rev <= this.view.rev) w.go(true);
      else rest.push(w);
    }
    this.waiting = rest;
  }

  reached(rev: Revision, timeoutMs: number): Promise<boolean> {
    if (this.view.rev >= rev) return Promise.resolve(true);
    return new Promise((resolve) => {
      const w = {
        rev,
        go: (ok: boolean) => {
          stop();
          resolve(ok);
        },
      };
      const stop = this.client.clock.after(timeoutMs, () => {
        this.waiting = this.waiting.filter((x) => x !== w);
        resolve(false);
      });
      this.waiting.push(w);
    });
  }

  /**
   * After it, the view is at least as new as anything that any controller had told anybody before the call.
   * Calls that come while one barrier is under way share the next one.
   */
  async fresh(): Promise<void> {
    if (this.barrier === null) {
      this.barrier = this.oneBarrier().finally(() => {
        this.barrier = null;
      });
      return this.barrier;
    }
    this.queuedBarrier ??= this.barrier
      .catch(() => undefined)
      .then(() => this.client.clock.sleep(BARRIER_EVERY_MS))
      .then(() => {
        this.queuedBarrier = null;
        return this.fresh();
      });
    return this.queuedBarrier;
  }

  private async oneBarrier(): Promise<void> {
    const rev = await this.client.present(URGENT.users);
    if (!(await this.reached(rev, 1500))) throw new Unavailable('the watch lags');
  }

  /** Takes in this process's own commit without waiting for the watch. */
  applied(ops: readonly Op[], rev: Revision): void {
    this.committed(ops);
    const keys = new Set<string>();
    for (const o of ops) {
      if (!o.key.startsWith(ROOT)) continue;
      if (this.view.apply({ key: o.key, value: o.value, version: version(rev) })) keys.add(o.key);
    }
    if (keys.size > 0) this.changed(keys);
  }
}

/** Changes that must be committed together, with the versions that they were made from. */
export interface Group {
  readonly ops: readonly Op[];
  readonly guards: readonly Guard[];
}

/** A guard that the view shows to have failed. Transactions that fail cost as much as those that do not. */
export const outdated = (view: View, guards: readonly Guard[]) =>
  guards.some((g) => view.versionOf(g.key) !== g.version);

/**
 * The group with values within the limit, or null where that can't be: the service would refuse it for ever, and what
 * comes behind it would wait. Only what was stored under a higher limit is that large; it is left until it shrinks.
 */
function fitted(g: Group, valueBytes: number): Group | null {
  let whole = true;
  const ops = g.ops.map((o) => {
    if (o.value === undefined || bytesOf(o.value) <= valueBytes) return o;
    const value = o.key.startsWith(MACHINES) ? slim(o.value as MachineRecord, valueBytes) : null;
    whole &&= value !== null;
    return { ...o, value };
  });
  return whole ? { ops, guards: g.guards } : null;
}

/**
 * Fills transactions with groups, in order, as far as the state service's limits go. Each is put together only when its
 * turn comes, so that what has been overtaken meanwhile is left out.
 */
export function* pack(
  groups: readonly Group[],
  base: readonly Guard[],
  limits: { readonly txnOps: number; readonly valueBytes: number },
  view: View,
): Generator<Group> {
  const { txnOps } = limits;
  for (let i = 0; i < groups.length;) {
    const ops: Op[] = [];
    const guards = new Map<string, Guard>(base.map((g) => [g.key, g]));
    let bytes = 200 + 80 * guards.size;
    for (; i < groups.length; i++) {
      if (outdated(view, groups[i]!.guards)) continue;
      const g = fitted(groups[i]!, limits.valueBytes);
      if (g === null) continue;
      const size = JSON.stringify(g.ops).length + 80 * g.guards.length;
      const more = g.guards.filter((x) => !guards.has(x.key)).length;
      const full =
        ops.length + g.ops.length > txnOps || bytes + size > 60_000 || guards.size + more > txnOps * 4;
      if (ops.length > 0 && full) break;
      ops.push(...g.ops);
      for (const x of g.guards) guards.set(x.key, x);
      bytes += size;
    }
    if (ops.length > 0) yield { ops, guards: [...guards.values()] };
  }
}

/**
 * Commits and comes back only when the outcome is known. A transaction without an answer may still be applied
 * minutes later, so one of the keys it is guarded on is written anew: from then on its guards fail.
 */
export async function commit(
  client: StateClient,
  follower: Follower,
  guards: readonly Guard[],
  ops: readonly Op[],
  urgency: Urgency,
): Promise<'ok' | 'conflict' | 'refused' | 'rejected'> {
  const r = await client.txn(guards, ops, urgency, () => outdated(follower.view, guards));
  if (r.kind === 'ok') {
    follower.applied(ops, r.rev);
    return 'ok';
  }
  if (r.kind === 'refused' || r.kind === 'rejected') return r.kind;
  if (r.kind === 'conflict') {
    await follower.reached(r.rev, 2000);
    return 'conflict';
  }
  if (r.kind === 'no_lease' || r.kind === 'stale') return 'conflict';
  const pivot = pivotOf(client, follower.view, guards, ops);
  for (;;) {
    const known = follower.view.entries.get(pivot.key);
    // The view knows a newer version already: whatever can have been applied is in it, or soon will be.
    if (known === undefined || known.version > pivot.version) return settle(client, follower);
    if (known.version === pivot.version) {
      const { lease } = known.value as { lease?: number };
      const op: Op = { key: pivot.key, value: known.value, ...(lease === undefined ? {} : { lease }) };
      const bump = await client.txn([pivot], [op], urgency);
      if (bump.kind === 'ok') follower.applied([op], bump.rev);
      if (bump.kind === 'ok' || bump.kind === 'conflict' || bump.kind === 'no_lease')
        return settle(client, follower);
    }
    await client.clock.sleep(200);
  }
}

/**
 * The guarded key to write anew after a transaction without an answer. Best one that the transaction writes itself: the
 * versions of the others mean something to others. A value stored under a higher limit can't be written back.
 */
function pivotOf(client: StateClient, view: View, guards: readonly Guard[], ops: readonly Op[]): Guard {
  const fitsLimit = (g: Guard) =>
    bytesOf(view.entries.get(g.key)?.value ?? null) <= client.settings.valueBytes;
  const existing = guards.filter((g) => g.version > 0 && fitsLimit(g));
  const pivot =
    existing.find((g) => ops.some((o) => o.key === g.key)) ??
    existing.find((g) => g.key !== key.leader) ??
    existing[0];
  if (pivot === undefined) throw new Error('a transaction must be guarded on a key that exists');
  return pivot;
}

/**
 * Waits, however long it takes, until the view holds all that was committed before the call. Going on with
 * an older view could place a task a second time whose first placement is not in it yet.
 */
async function settle(client: StateClient, follower: Follower): Promise<'conflict'> {
  for (;;) {
    try {
      const rev = await client.present(URGENT.starts);
      while (!(await follower.reached(rev, 5000)));
      return 'conflict';
    } catch (e) {
      if (!(e instanceof Unavailable)) throw e;
      await client.clock.sleep(200);
    }
  }
}

/** A transaction is sent so often again before its plan is given up. */
const MOST_REFUSALS = 3;

/**
 * Commits groups in order, as many to a transaction as fit. False: not all were committed. One that was overtaken does not
 * hold up those behind it, and one that the budget refused is sent again: with small transactions a plan takes seconds to
 * commit, and to begin anew with each refusal cost most of what was planned. After the time given the rest is left out.
 */
export async function commitAll(
  client: StateClient,
  follower: Follower,
  groups: readonly Group[],
  urgency: Urgency,
  forMs = Number.POSITIVE_INFINITY,
): Promise<boolean> {
  const until = client.clock.now() + forMs;
  let ok = true;
  for (const { ops, guards } of pack(groups, [], client.settings, follower.view)) {
    let r = await commit(client, follower, guards, ops, urgency);
    for (let i = 0; i < MOST_REFUSALS && r === 'refused' && client.reachable(1000); i++)
      r = await commit(client, follower, guards, ops, urgency);
    if (r === 'refused') return false;
    if (client.clock.now() >= until) return false;
    ok &&= r === 'ok';
  }
  return ok;
}
