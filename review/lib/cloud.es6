// Stand-in for the cloud, written from PROTOCOL-pepperbank.md: machine types, rentals, releases, the lagging list.
import http from 'node:http';

export class Cloud {
  /** `types`: as in GET /machine_types. `capacity`: machines per type, zone and kind. `boot`: starts a worker. */
  constructor({ types, capacity, bootMs, listLagMs, startWorker, record }) {
    Object.assign(this, { types, capacity, bootMs, listLagMs, startWorker, record });
    this.machines = new Map();
    this.rentals = new Map();
    this.gone = [];
    this.count = 0;
  }

  async listen() {
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        const reply = (status, body) =>
          setTimeout(() => {
            response.writeHead(status, { 'content-type': 'application/json' });
            response.end(JSON.stringify(body));
          }, 50);
        this.handle(request.method, request.url, text === '' ? undefined : JSON.parse(text), reply);
      });
    });
    this.server.keepAliveTimeout = 600_000;
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return this.server.address().port;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
    for (const { worker } of this.machines.values()) worker?.end();
  }

  handle(method, url, body, reply) {
    const { pathname, searchParams } = new URL(url, 'http://cloud');
    if (pathname === '/machine_types') return reply(200, { flavors: this.types });
    if (pathname === '/machines/release') return this.release(body, reply);
    if (pathname !== '/machines') return reply(400, { error: 'malformed' });
    return method === 'POST' ? this.rent(body, reply) : this.list(searchParams, reply);
  }

  rent({ rental, flavor, vault, loaner, howMany }, reply) {
    const known = this.rentals.get(rental);
    if (known !== undefined) return reply(200, { tellers: known });
    const type = this.types.find(({ label }) => label === flavor);
    if (type === undefined || !type.vaults.includes(vault) || howMany < 1 || howMany > 50)
      return reply(400, { error: 'malformed' });
    const used = [...this.machines.values()].filter(
      (m) => m.flavor === flavor && m.vault === vault && m.loaner === loaner,
    ).length;
    const granted = Math.min(howMany, this.capacity - used);
    if (granted <= 0) return reply(503, { error: 'no capacity' });
    const names = [];
    for (let i = 0; i < granted; i++) names.push(this.boot(flavor, vault, loaner));
    this.rentals.set(rental, names);
    this.record(`cloud rents ${names.join(' ')} (${flavor} ${vault} ${loaner ? 'spot' : 'ordinary'})`);
    return reply(200, { tellers: names });
  }

  boot(flavor, vault, loaner) {
    const name = `n-${String(++this.count).padStart(6, '0')}`;
    const machine = { name, flavor, vault, loaner, at: performance.now(), upAt: Infinity, worker: null };
    this.machines.set(name, machine);
    setTimeout(async () => {
      if (!this.machines.has(name)) return;
      machine.upAt = performance.now();
      machine.worker = await this.startWorker(machine);
      if (!this.machines.has(name)) machine.worker.end();
    }, this.bootMs());
    return name;
  }

  release({ tellers }, reply) {
    for (const name of tellers) {
      const machine = this.machines.get(name);
      if (machine === undefined) continue;
      machine.worker?.end();
      this.machines.delete(name);
      this.gone.push({ machine, goneAt: performance.now() });
      this.record(`cloud takes back ${name}`);
    }
    reply(200, {});
  }

  list(query, reply) {
    const asOf = performance.now() - this.listLagMs;
    const from = query.get('from') ?? '';
    const most = Math.min(Number(query.get('most') ?? 500), 500);
    const listed = [...this.machines.values()].filter((m) => m.at <= asOf);
    for (const { machine, goneAt } of this.gone)
      if (machine.at <= asOf && goneAt > asOf) listed.push(machine);
    const rows = listed
      .filter((m) => m.name > from)
      .sort((a, b) => (a.name < b.name ? -1 : 1))
      .map((m) => ({
        nameId: m.name,
        endpoint: m.worker?.endpoint ?? '',
        flavor: m.flavor,
        vault: m.vault,
        loaner: m.loaner,
        standing: m.upAt <= asOf ? 'running' : 'starting',
        ageS: (asOf - m.at) / 1000,
      }));
    reply(200, { tellers: rows.slice(0, most), hasNext: rows.length > most });
  }
}
