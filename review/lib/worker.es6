// Stand-in for a worker, written from PROTOCOL-pepperbank.md: reports, commands, tokens, leases and tasks.
import http from 'node:http';

const client = new http.Agent({ keepAlive: true, maxSockets: Infinity });

/** Sends one HTTP request with a JSON body; resolves to `{ status, body }`, or to null without an answer in time. */
export function call(address, method, path, body, timeoutMs, agent = client) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const text = body === undefined ? '' : JSON.stringify(body);
    const headers =
      text === '' ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const request = http.request({ host, port, method, path, headers, agent }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => done(null));
      response.on('end', () => {
        let parsed = null;
        try {
          parsed = JSON.parse(Buffer.concat(chunks).toString());
        } catch {
          // An answer without a JSON body.
        }
        done({ status: response.statusCode, body: parsed, headers: response.headers });
      });
    });
    let isDone = false;
    const done = (result) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve(result);
    };
    const timer = setTimeout(() => {
      done(null);
      request.destroy();
    }, timeoutMs);
    request.on('error', () => done(null));
    request.end(text);
  });
}

export class Worker {
  /**
   * `cluster` has `nodes` (name and address of each controller), `timings`, `jobs` (submitted jobs by id) and the
   * callbacks `record`, `onStart`, `onExit`. `isSick()`: every task that the machine starts now fails.
   */
  constructor(cluster, machine, type, isSick) {
    Object.assign(this, { cluster, machine, type, isSick });
    this.shift = 1;
    this.tally = 0;
    this.mandate = 0;
    this.tasks = new Map();
    this.images = new Map();
    this.hasEnded = false;
    this.node = Math.floor(Math.random() * cluster.nodes.length);
    this.answeredSentAt = performance.now();
    this.changed = false;
    this.leasesLost = 0;
  }

