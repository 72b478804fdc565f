/** The client of the state service: reads, transactions, leases, listings and the watch, all within its rate limits. */
import { UnavailableError } from '../../core/errors.js';
import type { TransactionOutcome } from '../../core/events.js';
import type { Clock } from '../../core/model/clock.js';
import { NO_VERSION, revision, type Revision, type Version } from '../../core/model/ids.js';
import type { MonotonicMs } from '../../core/model/time.js';
import { WATCHED_PREFIX } from '../../core/records/keys.js';
import type { KeyChange } from '../../core/state/cluster-view.js';
import type { HttpResponse, Method, Transport } from '../http-client.js';
import { paths } from '../paths.js';
import { ProtocolError } from '../protocol-error.js';
import { RateLimiter, REQUEST_PRIORITY, type RequestPriority } from '../rate-limiter.js';
import type { ChangeSet } from './change-set.js';
import { retryWhile } from './retry.js';
import { createLimiter, watchIntervalMs, type StateServiceLimits } from './state-limits.js';
import {
  entryFromWire,
  eventsFromWire,
  failedFromWire,
  leaseFromWire,
  leaseToWire,
  listKeysQuery,
  revisionFromWire,
  rowsFromWire,
  transactionToWire,
  watchQuery,
  type WatchedChanges,
  type WriteOperation,
} from './state-messages.js';
import { StateUsage, type RequestKind } from './state-usage.js';
import type { TransactionResult } from './transaction-result.js';

const TIMEOUT_MS = 2000;
/** Maximum number of retries of a refused transaction that a user waits for. */
const MAX_RETRIES = 2;

/** Limits, clock, connections and observers of a state client. */
export interface StateClientOptions {
  readonly limits: StateServiceLimits;
  readonly clock: Clock;
  readonly transport: Transport;
  /** Connection of the watch, apart from the other requests since a watch occupies it while it blocks. */
  readonly watchTransport: Transport;
  /** Called for each transaction that the service rejects as malformed or above a limit; `answer` is the body. */
  readonly onTransactionRejected?: (operations: readonly WriteOperation[], answer: unknown) => void;
  /** Called at the end of each transaction with operations; `since` is when it was passed to the client. */
  readonly onTransactionFinished?: (
    operations: readonly WriteOperation[],
    outcome: TransactionOutcome,
    since: MonotonicMs,
  ) => void;
}

/** A key's value (undefined: no such key) and version, and a revision at which both held. */
export interface KeyState {
  readonly value: unknown;
  readonly version: Version;
  /** The key's version, or the state service's revision if there is no such key. */
  readonly revision: Revision;
}

/** All watched keys. The watch must begin at `from`, the first page's revision; the view is complete from `upTo` on. */
export interface KeyListing {
  readonly rows: KeyChange[];
  readonly from: Revision;
  readonly upTo: Revision;
}

interface StateRequest {
  readonly kind: RequestKind;
  readonly method: Method;
  readonly path: string;
  readonly body?: unknown;
  readonly priority: RequestPriority;
  /** Number of write operations; undefined: none. */
  readonly writes?: number;
}

type RequestResult =
  | { readonly kind: 'answered'; readonly response: HttpResponse }
  | { readonly kind: 'refused' }
  | { readonly kind: 'stale' }
  | { readonly kind: 'unknown'; readonly cause: unknown };

/** Sends requests to the state service, each once the rate limiter has granted it. */
export class StateClient {
  readonly limits: StateServiceLimits;
  readonly clock: Clock;
  readonly usage = new StateUsage();
  /** Send time of the latest request that was answered, except with 429 or 503: the service was reachable then. */
  lastContactAt = Number.NEGATIVE_INFINITY;
  /** When a request last got no response or a 503. Watch requests affect neither this time nor `lastContactAt`. */
  lastFailureAt = Number.NEGATIVE_INFINITY;
  private readonly limiter: RateLimiter;

  constructor(private readonly options: StateClientOptions) {
    const { limits, clock } = options;
    this.limits = limits;
    this.clock = clock;
    this.limiter = createLimiter(limits, clock);
  }

  /** Whether the write rate has room for writes that can wait. */
  get hasSpareBudget(): boolean {
    return this.limiter.hasSpareBudget;
  }

  /** How many operations this controller can write within `ms` milliseconds at its present rate. */
  writesWithin(ms: number): number {
    return this.limiter.writesWithin(ms);
  }

  /** Whether no request has failed since the latest answered one was sent, or that one is younger than `withinMs`. */
  isReachable(withinMs: number): boolean {
    return this.hasAnsweredLast || this.clock.now() - this.lastContactAt < withinMs;
  }

