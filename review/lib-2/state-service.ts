/** A stand-in of the state service in real time, written from the protocol page. */
import type { Json, Reply } from './json-http.js';

/** The limits of the state service. */
export interface StateLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

interface Row {
  readonly value: unknown;
  readonly entryRev: number;
  readonly hold: number | undefined;
}

interface Change {
  readonly key: string;
  readonly entryRev: number;
  /** The wire form of the change, encoded once. */
  readonly event: Json;
}

interface Lease {
  readonly ttlMs: number;
  endsAt: number;
}

const MAX_CHANGES = 10_000;
const MAX_PAGE_ROWS = 1000;
const MAX_PAGE_BYTES = 512 * 1024;
const MAX_TXN_BYTES = 64 * 1024;
const GUARDS_PER_OPERATION = 4;
const LATENCY_MS = 4;

const later = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

/** Answers requests of controllers. */
export class StateService {
  readonly rows = new Map<string, Row>();
  ledgerRev = 0;
  /** Number of changes that were written, and their bytes as JSON. */
  changesWritten = 0;
  bytesWritten = 0;
  private changes: Change[] = [];
  private readonly watchers = new Set<() => void>();
  private readonly leases = new Map<number, Lease>();
  private nextLease = 1;
  private tokens: { requests: number; writes: number };
  private refilledAt = performance.now();
  private readonly timer: NodeJS.Timeout;

  constructor(private limits: StateLimits) {
    this.tokens = { requests: limits.rps, writes: limits.writeRps };
    this.timer = setInterval(() => {
      this.endLeases();
    }, 25);
  }

  close(): void {
    clearInterval(this.timer);
  }

  /** Lowers the limits; what is stored stays readable. */
  lower(limits: StateLimits): void {
    this.limits = limits;
  }

  /** Answers one request. */
  async handle(method: string, url: string, body: unknown): Promise<Reply> {
    await later(LATENCY_MS);
    const [path = '', query = ''] = url.split('?');
    const then = ((body as Json | undefined)?.['then'] ?? []) as Json[];
    if (!this.take(path === '/txn' ? then.length : 0)) return { status: 429, body: null };
    if (path === '/txn') return this.transact(body as Json, then);
    if (path === '/follow') return this.follow(new URLSearchParams(query));
    if (path.startsWith('/grants')) return this.handleLease(method, path, body);
    if (path === '/kv') return this.list(new URLSearchParams(query));
    if (path.startsWith('/kv/')) return this.read(path.slice('/kv/'.length));
    return { status: 400, body: { error: 'malformed' } };
  }

  private handleLease(method: string, path: string, body: unknown): Reply {
    if (path === '/grants') return this.grant(Number((body as Json)['ttlMs']));
    const lease = /^\/grants\/(\d+)(\/touch)?$/.exec(path);
    return lease === null ? { status: 400, body: null } : this.updateLease(method, Number(lease[1]));
  }

  private take(writes: number): boolean {
    const now = performance.now();
    const elapsedS = (now - this.refilledAt) / 1000;
    this.refilledAt = now;
    const { rps, writeRps } = this.limits;
    this.tokens.requests = Math.min(rps, this.tokens.requests + elapsedS * rps);
    this.tokens.writes = Math.min(writeRps, this.tokens.writes + elapsedS * writeRps);
    if (this.tokens.requests < 1 || this.tokens.writes < writes) return false;
    this.tokens.requests -= 1;
    this.tokens.writes -= writes;
    return true;
  }

  private async follow(query: URLSearchParams): Promise<Reply> {
    const prefix = query.get('starts') ?? '';
    const from = Number(query.get('from'));
    const until = performance.now() + Math.min(60_000, Number(query.get('blockMs') ?? 0));
    if (this.changes.length >= MAX_CHANGES && from < this.changes[0]!.entryRev - 1)
      return { status: 410, body: null };
    for (;;) {
      const found = this.changes.filter(({ key, entryRev }) => entryRev > from && key.startsWith(prefix));
      const leftMs = until - performance.now();
      if (found.length > 0 || leftMs <= 0)
        return { status: 200, body: { ledgerRev: this.ledgerRev, events: found.map(({ event }) => event) } };
      await this.nextChange(leftMs);
    }
  }