  async start() {
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        if (this.hasEnded) return;
        const text = Buffer.concat(chunks).toString();
        const { status, body } = this.direct(request.url, text === '' ? undefined : JSON.parse(text));
        response.writeHead(status, { 'content-type': 'application/json' });
        response.end(JSON.stringify(body));
      });
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.endpoint = `127.0.0.1:${this.server.address().port}`;
    this.leaseTimer = setInterval(() => this.checkLease(), 100);
    void this.reportLoop();
    return this;
  }

  /** The machine is gone, with everything on it. */
  end() {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearInterval(this.leaseTimer);
    for (const task of this.tasks.values()) this.exit(task, 'gone');
    this.tasks.clear();
    this.server.closeAllConnections();
    this.server.close();
  }

  report() {
    return {
      teller: this.machine.name,
      endpoint: this.endpoint,
      flavor: this.machine.flavor,
      vault: this.machine.vault,
      loaner: this.machine.loaner,
      shift: this.shift,
      tally: ++this.tally,
      mandate: this.mandate,
      recallS: null,
      shards: [...this.tasks.values()].map(({ shard, tryNo, standing, exitCause }) => ({
        shard,
        tryNo,
        standing,
        ...(exitCause === undefined ? {} : { exitCause }),
      })),
    };
  }

  async reportLoop() {
    const { timings, nodes } = this.cluster;
    while (!this.hasEnded) {
      const sentAt = performance.now();
      const sentShift = this.shift;
      this.changed = false;
      const node = nodes[this.node];
      const answer = await call(node.address, 'POST', '/v1/report', this.report(), 4000);
      if (this.hasEnded) return;
      if (answer?.status === 200) {
        this.accept(answer.body, sentAt, sentShift);
        const nextAt = sentAt + timings.reportS * 1000 * (0.75 + 0.5 * Math.random());
        while (!this.hasEnded && performance.now() < nextAt) {
          if (this.changed && performance.now() - sentAt >= 500) break;
          await sleep(25);
        }
        continue;
      }
      const named = answer?.status === 421 ? answer.body?.answersTo : undefined;
      const index = nodes.findIndex(({ name }) => name === named);
      if (index >= 0 && index !== this.node) {
        this.node = index;
        await sleep(Math.random() * 500);
        continue;
      }
      this.node = (this.node + 1) % nodes.length;
      await sleep(1000);
    }
  }

  accept(body, sentAt, sentShift) {
    if (sentShift !== this.shift || !(body?.mandate >= this.mandate)) return;
    if (body.mandate > this.mandate) this.changed = true;
    this.mandate = body.mandate;
    this.answeredSentAt = sentAt;
    this.execute(body.orders ?? []);
  }

  direct(url, body) {
    if (url === '/show') return { status: 200, body: this.report() };
    if (url !== '/do') return { status: 404, body: {} };
    if (typeof body?.mandate !== 'number' || typeof body?.shift !== 'number')
      return { status: 400, body: {} };
    if (body.mandate < this.mandate || body.shift !== this.shift) return { status: 409, body: this.report() };
    if (body.mandate > this.mandate) this.changed = true;
    this.mandate = body.mandate;
    this.execute(body.orders ?? []);
    return { status: 200, body: this.report() };
  }

  checkLease() {
    if (performance.now() - this.answeredSentAt <= this.cluster.timings.leaseS * 1000) return;
    const running = [...this.tasks.values()].filter(({ standing }) => standing !== 'ended');
    this.cluster.record(
      `${this.machine.name}: lease has run out, session ${this.shift} ends, kills ${running.length} tasks`,
    );
    this.leasesLost++;
    for (const task of this.tasks.values()) this.exit(task, 'lease');
    this.tasks.clear();
    this.shift++;
    this.answeredSentAt = performance.now();
    this.changed = true;
  }

  execute(orders) {
    for (const { orderKind, shard, tryNo } of orders) {
      const key = `${shard}@${tryNo}`;
      const task = this.tasks.get(key);
      if (orderKind === 'run') {
        if (task === undefined) this.run(key, shard, tryNo);
      } else if (orderKind === 'stop') {
        if (task !== undefined && task.standing !== 'ended') this.finish(task, 'stopped');
      } else if (orderKind === 'forget' && task?.standing === 'ended') this.tasks.delete(key);
    }
  }

  run(key, shard, tryNo) {
    const job = this.cluster.jobs.get(shard.slice(0, shard.lastIndexOf('/')));
    const task = { key, shard, tryNo, standing: 'pulling', job };
    this.tasks.set(key, task);
    this.changed = true;
    const others = [...this.tasks.values()].filter((other) => other !== task && other.standing !== 'ended');
    if (job === undefined) return this.refuse(task, 'unknown');
    if (others.some((other) => other.shard === shard)) return this.refuse(task, 'in_use');
    const used = (field) => others.reduce((sum, other) => sum + other.job.body[field], job.body[field]);
    const isFull = ['vcpus', 'cards', 'memoryGb'].some((field) => used(field) > this.type[field] + 1e-9);
    if (isFull) return this.refuse(task, 'full');
    const { bundle, pullGb } = job.body;
    const readyAt = this.images.get(bundle) ?? performance.now() + (pullGb / this.type.fetchGbPerS) * 1000;
    this.images.set(bundle, readyAt);
    setTimeout(() => this.begin(task), Math.max(0, readyAt - performance.now()));
  }

  refuse(task, cause) {
    task.standing = 'ended';
    task.exitCause = cause;
  }

  begin(task) {
    if (this.tasks.get(task.key) !== task || task.standing !== 'pulling' || this.hasEnded) return;
    task.standing = 'running';
    task.isOn = true;
    this.changed = true;
    this.cluster.onStart(this, task);
    if (this.isSick()) {
      setTimeout(() => this.finish(task, 'error'), 300);
      return;
    }
    if (task.job.body.shape === 'daemon') return;
    setTimeout(() => this.finish(task, 'done'), task.job.runMs);
  }

  finish(task, cause) {
    if (this.tasks.get(task.key) !== task || task.standing === 'ended' || this.hasEnded) return;
    task.standing = 'ended';
    task.exitCause = cause;
    this.changed = true;
    this.exit(task, cause);
  }

  exit(task, cause) {
    if (!task.isOn) return;
    task.isOn = false;
    this.cluster.onExit(this, task, cause);
  }
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