  /** Reads a key. Throws `UnavailableError` on a refusal, a missing answer or an unexpected status. */
  async get(key: string, priority: RequestPriority): Promise<KeyState> {
    const path = `${paths.kv}/${key}`;
    const result = await this.call({ kind: 'read', method: 'GET', path, priority });
    const { status, body } = responseOf(result, `read of ${key}`);
    if (status === 404) return { value: undefined, version: NO_VERSION, revision: revisionFromWire(body) };
    if (status !== 200)
      throw new UnavailableError(`read of ${key}: state service answered ${status}, expected 200 or 404`);
    const entry = entryFromWire(body);
    return { ...entry, revision: revision(entry.version) };
  }

  /** Sends a transaction once, unless `isStale` holds once granted. Throws `ProtocolError` on an unexpected status. */
  async transact(
    changeSet: ChangeSet,
    priority: RequestPriority,
    isStale?: () => boolean,
  ): Promise<TransactionResult> {
    const since = this.clock.now();
    const result = await this.sendTransaction(changeSet, priority, isStale);
    const { operations } = changeSet;
    if (operations.length > 0) this.options.onTransactionFinished?.(operations, outcomeOf(result), since);
    return result;
  }

  /**
   * Like `transact`, with up to `MAX_RETRIES` retries on refusal, except in an outage: the rate limit recovers within a
   * fraction of a second, and a user who is asked to retry does so after a second at the earliest.
   */
  transactWithRetry(changeSet: ChangeSet, priority: RequestPriority): Promise<TransactionResult> {
    return retryWhile(
      () => this.transact(changeSet, priority),
      (result) => result.kind === 'refused' && this.hasAnsweredLast,
      MAX_RETRIES,
    );
  }

  /**
   * The state service's current revision, read by an empty transaction: everything committed before the call has this
   * revision or a lower one. Throws `UnavailableError` if it cannot be read.
   */
  async currentRevision(priority: RequestPriority): Promise<Revision> {
    const result = await this.transactWithRetry({ guards: [], operations: [] }, priority);
    if (result.kind !== 'ok')
      throw new UnavailableError(`read of current revision: transaction '${result.kind}', expected 'ok'`);
    return result.revision;
  }

  /** Grants a lease that lasts `ttlMs` from each renewal; returns its id. Throws `UnavailableError` on any failure. */
  async grantLease(ttlMs: number): Promise<number> {
    const result = await this.sendLeaseRequest('POST', paths.leases, leaseToWire(ttlMs));
    const { status, body } = responseOf(result, 'grant of a lease');
    if (status !== 200)
      throw new UnavailableError(`grant of a lease: state service answered ${status}, expected 200`);
    return leaseFromWire(body);
  }

  /** Renews a lease; returns false if it does not exist any more. Throws `UnavailableError` if neither is known. */
  async renewLease(lease: number): Promise<boolean> {
    const result = await this.sendLeaseRequest('POST', `${paths.leases}/${lease}/touch`);
    const { status } = responseOf(result, `renewal of lease ${lease}`);
    if (status === 404) return false;
    if (status !== 200)
      throw new UnavailableError(
        `renewal of lease ${lease}: state service answered ${status}, expected 200 or 404`,
      );
    return true;
  }

  /** Revokes a lease, which removes all keys bound to it. Throws `UnavailableError` if refused or not answered. */
  async revokeLease(lease: number): Promise<void> {
    const path = `${paths.leases}/${lease}`;
    responseOf(await this.sendLeaseRequest('DELETE', path), `revocation of lease ${lease}`);
  }

  /** Lists all watched keys. Throws `UnavailableError` if a page cannot be read, `ProtocolError` if it is malformed. */
  async list(): Promise<KeyListing> {
    const rows: KeyChange[] = [];
    let from: Revision | null = null;
    let after: string | null = null;
    for (;;) {
      const path: string = paths.kv + listKeysQuery(WATCHED_PREFIX, after);
      const priority = REQUEST_PRIORITY.session;
      const { status, body } = responseOf(
        await this.call({ kind: 'list', method: 'GET', path, priority }),
        'listing of keys',
      );
      if (status !== 200)
        throw new UnavailableError(`listing of keys: state service answered ${status}, expected 200`);
      const page = rowsFromWire(body);
      from ??= page.revision;
      rows.push(...page.rows);
      if (!page.hasMore || page.rows.length === 0) return { rows, from, upTo: page.revision };
      after = page.rows[page.rows.length - 1]!.key;
    }
  }

  /** The shortest time from one watch request to the next, so that most of the request rate is left to others. */
  get minWatchIntervalMs(): number {
    return watchIntervalMs(this.limits);
  }

