/** A simulated state service, written from the protocol specification: rows, transactions, leases and watches. */
import type { HttpResponse } from '../../src/io/http-client.js';
import { ChangeLog, type Change } from './change-log.js';
import { LeaseTable } from './lease-table.js';
import { RequestBucket, type Budget } from './request-bucket.js';
import type { Json } from './sizes.js';
import type { VirtualTime } from './virtual-time.js';

/** Interval at which expired leases are removed. */
const LEASE_CHECK_MS = 50;
const DEFAULT_LIST_ROWS = 1000;
/** Maximum number of guards in a transaction, as a multiple of the maximum number of changes. */
const GUARDS_PER_CHANGE = 4;
const LEASE_PATH = /^\/grants\/(\d+)(\/touch)?$/;

interface Row {
  readonly value: unknown;
  readonly revision: number;
  readonly lease: number | undefined;
}

interface Guard {
  readonly path: string;
  readonly entryRev: number;
}

/** Answers requests of controllers. During an outage the service refuses all requests, and no lease expires. */
export class StateService {
  readonly rows = new Map<string, Row>();
  /** Revision of the latest change. */
  revision = 10;
  /** Maximum number of rows in a page of a listing; small by default, so that listings have several pages. */
  pageRows = 7;
  /** Maximum size of a value in bytes of JSON. */
  valueBytes = 8192;
  /** Number of transactions that were refused because they exceeded a limit. */
  oversizedTransactions = 0;
  /**
   * Keys that a single transaction changed more than once. The protocol does not define the order in which the operations
   * of a transaction are applied, so that no controller may rely on it.
   */
  readonly keysChangedTwice: string[] = [];
  /** Called after each transaction was applied, before its sender has the answer. */
  onApplied: (changes: readonly Json[]) => void = () => undefined;
  private hasOutage = false;
  private readonly leases: LeaseTable;
  private readonly changeLog = new ChangeLog();
  private readonly bucket: RequestBucket;

  constructor(
    private readonly time: VirtualTime,
    /** The current limits; tests and upgrades may replace them during a run. */
    public budget: Budget,
  ) {
    this.leases = new LeaseTable(time);
    this.bucket = new RequestBucket(time, budget);
    const checkLeases = () => {
      this.expireLeases();
      time.after(LEASE_CHECK_MS, checkLeases);
    };
    checkLeases();
  }

  /** Whether the service has an outage now. */
  get outage(): boolean {
    return this.hasOutage;
  }

  /** Totals of requests and changes so far. */
  get counts(): Readonly<RequestBucket['counts']> {
    return this.bucket.counts;
  }

  /** Begins or ends an outage; at the end of one every lease gets its full time to live again. */
  setOutage(hasOutage: boolean): void {
    if (this.hasOutage && !hasOutage) this.leases.extendAll();
    this.hasOutage = hasOutage;
  }

  /** Answers a request other than a watch request. */
  handle(method: string, url: string, body: unknown): HttpResponse {
    if (this.hasOutage) return { status: 503, body: null };
    this.expireLeases();
    if (!this.bucket.take(this.budget, countChanges(body))) return { status: 429, body: null };
    const [path = '', query = ''] = url.split('?');
    if (path === '/kv') return this.list(new URLSearchParams(query));
    if (path.startsWith('/kv/')) return this.read(path.slice('/kv/'.length));
    if (path === '/txn') return this.transact(body as Json);
    if (path === '/grants') {
      const id = this.leases.grant(Number((body as Json)['ttlMs']));
      return { status: 200, body: { hold: id } };
    }
    const leasePath = LEASE_PATH.exec(path);
    if (leasePath !== null) return this.updateLease(method, Number(leasePath[1]));
    return { status: 400, body: null };
  }

  /**
   * Answers one watch request: with the first changes after its revision, or with none once its time is over. A request
   * whose time ends during an outage gets no changes, and its own revision in place of the latest.
   */
  watch(url: string, respond: (response: HttpResponse) => void): void {
    const query = new URLSearchParams(url.split('?')[1]);
    const prefix = query.get('starts') ?? '';
    const from = Number(query.get('from'));
    const until = this.time.now + Number(query.get('blockMs') ?? 0);
    if (this.hasOutage) {
      respond({ status: 503, body: null });
      return;
    }
    if (this.changeLog.isCompacted(from)) {
      respond({ status: 410, body: null });
      return;
    }
    const answerIfDue = (isTimeOver: boolean): boolean => {
      if (this.hasOutage && !isTimeOver) return false;
      const changes = this.changeLog.since(from, prefix);
      if (changes.length === 0 && !isTimeOver) return false;
      this.changeLog.removeListener(onChange);
      respond({
        status: 200,
        body: {
          ledgerRev: this.hasOutage ? from : this.revision,
          events: (this.hasOutage ? [] : changes).map(changeToWire),
        },
      });
      return true;
    };
    const onChange = () => void answerIfDue(false);
    if (answerIfDue(false)) return;
    this.changeLog.addListener(onChange);
    this.time.at(until, () => {
      if (this.changeLog.hasListener(onChange)) answerIfDue(true);
    });
  }

