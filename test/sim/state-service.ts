/** A stand-in for the state service, written from PROTOCOL. */
import type { HttpResponse } from '../../src/io/http-client.js';
import type { VirtualTime } from './virtual-time.js';

interface Row {
  value: unknown;
  rev: number;
  lease: number | undefined;
}
export interface Budget {
  readonly rps: number;
  readonly writeRps: number;
  readonly txnOps: number;
}
interface Lease {
  ttl: number;
  until: number;
}
type Json = Record<string, unknown>;

export class StateService {
  readonly rows = new Map<string, Row>();
  rev = 10;
  outage = false;
  private readonly leases = new Map<number, Lease>();
  private nextLease = 1;
  private log: { key: string; rev: number; value: unknown }[] = [];
  private watchers = new Set<() => void>();
  /** What is left of the budgets, as at `at`. */
  private left: { requests: number; writes: number; at: number };
  /** What was asked for, by kind. */
  readonly counts = { requests: 0, writes: 0, limited: 0 };

  /** Small pages, so that listings of several pages are the rule here. */
  pageRows = 7;

  /** The largest value that it takes, in bytes, and how many larger ones were refused. */
  valueBytes = 8192;
  tooLarge = 0;

  constructor(
    private readonly time: VirtualTime,
    /** May change at any time. */
    public budget: Budget,
  ) {
    this.left = { requests: budget.rps, writes: budget.writeRps, at: 0 };
    const tick = () => {
      this.expire();
      time.after(50, tick);
    };
    tick();
  }

  setOutage(on: boolean): void {
    // After an outage every lease has its full time again.
    if (this.outage && !on) for (const l of this.leases.values()) l.until = this.time.now + l.ttl;
    this.outage = on;
  }

  private expire(): void {
    if (this.outage) return;
    for (const [id, l] of [...this.leases]) if (l.until < this.time.now) this.end(id);
  }

  private end(id: number): void {
    this.leases.delete(id);
    const keys = [...this.rows].filter(([, r]) => r.lease === id).map(([k]) => k);
    if (keys.length === 0) return;
    this.rev++;
    for (const k of keys) {
      this.rows.delete(k);
      this.log.push({ key: k, rev: this.rev, value: undefined });
    }
    this.notify();
  }

  private notify(): void {
    if (this.log.length > 10_000) this.log = this.log.slice(-10_000);
    for (const w of [...this.watchers]) w();
  }

  /** False where the budget is spent: bursts of one second's worth are allowed. */
  private take(writes: number): boolean {
    const { left, budget, time } = this;
    const s = (time.now - left.at) / 1000;
    left.at = time.now;
    left.requests = Math.min(budget.rps, left.requests + s * budget.rps);
    left.writes = Math.min(budget.writeRps, left.writes + s * budget.writeRps);
    this.counts.requests++;
    if (left.requests < 1 || left.writes < writes) {
      this.counts.limited++;
      return false;
    }
    left.requests -= 1;
    left.writes -= writes;
    this.counts.writes += writes;
    return true;
  }

  handle(method: string, url: string, body: unknown): HttpResponse {
    if (this.outage) return { status: 503, body: null };
    this.expire();
    if (!this.take(((body as Json | undefined)?.['then'] as unknown[] | undefined)?.length ?? 0))
      return { status: 429, body: null };
    const [path = '', query = ''] = url.split('?');
    const q = new URLSearchParams(query);
    if (path === '/kv') return this.list(q);
    if (path.startsWith('/kv/')) {
      const row = this.rows.get(path.slice(4));
      if (row === undefined) return { status: 404, body: { ledgerRev: this.rev } };
      return {
        status: 200,
        body: { path: path.slice(4), value: structuredClone(row.value), entryRev: row.rev },
      };
    }
    if (path === '/txn') return this.txn(body as Json);
    if (path === '/grants') {
      const id = this.nextLease++;
      const ttl = Number((body as Json)['ttlMs']);
      this.leases.set(id, { ttl, until: this.time.now + ttl + this.time.int(0, 100) });
      return { status: 200, body: { hold: id } };
    }
    const m = /^\/grants\/(\d+)(\/touch)?$/.exec(path);
    if (m !== null) {
      const id = Number(m[1]);
      const l = this.leases.get(id);
      if (l === undefined) return { status: 404, body: null };
      if (method === 'DELETE') this.end(id);
      else l.until = this.time.now + l.ttl + this.time.int(0, 100);
      return { status: 200, body: {} };
    }
    return { status: 400, body: null };
  }

