// Stand-in for the state service, written from PROTOCOL-pepperbank.md: keys, transactions, leases, watches, limits.
import http from 'node:http';

const KEPT_CHANGES = 10_000;

export class StateService {
  constructor(limits) {
    this.limits = limits;
    this.rows = new Map();
    this.revision = 0;
    this.changes = [];
    this.leases = new Map();
    this.nextLease = 1;
    this.watches = new Set();
    this.outage = false;
    this.budget = { requests: limits.rps, writes: limits.writeRps, at: performance.now() };
    this.timer = setInterval(() => this.expireLeases(), 50);
  }

  /**
   * Opens a server; each controller gets its own, named after it. `isRefused`: this controller alone gets 503.
   * `delayMs(node, body)`, if set, says how long a transaction waits before it is carried out and answered.
   */
  async listen(node, isRefused = () => false) {
    const server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        const answer = (status, body) => {
          response.writeHead(status, { 'content-type': 'application/json' });
          response.end(body === undefined ? '' : JSON.stringify(body));
        };
        const reply = (status, body) => setTimeout(answer, 3, status, body);
        if (this.outage || isRefused()) return reply(503, { error: 'unavailable' });
        const body = text === '' ? undefined : JSON.parse(text);
        const carryOut = () => this.handle(request.method, request.url, body, reply, response);
        const delayMs = request.url === '/txn' ? (this.delayMs?.(node, body) ?? 0) : 0;
        if (delayMs > 0) setTimeout(carryOut, delayMs);
        else carryOut();
      });
    });
    server.keepAliveTimeout = 600_000;
    server.requestTimeout = 0;
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.servers = [...(this.servers ?? []), server];
    return server.address().port;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers ?? []) {
      server.closeAllConnections();
      server.close();
    }
  }

  handle(method, url, body, reply, response) {
    const { pathname, searchParams: query } = new URL(url, 'http://state');
    const writes = body?.then?.length ?? 0;
    if (!this.takeBudget(writes)) return reply(429, { error: 'limit' });
    this.expireLeases();
    if (pathname === '/kv') return this.list(query, reply);
    if (pathname.startsWith('/kv/')) {
      const key = decodeURI(pathname.slice(4));
      const row = this.rows.get(key);
      if (row === undefined) return reply(404, { ledgerRev: this.revision });
      return reply(200, { path: key, value: row.value, entryRev: row.revision, hold: row.lease });
    }
    if (pathname === '/txn') return this.transact(body ?? {}, reply);
    if (pathname === '/follow') return this.watch(query, reply, response);
    if (pathname === '/grants') {
      const id = this.nextLease++;
      this.leases.set(id, { ttlMs: body.ttlMs, endsAt: performance.now() + body.ttlMs });
      return reply(200, { hold: id });
    }
    const grant = /^\/grants\/(\d+)(\/touch)?$/.exec(pathname);
    if (grant === null) return reply(400, { error: 'malformed' });
    const id = Number(grant[1]);
    const lease = this.leases.get(id);
    if (lease === undefined) return reply(404, { error: 'no such lease' });
    if (method === 'DELETE') this.endLease(id);
    else lease.endsAt = performance.now() + lease.ttlMs;
    return reply(200, { hold: id });
  }

  takeBudget(writes) {
    const { budget, limits } = this;
    const now = performance.now();
    const seconds = (now - budget.at) / 1000;
    budget.at = now;
    budget.requests = Math.min(limits.rps, budget.requests + seconds * limits.rps);
    budget.writes = Math.min(limits.writeRps, budget.writes + seconds * limits.writeRps);
    if (budget.requests < 1 || budget.writes < writes) return false;
    budget.requests -= 1;
    budget.writes -= writes;
    return true;
  }

  list(query, reply) {
    const prefix = query.get('starts') ?? '';
    const from = query.get('from') ?? '';
    const most = Math.min(Number(query.get('most') ?? 1000), 1000);
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
    const rows = [];
    let bytes = 0;
    for (const key of keys) {
      const row = this.rows.get(key);
      bytes += JSON.stringify(row.value).length + key.length + 60;
      if (rows.length >= most || bytes > 500_000) break;
      rows.push({ path: key, value: row.value, entryRev: row.revision });
    }
    reply(200, { rows, hasNext: rows.length < keys.length, ledgerRev: this.revision });
  }

  transact({ guards = [], then = [] }, reply) {
    const { limits } = this;
    for (const change of then) {
      const tooLarge = Buffer.byteLength(JSON.stringify(change.value ?? null)) > limits.valueKb * 1024;
      if (tooLarge) return reply(400, { error: 'value too large' });
      if (change.hold !== undefined && !this.leases.has(change.hold))
        return reply(400, { error: 'no such lease' });
    }
    if (then.length > limits.txnOps || guards.length > 4 * limits.txnOps)
      return reply(400, { error: 'too many operations' });
    const failed = guards
      .filter(({ path, entryRev }) => (this.rows.get(path)?.revision ?? 0) !== entryRev)
      .map(({ path }) => path);
    if (failed.length > 0) return reply(409, { failed, ledgerRev: this.revision });
    if (then.length > 0) {
      this.revision++;
      for (const change of then) {
        if (change.write !== undefined) this.put(change.write, change.value, change.hold);
        else this.remove(change.remove);
      }
      this.notify();
    }
    return reply(200, { ledgerRev: this.revision });
  }

  put(key, value, lease) {
    const { revision } = this;
    this.rows.set(key, { value, revision, lease });
    this.changes.push({ key, event: { write: key, value, entryRev: revision }, revision });
  }

  remove(key) {
    const { revision } = this;
    if (this.rows.delete(key))
      this.changes.push({ key, event: { remove: key, entryRev: revision }, revision });
  }

  notify() {
    if (this.changes.length > KEPT_CHANGES) this.changes.splice(0, this.changes.length - KEPT_CHANGES);
    for (const check of [...this.watches]) check(false);
  }

  watch(query, reply, response) {
    const prefix = query.get('starts') ?? '';
    const from = Number(query.get('from') ?? 0);
    const oldest = this.changes[0]?.revision ?? 0;
    if (this.changes.length >= KEPT_CHANGES && from < oldest) return reply(410, { error: 'too old' });
    const check = (isOver) => {
      if (this.outage && !isOver) return;
      const events = this.changes
        .filter(({ key, revision }) => revision > from && key.startsWith(prefix))
        .map(({ event }) => event);
      if (events.length === 0 && !isOver) return;
      clearTimeout(timer);
      this.watches.delete(check);
      reply(200, { ledgerRev: this.revision, events });
    };
    const timer = setTimeout(check, Math.min(60_000, Number(query.get('blockMs') ?? 0)), true);
    this.watches.add(check);
    response.on('close', () => {
      clearTimeout(timer);
      this.watches.delete(check);
    });
    check(false);
  }

  expireLeases() {
    if (this.outage) return;
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.endsAt < now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.rows].filter(([, row]) => row.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.remove(key);
    this.notify();
  }
}