  private expireLeases(): void {
    if (this.hasOutage) return;
    for (const id of this.leases.expired()) this.endLease(id);
  }

  /** Ends a lease and removes, in one revision, all rows that are bound to it. */
  private endLease(id: number): void {
    this.leases.delete(id);
    const keys = [...this.rows].filter(([, row]) => row.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) {
      this.rows.delete(key);
      this.changeLog.append({ key, revision: this.revision, value: undefined });
    }
    this.changeLog.notify();
  }

  private updateLease(method: string, id: number): HttpResponse {
    if (!this.leases.has(id)) return { status: 404, body: null };
    if (method === 'DELETE') this.endLease(id);
    else this.leases.renew(id);
    return { status: 200, body: {} };
  }

  private read(key: string): HttpResponse {
    const row = this.rows.get(key);
    if (row === undefined) return { status: 404, body: { ledgerRev: this.revision } };
    return { status: 200, body: rowToWire(key, row) };
  }

  private list(query: URLSearchParams): HttpResponse {
    const prefix = query.get('starts') ?? '';
    const from = query.get('from') ?? '';
    const most = Math.min(Number(query.get('most') ?? DEFAULT_LIST_ROWS), this.pageRows);
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
    const rows = keys.slice(0, most).map((key) => rowToWire(key, this.rows.get(key)!));
    return { status: 200, body: { rows, hasNext: keys.length > most, ledgerRev: this.revision } };
  }

  private transact(body: Json): HttpResponse {
    const guards = (body['guards'] ?? []) as Guard[];
    const changes = (body['then'] ?? []) as Json[];
    const invalid = this.validate(guards, changes);
    if (invalid !== null) return { status: 400, body: { error: invalid } };
    const failed = guards
      .filter((guard) => (this.rows.get(guard.path)?.revision ?? 0) !== guard.entryRev)
      .map((guard) => guard.path);
    if (failed.length > 0) return { status: 409, body: { failed, ledgerRev: this.revision } };
    if (changes.length > 0) this.apply(changes);
    return { status: 200, body: { ledgerRev: this.revision } };
  }

  /** Why a transaction is invalid; null where it is valid. */
  private validate(guards: readonly Guard[], changes: readonly Json[]): string | null {
    for (const change of changes) {
      if (Buffer.byteLength(JSON.stringify(change['value'] ?? null)) > this.valueBytes) {
        this.oversizedTransactions++;
        return 'value';
      }
      if (change['hold'] !== undefined && !this.leases.has(change['hold'] as number)) return 'no such lease';
    }
    const { txnOps } = this.budget;
    if (changes.length <= txnOps && guards.length <= txnOps * GUARDS_PER_CHANGE) return null;
    this.oversizedTransactions++;
    return 'too many';
  }

  /** Applies all changes in one revision; the removal of an absent row is not logged. */
  private apply(changes: readonly Json[]): void {
    this.revision++;
    const changedKeys = new Set<string>();
    for (const change of changes) {
      const key = String(change['write'] ?? change['remove']);
      if (changedKeys.has(key)) this.keysChangedTwice.push(key);
      changedKeys.add(key);
      if (change['write'] !== undefined) this.write(key, change);
      else if (this.rows.delete(key))
        this.changeLog.append({ key, revision: this.revision, value: undefined });
    }
    this.onApplied(changes);
    this.changeLog.notify();
  }

  private write(key: string, change: Json): void {
    this.rows.set(key, {
      value: structuredClone(change['value']),
      revision: this.revision,
      lease: change['hold'] as number | undefined,
    });
    this.changeLog.append({ key, revision: this.revision, value: change['value'] });
  }
}

function countChanges(body: unknown): number {
  return ((body as Json | undefined)?.['then'] as unknown[] | undefined)?.length ?? 0;
}

function rowToWire(key: string, row: Row): Json {
  return { path: key, value: structuredClone(row.value), entryRev: row.revision };
}

function changeToWire({ key, revision, value }: Change): Json {
  if (value === undefined) return { remove: key, entryRev: revision };
  return { write: key, value: structuredClone(value), entryRev: revision };
}