  private list(q: URLSearchParams): HttpResponse {
    const prefix = q.get('starts') ?? '';
    const from = q.get('from') ?? '';
    const most = Math.min(Number(q.get('most') ?? 1000), this.pageRows);
    const keys = [...this.rows.keys()].filter((k) => k.startsWith(prefix) && k > from).sort();
    const rows = keys.slice(0, most).map((k) => ({
      path: k,
      value: structuredClone(this.rows.get(k)!.value),
      entryRev: this.rows.get(k)!.rev,
    }));
    return { status: 200, body: { rows, hasNext: keys.length > most, ledgerRev: this.rev } };
  }

  private txn(b: Json): HttpResponse {
    const guards = (b['guards'] ?? []) as { path: string; entryRev: number }[];
    const then = (b['then'] ?? []) as Json[];
    for (const o of then) {
      if (Buffer.byteLength(JSON.stringify(o['value'] ?? null)) > this.valueBytes) {
        this.tooLarge++;
        return { status: 400, body: { error: 'value' } };
      }
      if (o['hold'] !== undefined && !this.leases.has(o['hold'] as number))
        return { status: 400, body: { error: 'no such lease' } };
    }
    if (then.length > this.budget.txnOps || guards.length > this.budget.txnOps * 4) this.tooLarge++;
    if (then.length > this.budget.txnOps || guards.length > this.budget.txnOps * 4)
      return { status: 400, body: { error: 'too many' } };
    const failed = guards.filter((g) => (this.rows.get(g.path)?.rev ?? 0) !== g.entryRev).map((g) => g.path);
    if (failed.length > 0) return { status: 409, body: { failed, ledgerRev: this.rev } };
    if (then.length === 0) return { status: 200, body: { ledgerRev: this.rev } };
    this.rev++;
    for (const o of then) {
      const k = String(o['write'] ?? o['remove']);
      if (o['write'] === undefined) {
        if (!this.rows.delete(k)) continue;
      } else
        this.rows.set(k, {
          value: structuredClone(o['value']),
          rev: this.rev,
          lease: o['hold'] as number | undefined,
        });
      this.log.push({ key: k, rev: this.rev, value: o['write'] === undefined ? undefined : o['value'] });
    }
    this.notify();
    return { status: 200, body: { ledgerRev: this.rev } };
  }

  /** Calls back once, at a change or when the time is over. */
  follow(url: string, done: (r: HttpResponse) => void): void {
    const q = new URLSearchParams(url.split('?')[1]);
    const prefix = q.get('starts') ?? '';
    const from = Number(q.get('from'));
    const until = this.time.now + Number(q.get('blockMs') ?? 0);
    if (this.outage) {
      done({ status: 503, body: null });
      return;
    }
    if (this.log.length >= 10_000 && from < this.log[0]!.rev) {
      done({ status: 410, body: null });
      return;
    }
    const look = (late: boolean): boolean => {
      if (this.outage && !late) return false;
      const events = this.log.filter((e) => e.rev > from && e.key.startsWith(prefix));
      if (events.length === 0 && !late) return false;
      this.watchers.delete(onChange);
      done({
        status: 200,
        body: {
          ledgerRev: this.outage ? from : this.rev,
          events: (this.outage ? [] : events).map((e) =>
            e.value === undefined
              ? { remove: e.key, entryRev: e.rev }
              : { write: e.key, value: structuredClone(e.value), entryRev: e.rev },
          ),
        },
      });
      return true;
    };
    const onChange = () => void look(false);
    if (look(false)) return;
    this.watchers.add(onChange);
    this.time.at(until, () => {
      if (this.watchers.has(onChange)) look(true);
    });
  }
}
