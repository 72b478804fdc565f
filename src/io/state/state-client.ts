/** The client of the state service: paced requests, leases, transactions, listings and the watch. */
import type { Clock } from '../../core/model/clock.js';
import type { TransactionOutcome } from '../../core/events.js';
import { WATCHED_PREFIX } from '../../core/records/keys.js';
import { NO_VERSION, revision, type Revision, type Version } from '../../core/model/ids.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { KeyChange } from '../../core/state/cluster-view.js';
import type { Method, HttpResponse, Transport } from '../http-client.js';
import { RateLimiter, REQUEST_PRIORITY, type RequestPriority } from '../rate-limiter.js';
import { paths } from '../paths.js';
import {
  revisionFromWire,
  entryFromWire,
  transactionToWire,
  failedFromWire,
  leaseToWire,
  leaseFromWire,
  listKeysQuery,
  rowsFromWire,
  watchQuery,
  eventsFromWire,
} from './state-messages.js';
import type { Guard, WriteOperation } from './state-messages.js';
import { StateUsage, type RequestKind } from './state-usage.js';

/** The limits of the state service, and how many controllers share them. */
export interface StateServiceLimits {
  readonly rps: number;
  readonly writeRps: number;
  /** What the rates may fall to, without notice. */
  readonly lowRps: number;
  readonly lowWriteRps: number;
  readonly operationsPerTransaction: number;
  readonly valueBytes: number;
  readonly nodes: number;
}

/** 'unknown': no answer came; it may have been carried out or may yet be. */
export type TransactionResult =
  | { readonly kind: 'ok'; readonly revision: Revision }
  | { readonly kind: 'conflict'; readonly revision: Revision; readonly failed: readonly string[] }
  | { readonly kind: 'no_lease' }
  | { readonly kind: 'refused' }
  /** Malformed or above a limit: sent again, it would be rejected again. */
  | { readonly kind: 'rejected' }
  /** Not sent: its guards had failed already when its turn came. */
  | { readonly kind: 'stale' }
  | { readonly kind: 'unknown' };

const outcomeOf = ({ kind }: TransactionResult): TransactionOutcome =>
  kind === 'ok' || kind === 'conflict' || kind === 'refused' || kind === 'unknown' ? kind : 'other';

/** Something cannot be known or done now: come back later. */
export class Unavailable extends Error {}

interface StateRequest {
  readonly kind: RequestKind;
  readonly method: Method;
  readonly path: string;
  readonly body?: unknown;
  readonly urgency: RequestPriority;
  /** Changes that it makes. */
  readonly writes?: number;
}

const TIMEOUT_MS = 2000;
/**
 * The part of this process's requests that may be spent on waiting for changes. Each change ends a wait, and while many
 * controllers write many small ones, all requests went into that, and users' questions were refused.
 */
const WATCH_PART = 0.3;
/** How often a transaction that a user waits for is sent again after a refusal. */
const MOST_RETRIES = 2;

/** Requests to the state service, each within the budget. */
export class StateClient {
  private readonly limiter: RateLimiter;
  /** When the newest answered request was sent: the state was in reach then. */
  lastContactAt = Number.NEGATIVE_INFINITY;
  /** When the service last refused or failed to answer. */
  lastFailureAt = Number.NEGATIVE_INFINITY;
  readonly usage = new StateUsage();

  constructor(
    readonly limits: StateServiceLimits,
    readonly clock: Clock,
    private readonly http: Transport,
    /** Apart from the others, since a watch holds its connection. */
    private readonly watchHttp: Transport,
    /** Told of each transaction that the service rejects for good. */
    private readonly onRejected: (operations: readonly WriteOperation[], answer: unknown) => void = () =>
      undefined,
    /** Told of each transaction with changes, and since when it was under way. */
    private readonly onFinished: (
      operations: readonly WriteOperation[],
      outcome: TransactionOutcome,
      since: MonotonicMs,
    ) => void = () => undefined,
  ) {
    this.limiter = new RateLimiter(
      { high: (limits.rps / limits.nodes) * 0.9, low: (limits.lowRps / limits.nodes) * 0.9 },
      {
        high: (limits.writeRps / limits.nodes) * 0.95,
        low: (limits.lowWriteRps / limits.nodes) * 0.95,
      },
      200,
      Math.max(1, limits.nodes * 0.8),
      clock,
    );
  }