  /** Waits once for changes after `from`. Null: the service no longer has all of them; keys must be listed again. */
  async watch(from: Revision, waitMs: number): Promise<WatchedChanges | null> {
    if (!(await this.limiter.acquire(REQUEST_PRIORITY.session, 0)))
      throw new UnavailableError(`watch from revision ${from}: not sent, the request queue is full`);
    this.usage.countRequest('watch');
    const path = paths.watch + watchQuery(WATCHED_PREFIX, from, waitMs);
    const { watchTransport } = this.options;
    const { status, body } = await watchTransport.request('GET', path, undefined, waitMs + TIMEOUT_MS);
    if (status === 410) return null;
    if (status !== 200) {
      if (status === 429) this.limiter.recordRefusal(0);
      throw new UnavailableError(`watch from ${from}: state service answered ${status}, expected 200 or 410`);
    }
    return eventsFromWire(body);
  }

  private get hasAnsweredLast(): boolean {
    return this.lastContactAt > this.lastFailureAt;
  }

  private async sendTransaction(
    { guards, operations }: ChangeSet,
    priority: RequestPriority,
    isStale?: () => boolean,
  ): Promise<TransactionResult> {
    const request: StateRequest = {
      kind: operations.length === 0 ? 'barrier' : 'transaction',
      method: 'POST',
      path: paths.txn,
      body: transactionToWire(guards, operations),
      priority,
      writes: operations.length,
    };
    const result = await this.call(request, isStale);
    if (result.kind !== 'answered') return { kind: result.kind };
    return this.transactionResult(operations, result.response);
  }

  private transactionResult(
    operations: readonly WriteOperation[],
    { status, body }: HttpResponse,
  ): TransactionResult {
    switch (status) {
      case 200:
        for (const operation of operations) this.usage.countWrite(operation.reason ?? 'other');
        return { kind: 'ok', revision: revisionFromWire(body) };
      case 409:
        this.usage.conflicted += operations.length;
        return { kind: 'conflict', revision: revisionFromWire(body), failed: failedFromWire(body) };
      case 400:
        if (operations.some((operation) => operation.lease !== undefined)) return { kind: 'no_lease' };
        this.options.onTransactionRejected?.(operations, body);
        return { kind: 'rejected' };
      default:
        throw new ProtocolError(
          `transaction: state service answered ${status} ${JSON.stringify(body)}, expected 200, 400 or 409`,
        );
    }
  }

  private sendLeaseRequest(method: Method, path: string, body?: unknown): Promise<RequestResult> {
    return this.call({ kind: 'lease', method, path, body, priority: REQUEST_PRIORITY.session });
  }

  private async call(
    { kind, method, path, body, priority, writes = 0 }: StateRequest,
    isStale: () => boolean = () => false,
  ): Promise<RequestResult> {
    if (!(await this.limiter.acquire(priority, writes))) return { kind: 'refused' };
    if (isStale()) {
      this.limiter.refund(writes);
      return { kind: 'stale' };
    }
    const sentAt = this.clock.now();
    this.usage.countRequest(kind);
    try {
      const response = await this.options.transport.request(method, path, body, TIMEOUT_MS);
      return this.classify(response, { writes, sentAt });
    } catch (cause) {
      this.usage.lost++;
      this.lastFailureAt = this.clock.now();
      return { kind: 'unknown', cause };
    }
  }

  private classify(
    response: HttpResponse,
    { writes, sentAt }: { writes: number; sentAt: MonotonicMs },
  ): RequestResult {
    if (response.status === 429) {
      this.usage.limited++;
      this.limiter.recordRefusal(writes);
      return { kind: 'refused' };
    }
    if (response.status === 503) {
      this.usage.refused++;
      this.lastFailureAt = this.clock.now();
      return { kind: 'refused' };
    }
    this.lastContactAt = Math.max(this.lastContactAt, sentAt);
    return { kind: 'answered', response };
  }
}

/** The response to a request, whatever its status; throws `UnavailableError` on a refusal or a missing response. */
function responseOf(result: RequestResult, request: string): HttpResponse {
  if (result.kind === 'answered') return result.response;
  const reason = result.kind === 'unknown' ? 'no response' : 'request queue full, status 429 or status 503';
  throw new UnavailableError(
    `${request}: no usable answer from the state service (${result.kind}: ${reason})`,
    result.kind === 'unknown' ? { cause: result.cause } : undefined,
  );
}

function outcomeOf({ kind }: TransactionResult): TransactionOutcome {
  switch (kind) {
    case 'ok':
    case 'conflict':
    case 'refused':
    case 'unknown':
      return kind;
    default:
      return 'other';
  }
}