  private nextChange(withinMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.watchers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, withinMs);
      this.watchers.add(wake);
    });
  }

  private list(query: URLSearchParams): Reply {
    const prefix = query.get('starts') ?? '';
    const from = query.get('from') ?? '';
    const most = Math.min(MAX_PAGE_ROWS, Number(query.get('most') ?? MAX_PAGE_ROWS));
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
    const rows: Json[] = [];
    let bytes = 0;
    for (const key of keys) {
      const row = toWire(key, this.rows.get(key)!);
      bytes += Buffer.byteLength(JSON.stringify(row));
      if (rows.length >= most || (rows.length > 0 && bytes > MAX_PAGE_BYTES)) break;
      rows.push(row);
    }
    return { status: 200, body: { rows, hasNext: rows.length < keys.length, ledgerRev: this.ledgerRev } };
  }

  private read(key: string): Reply {
    const row = this.rows.get(key);
    if (row === undefined) return { status: 404, body: { ledgerRev: this.ledgerRev } };
    return { status: 200, body: toWire(key, row) };
  }

  private transact(body: Json, then: readonly Json[]): Reply {
    const guards = (body['guards'] ?? []) as { path: string; entryRev: number }[];
    const error = this.errorOf(body, guards.length, then);
    if (error !== null) return { status: 400, body: { error } };
    const failed = guards
      .filter(({ path, entryRev }) => (this.rows.get(path)?.entryRev ?? 0) !== entryRev)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, ledgerRev: this.ledgerRev } };
    if (then.length > 0) this.apply(then);
    return { status: 200, body: { ledgerRev: this.ledgerRev } };
  }

  private errorOf(body: Json, guards: number, then: readonly Json[]): string | null {
    for (const { hold, value } of then) {
      if (hold !== undefined && !this.leases.has(hold as number)) return 'no such lease';
      if (bytesOf(value ?? null) > this.limits.valueKb * 1024) return 'value too large';
    }
    const { txnOps } = this.limits;
    if (then.length > txnOps || guards > txnOps * GUARDS_PER_OPERATION) return 'too many';
    return bytesOf(body) > MAX_TXN_BYTES ? 'too large' : null;
  }

  private apply(then: readonly Json[]): void {
    this.ledgerRev++;
    for (const { write, remove, value, hold } of then) {
      const key = String(write ?? remove);
      if (write === undefined) {
        if (this.rows.delete(key)) this.log(key, { remove: key });
        continue;
      }
      this.rows.set(key, { value, entryRev: this.ledgerRev, hold: hold as number | undefined });
      this.log(key, { write: key, value });
    }
    this.wake();
  }

  private log(key: string, change: Json): void {
    const event = { ...change, entryRev: this.ledgerRev };
    this.changes.push({ key, entryRev: this.ledgerRev, event });
    this.changesWritten++;
    this.bytesWritten += bytesOf(event);
  }

  private wake(): void {
    if (this.changes.length > MAX_CHANGES) this.changes = this.changes.slice(-MAX_CHANGES);
    for (const wake of [...this.watchers]) wake();
  }

  private grant(ttlMs: number): Reply {
    const id = this.nextLease++;
    this.leases.set(id, { ttlMs, endsAt: performance.now() + ttlMs });
    return { status: 200, body: { hold: id } };
  }

  private updateLease(method: string, id: number): Reply {
    const lease = this.leases.get(id);
    if (lease === undefined) return { status: 404, body: null };
    if (method === 'DELETE') this.endLease(id);
    else lease.endsAt = performance.now() + lease.ttlMs;
    return { status: 200, body: {} };
  }

  private endLeases(): void {
    const now = performance.now();
    for (const [id, { endsAt }] of [...this.leases]) if (endsAt < now) this.endLease(id);
  }

  private endLease(id: number): void {
    this.leases.delete(id);
    const keys = [...this.rows].filter(([, row]) => row.hold === id).map(([key]) => key);
    if (keys.length > 0) this.apply(keys.map((key) => ({ remove: key })));
  }
}

const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

const toWire = (path: string, { value, entryRev, hold }: Row): Json => ({ path, value, entryRev, hold });