  private async call(
    { kind, method, path, body, urgency: priority, writes = 0 }: StateRequest,
    stale: () => boolean = () => false,
  ): Promise<HttpResponse | 'refused' | 'stale' | 'unknown'> {
    if (!(await this.limiter.acquire(priority, writes))) return 'refused';
    if (stale()) {
      this.limiter.refund(writes);
      return 'stale';
    }
    const sent = this.clock.now();
    this.usage.sent(kind);
    try {
      const r = await this.http.request(method, path, body, TIMEOUT_MS);
      if (r.status === 429) {
        this.usage.limited++;
        this.limiter.noteExhausted(writes);
        return 'refused';
      }
      if (r.status === 503) {
        this.usage.refused++;
        this.lastFailureAt = this.clock.now();
        return 'refused';
      }
      this.lastContactAt = Math.max(this.lastContactAt, sent);
      return r;
    } catch {
      this.usage.lost++;
      this.lastFailureAt = this.clock.now();
      return 'unknown';
    }
  }

  /** There is budget left for what could also be written later. */
  get hasSpareBudget(): boolean {
    return this.limiter.isIdle;
  }

  writesWithin(ms: number): number {
    return this.limiter.writesWithin(ms);
  }

  /** True where nothing since the last answer suggests that the service is out of reach. */
  isReachable(withinMs: number): boolean {
    return this.lastContactAt > this.lastFailureAt || this.clock.now() - this.lastContactAt < withinMs;
  }

  /** A key's value; `rev` is a revision at which the answer held: that of the key, or of the service where it has none. */
  async get(
    k: string,
    priority: RequestPriority,
  ): Promise<{ value: unknown; version: Version; rev: Revision }> {
    const path = `${paths.kv}/${k}`;
    const r = await this.call({ kind: 'read', method: 'GET', path, urgency: priority });
    if (typeof r === 'string') throw new Unavailable(k);
    if (r.status === 404) return { value: undefined, version: NO_VERSION, rev: revisionFromWire(r.body) };
    if (r.status !== 200) throw new Unavailable(`${k}: ${r.status}`);
    const entry = entryFromWire(r.body);
    return { ...entry, rev: revision(entry.version) };
  }

  async transact(
    guards: readonly Guard[],
    operations: readonly WriteOperation[],
    priority: RequestPriority,
    stale?: () => boolean,
  ): Promise<TransactionResult> {
    const since = this.clock.now();
    const result = await this.sendTransaction(guards, operations, priority, stale);
    if (operations.length > 0) this.onFinished(operations, outcomeOf(result), since);
    return result;
  }

  private async sendTransaction(
    guards: readonly Guard[],
    operations: readonly WriteOperation[],
    priority: RequestPriority,
    stale?: () => boolean,
  ): Promise<TransactionResult> {
    const body = transactionToWire(guards, operations);
    const kind = operations.length === 0 ? 'barrier' : 'transaction';
    const path = paths.txn;
    const writes = operations.length;
    const r = await this.call({ kind, method: 'POST', path, body, urgency: priority, writes }, stale);
    if (typeof r === 'string') return { kind: r };
    if (r.status === 200) {
      for (const o of operations) this.usage.wrote(o.reason ?? 'other');
      return { kind: 'ok', revision: revisionFromWire(r.body) };
    }
    if (r.status === 409) this.usage.conflicted += operations.length;
    if (r.status === 409)
      return {
        kind: 'conflict',
        revision: revisionFromWire(r.body),
        failed: failedFromWire(r.body),
      };
    if (r.status === 400 && operations.some((o) => o.lease !== undefined)) return { kind: 'no_lease' };
    if (r.status === 400) {
      this.onRejected(operations, r.body);
      return { kind: 'rejected' };
    }
    throw new Error(`transaction: ${r.status} ${JSON.stringify(r.body)}`);
  }

