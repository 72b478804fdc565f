/** The client of the state service: paced requests, leases, transactions, listings and the watch. */
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

const TIMEOUT_MS = 2000;
/** The parts of this controller's share of the limits that it uses; the rest absorbs differences between clocks. */
const REQUEST_RATE_FRACTION = 0.9;
const WRITE_RATE_FRACTION = 0.95;
const MAX_QUEUED_REQUESTS = 200;
/** The part of the whole write budget that one controller may borrow while nothing is refused. */
const MAX_BORROWED_FRACTION = 0.8;
/**
 * The part of this controller's requests that may be spent on waiting for changes. Each change ends a wait, so that
 * without this limit many small changes by other controllers would use up the requests of users.
 */
const WATCH_FRACTION = 0.3;
/** How often a transaction that a user waits for is sent again after a refusal. */
const MAX_RETRIES = 2;

/** The limits of the state service, and how many controllers share them. */
export interface StateServiceLimits {
  /** Requests per second, and changes per second. */
  readonly rps: number;
  readonly writeRps: number;
  /** What the rates may fall to without notice. */
  readonly lowRps: number;
  readonly lowWriteRps: number;
  readonly operationsPerTransaction: number;
  readonly valueBytes: number;
  readonly nodes: number;
}

/** What became of a transaction, as far as its sender knows. */
export type TransactionResult =
  | { readonly kind: 'ok'; readonly revision: Revision }
  | { readonly kind: 'conflict'; readonly revision: Revision; readonly failed: readonly string[] }
  /** A lease that it names is over. */
  | { readonly kind: 'no_lease' }
  /** Not carried out: the budget is spent, or the service is in an outage. */
  | { readonly kind: 'refused' }
  /** Malformed or above a limit: sent again, it would be rejected again. */
  | { readonly kind: 'rejected' }
  /** Not sent: its guards had failed already when its turn came. */
  | { readonly kind: 'stale' }
  /** No answer came: it may have been carried out or may yet be. */
  | { readonly kind: 'unknown' };

/** What a client of the state service is made of. */
export interface StateClientOptions {
  readonly limits: StateServiceLimits;
  readonly clock: Clock;
  readonly transport: Transport;
  /** Apart from the other requests, since a watch holds its connection. */
  readonly watchTransport: Transport;
  /** Called for each transaction that the service rejects for good. */
  readonly onRejected?: (operations: readonly WriteOperation[], answer: unknown) => void;
  /** Called for each transaction with changes; `since` is when it was begun. */
  readonly onFinished?: (
    operations: readonly WriteOperation[],
    outcome: TransactionOutcome,
    since: MonotonicMs,
  ) => void;
}

/** A key's value, and a revision at which the answer held: that of the key, or of the service where it does not exist. */
export interface KeyState {
  readonly value: unknown;
  readonly version: Version;
  readonly revision: Revision;
}

/** All watched keys, the revision from which to watch, and the one at which the listing is complete. */
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
  /** Number of changes that it makes. */
  readonly writes?: number;
}

type RequestResult =
  | { readonly kind: 'answered'; readonly response: HttpResponse }
  | { readonly kind: 'refused' }
  | { readonly kind: 'stale' }
  | { readonly kind: 'unknown'; readonly cause: unknown };

/** Sends requests to the state service, each within the budget. */
export class StateClient {
  readonly limits: StateServiceLimits;
  readonly clock: Clock;
  readonly usage = new StateUsage();
  /** When the newest answered request was sent: the service was reachable then. */
  lastContactAt = Number.NEGATIVE_INFINITY;
  /** When the service last refused or failed to answer. */
  lastFailureAt = Number.NEGATIVE_INFINITY;
  private readonly limiter: RateLimiter;

  constructor(private readonly options: StateClientOptions) {
    const { limits, clock } = options;
    this.limits = limits;
    this.clock = clock;
    this.limiter = createLimiter(limits, clock);
  }

  /** Whether there is budget left for changes that could also be written later. */
  get hasSpareBudget(): boolean {
    return this.limiter.isIdle;
  }

  /** How many changes this process can write within the time at the present rate. */
  writesWithin(ms: number): number {
    return this.limiter.writesWithin(ms);
  }

  /** Whether nothing since the last answer suggests that the service is unreachable, or the answer is recent. */
  isReachable(withinMs: number): boolean {
    return this.hasAnsweredLast || this.clock.now() - this.lastContactAt < withinMs;
  }

  /** Reads a key. Throws `UnavailableError` where no usable answer came. */
  async get(key: string, priority: RequestPriority): Promise<KeyState> {
    const path = `${paths.kv}/${key}`;
    const result = await this.call({ kind: 'read', method: 'GET', path, priority });
    const { status, body } = answerOf(result, key);
    if (status === 404) return { value: undefined, version: NO_VERSION, revision: revisionFromWire(body) };
    if (status !== 200) throw new UnavailableError(`${key}: ${status}`);
    const entry = entryFromWire(body);
    return { ...entry, revision: revision(entry.version) };
  }

  /** Sends a transaction once; it is not sent where `isStale` holds when its turn comes. */
  async transact(
    changeSet: ChangeSet,
    priority: RequestPriority,
    isStale?: () => boolean,
  ): Promise<TransactionResult> {
    const since = this.clock.now();
    const result = await this.sendTransaction(changeSet, priority, isStale);
    const { operations } = changeSet;
    if (operations.length > 0) this.options.onFinished?.(operations, outcomeOf(result), since);
    return result;
  }

