/** A simulated state service, written from PROTOCOL: rows, transactions, leases and watches. */
import type { HttpResponse } from '../../src/io/http-client.js';
import { ChangeLog, type Change } from './change-log.js';
import { LeaseTable } from './lease-table.js';
import { RequestBucket, type Budget } from './request-bucket.js';
import type { Json } from './sizes.js';
import type { VirtualTime } from './virtual-time.js';

/** How often expired leases are removed. */
const LEASE_CHECK_MS = 50;
const DEFAULT_LIST_ROWS = 1000;
/** A transaction takes so many guards per change that the budget allows. */
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

/** Answers the requests of controllers; during an outage it refuses all of them and lets no lease expire. */
export class StateService {
  readonly rows = new Map<string, Row>();
  /** The revision of the latest change. */
  revision = 10;
  /** The most rows in a page of a listing; small, so that listings have several pages. */
  pageRows = 7;
  /** The largest value that it takes, in bytes. */
  valueBytes = 8192;
  /** Transactions that were refused because they exceed a limit. */
  oversizedTransactions = 0;
  private isOut = false;
  private readonly leases: LeaseTable;
  private readonly log = new ChangeLog();
  private readonly bucket: RequestBucket;

  constructor(
    private readonly time: VirtualTime,
    /** May change at any time. */
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

  /** Whether it refuses everybody now. */
  get outage(): boolean {
    return this.isOut;
  }

  /** Requests and changes so far. */
  get counts(): Readonly<RequestBucket['counts']> {
    return this.bucket.counts;
  }

  setOutage(isOut: boolean): void {
    if (this.isOut && !isOut) this.leases.extendAll();
    this.isOut = isOut;
  }

  /** Answers a request other than a watch. */
  handle(method: string, url: string, body: unknown): HttpResponse {
    if (this.isOut) return { status: 503, body: null };
    this.expireLeases();
    if (!this.bucket.take(this.budget, changesIn(body))) return { status: 429, body: null };
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

  /** Answers a watch once: at the first change after its revision, or empty when its time is over. */
  follow(url: string, done: (response: HttpResponse) => void): void {
    const query = new URLSearchParams(url.split('?')[1]);
    const prefix = query.get('starts') ?? '';
    const from = Number(query.get('from'));
    const until = this.time.now + Number(query.get('blockMs') ?? 0);
    if (this.isOut) {
      done({ status: 503, body: null });
      return;
    }
    if (this.log.isCompacted(from)) {
      done({ status: 410, body: null });
      return;
    }
    const answerIfDue = (isTimeOver: boolean): boolean => {
      if (this.isOut && !isTimeOver) return false;
      const changes = this.log.since(from, prefix);
      if (changes.length === 0 && !isTimeOver) return false;
      this.log.removeListener(onChange);
      done({
        status: 200,
        body: {
          ledgerRev: this.isOut ? from : this.revision,
          events: (this.isOut ? [] : changes).map(changeToWire),
        },
      });
      return true;
    };
    const onChange = () => void answerIfDue(false);
    if (answerIfDue(false)) return;
    this.log.addListener(onChange);
    this.time.at(until, () => {
      if (this.log.hasListener(onChange)) answerIfDue(true);
    });
  }

  private expireLeases(): void {
    if (this.isOut) return;
    for (const id of this.leases.expired()) this.endLease(id);
  }

  /** Removes the lease and, in one revision, all rows bound to it. */
  private endLease(id: number): void {
    this.leases.delete(id);
    const keys = [...this.rows].filter(([, row]) => row.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) {
      this.rows.delete(key);
      this.log.append({ key, revision: this.revision, value: undefined });
    }
    this.log.notify();
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

  /** Why the transaction can't be taken at all, or null. */
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

  /** Applies all changes in one revision; removals of absent rows leave no trace. */
  private apply(changes: readonly Json[]): void {
    this.revision++;
    for (const change of changes) {
      const key = String(change['write'] ?? change['remove']);
      if (change['write'] !== undefined) this.write(key, change);
      else if (this.rows.delete(key)) this.log.append({ key, revision: this.revision, value: undefined });
    }
    this.log.notify();
  }

  private write(key: string, change: Json): void {
    this.rows.set(key, {
      value: structuredClone(change['value']),
      revision: this.revision,
      lease: change['hold'] as number | undefined,
    });
    this.log.append({ key, revision: this.revision, value: change['value'] });
  }
}

function changesIn(body: unknown): number {
  return ((body as Json | undefined)?.['then'] as unknown[] | undefined)?.length ?? 0;
}

function rowToWire(key: string, row: Row): Json {
  return { path: key, value: structuredClone(row.value), entryRev: row.revision };
}

function changeToWire({ key, revision, value }: Change): Json {
  if (value === undefined) return { remove: key, entryRev: revision };
  return { write: key, value: structuredClone(value), entryRev: revision };
}