  /**
   * As `txn`, sent again where the service's budget was spent for the moment: it is back within a fraction of a second,
   * and a user who is told to come back does so after a second at the earliest. In an outage nothing is sent again.
   */
  async transactWithRetry(
    guards: readonly Guard[],
    operations: readonly WriteOperation[],
    priority: RequestPriority,
  ): Promise<TransactionResult> {
    let result = await this.transact(guards, operations, priority);
    for (
      let i = 0;
      i < MOST_RETRIES && result.kind === 'refused' && this.lastContactAt > this.lastFailureAt;
      i++
    )
      result = await this.transact(guards, operations, priority);
    return result;
  }

  /** The service's present revision: whatever was committed before the call is at or below it. */
  async currentRevision(priority: RequestPriority): Promise<Revision> {
    const r = await this.transactWithRetry([], [], priority);
    if (r.kind !== 'ok') throw new Unavailable('present');
    return r.revision;
  }

  private sendLeaseRequest(method: Method, path: string, body?: unknown) {
    return this.call({ kind: 'lease', method, path, body, urgency: REQUEST_PRIORITY.session });
  }

  async grantLease(ttlMs: number): Promise<number> {
    const r = await this.sendLeaseRequest('POST', paths.leases, leaseToWire(ttlMs));
    if (typeof r === 'string' || r.status !== 200) throw new Unavailable('grant');
    return leaseFromWire(r.body);
  }

  /** True: renewed; false: the lease is over. */
  async renewLease(lease: number): Promise<boolean> {
    const r = await this.sendLeaseRequest('POST', `${paths.leases}/${lease}/touch`);
    if (typeof r === 'string') throw new Unavailable('renew');
    if (r.status === 404) return false;
    if (r.status !== 200) throw new Unavailable(`renew: ${r.status}`);
    return true;
  }

  async revokeLease(lease: number): Promise<void> {
    const r = await this.sendLeaseRequest('DELETE', `${paths.leases}/${lease}`);
    if (typeof r === 'string') throw new Unavailable('revoke');
  }

  /** Reads everything below the root; the first page's revision is where the watch must begin. */
  async list(): Promise<{ rows: KeyChange[]; from: Revision; upTo: Revision }> {
    const rows: KeyChange[] = [];
    let from: Revision | null = null;
    let after: string | null = null;
    for (;;) {
      const path: string = paths.kv + listKeysQuery(WATCHED_PREFIX, after);
      const r = await this.call({ kind: 'list', method: 'GET', path, urgency: REQUEST_PRIORITY.session });
      if (typeof r === 'string' || r.status !== 200) throw new Unavailable('list');
      const page = rowsFromWire(r.body);
      from ??= page.rev;
      rows.push(...page.rows);
      if (!page.more || page.rows.length === 0) return { rows, from, upTo: page.rev };
      after = page.rows[page.rows.length - 1]!.key;
    }
  }

  /** The least time between two waits for changes, so that these leave most of the requests to others. */
  get minWatchIntervalMs(): number {
    return (1000 * this.limits.nodes) / (this.limits.rps * WATCH_PART);
  }

  /** One wait for changes. Null: the revision is too old, list again. */
  async watch(from: Revision, waitMs: number): Promise<{ events: KeyChange[]; rev: Revision } | null> {
    if (!(await this.limiter.acquire(REQUEST_PRIORITY.session, 0))) throw new Unavailable('watch');
    this.usage.sent('watch');
    const path = paths.watch + watchQuery(WATCHED_PREFIX, from, waitMs);
    const r = await this.watchHttp.request('GET', path, undefined, waitMs + TIMEOUT_MS);
    if (r.status === 410) return null;
    if (r.status !== 200) {
      if (r.status === 429) this.limiter.noteExhausted(0);
      throw new Unavailable(`watch: ${r.status}`);
    }
    return eventsFromWire(r.body);
  }
}