  /**
   * As `transact`, sent again where the service's budget was spent for the moment: it recovers within a fraction of a
   * second, and a user who is asked to retry does so after a second at the earliest. In an outage nothing is sent again.
   */
  transactWithRetry(changeSet: ChangeSet, priority: RequestPriority): Promise<TransactionResult> {
    return retryWhile(
      () => this.transact(changeSet, priority),
      (result) => result.kind === 'refused' && this.hasAnsweredLast,
      MAX_RETRIES,
    );
  }

  /**
   * The service's present revision: whatever was committed before the call is at or below it. Throws `UnavailableError`
   * where it cannot be read.
   */
  async currentRevision(priority: RequestPriority): Promise<Revision> {
    const result = await this.transactWithRetry({ guards: [], operations: [] }, priority);
    if (result.kind !== 'ok') throw new UnavailableError(`current revision: ${result.kind}`);
    return result.revision;
  }

  /** Grants a lease and returns its id. Throws `UnavailableError` where the outcome is not known. */
  async grantLease(ttlMs: number): Promise<number> {
    const result = await this.sendLeaseRequest('POST', paths.leases, leaseToWire(ttlMs));
    const { status, body } = answerOf(result, 'grant lease');
    if (status !== 200) throw new UnavailableError(`grant lease: ${status}`);
    return leaseFromWire(body);
  }

  /** True: renewed; false: the lease is over. Throws `UnavailableError` where that is not known. */
  async renewLease(lease: number): Promise<boolean> {
    const result = await this.sendLeaseRequest('POST', `${paths.leases}/${lease}/touch`);
    const { status } = answerOf(result, 'renew lease');
    if (status === 404) return false;
    if (status !== 200) throw new UnavailableError(`renew lease: ${status}`);
    return true;
  }

  /** Ends a lease, and with it all keys that are bound to it. Throws `UnavailableError` where no answer came. */
  async revokeLease(lease: number): Promise<void> {
    answerOf(await this.sendLeaseRequest('DELETE', `${paths.leases}/${lease}`), 'revoke lease');
  }

  /** Reads all watched keys, page by page; the watch must begin at the first page's revision. */
  async list(): Promise<KeyListing> {
    const rows: KeyChange[] = [];
    let from: Revision | null = null;
    let after: string | null = null;
    for (;;) {
      const path: string = paths.kv + listKeysQuery(WATCHED_PREFIX, after);
      const priority = REQUEST_PRIORITY.session;
      const { status, body } = answerOf(
        await this.call({ kind: 'list', method: 'GET', path, priority }),
        'list',
      );
      if (status !== 200) throw new UnavailableError(`list: ${status}`);
      const page = rowsFromWire(body);
      from ??= page.revision;
      rows.push(...page.rows);
      if (!page.hasMore || page.rows.length === 0) return { rows, from, upTo: page.revision };
      after = page.rows[page.rows.length - 1]!.key;
    }
  }

  /** The shortest time between two waits for changes, so that these leave most of the requests to others. */
  get minWatchIntervalMs(): number {
    return (1000 * this.limits.nodes) / (this.limits.rps * WATCH_FRACTION);
  }

  /** Waits once for changes after the revision. Null: the revision is too old, and the keys have to be listed again. */
  async watch(from: Revision, waitMs: number): Promise<WatchedChanges | null> {
    if (!(await this.limiter.acquire(REQUEST_PRIORITY.session, 0)))
      throw new UnavailableError('watch: queue full');
    this.usage.sent('watch');
    const path = paths.watch + watchQuery(WATCHED_PREFIX, from, waitMs);
    const { watchTransport } = this.options;
    const { status, body } = await watchTransport.request('GET', path, undefined, waitMs + TIMEOUT_MS);
    if (status === 410) return null;
    if (status !== 200) {
      if (status === 429) this.limiter.noteExhausted(0);
      throw new UnavailableError(`watch: ${status}`);
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
        for (const operation of operations) this.usage.wrote(operation.reason ?? 'other');
        return { kind: 'ok', revision: revisionFromWire(body) };
      case 409:
        this.usage.conflicted += operations.length;
        return { kind: 'conflict', revision: revisionFromWire(body), failed: failedFromWire(body) };
      case 400:
        if (operations.some((operation) => operation.lease !== undefined)) return { kind: 'no_lease' };
        this.options.onRejected?.(operations, body);
        return { kind: 'rejected' };
      default:
        throw new ProtocolError(`transaction: ${status} ${JSON.stringify(body)}`);
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
    this.usage.sent(kind);
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
      this.limiter.noteExhausted(writes);
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

const createLimiter = (limits: StateServiceLimits, clock: Clock): RateLimiter =>
  new RateLimiter({
    requestRates: {
      high: (limits.rps / limits.nodes) * REQUEST_RATE_FRACTION,
      low: (limits.lowRps / limits.nodes) * REQUEST_RATE_FRACTION,
    },
    writeRates: {
      high: (limits.writeRps / limits.nodes) * WRITE_RATE_FRACTION,
      low: (limits.lowWriteRps / limits.nodes) * WRITE_RATE_FRACTION,
    },
    maxQueued: MAX_QUEUED_REQUESTS,
    maxBorrowFactor: Math.max(1, limits.nodes * MAX_BORROWED_FRACTION),
    clock,
  });

/** The answer to a request; throws `UnavailableError` where none came. */
function answerOf(result: RequestResult, subject: string): HttpResponse {
  if (result.kind === 'answered') return result.response;
  throw new UnavailableError(
    `${subject}: ${result.kind}`,
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
