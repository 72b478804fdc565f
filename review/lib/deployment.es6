// A small deployment: the project's own program as separate processes, and stand-ins for everything around it.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { Cloud } from './cloud.es6';
import { StateService } from './state-service.es6';
import { Worker, call, sleep } from './worker.es6';

const startedAt = performance.now();
/** Seconds since the script began. */
export const seconds = () => (performance.now() - startedAt) / 1000;

/** Writes record.txt. */
export class Recorder {
  constructor(file) {
    this.file = file;
    writeFileSync(file, '');
  }

  line(text) {
    appendFileSync(this.file, `${seconds().toFixed(2).padStart(7)} ${text}\n`);
  }
}

/** Ports given out so far: each is free when it is chosen, and used only later. */
const chosenPorts = new Set();

async function freePort(host) {
  for (;;) {
    // Below the ports that the system uses for outgoing connections.
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    if (chosenPorts.has(port)) continue;
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, host, () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    chosenPorts.add(port);
    return port;
  }
}

/** The words of the deploy file's `run` command. */
function runCommand() {
  const text = readFileSync('deploy/service.toml', 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

export class Deployment {
  constructor({ site, recorder }) {
    this.site = site;
    this.recorder = recorder;
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'pepperbank-review-'));
    this.processes = new Map();
    this.nodes = [];
    this.jobs = new Map();
    this.timings = site.timings;
    this.isSick = () => false;
    this.record = (text) => this.recorder.line(text);
    /** Tasks on machines, by task: the workers that have it now. */
    this.placements = new Map();
    this.endedByThemselves = 0;
    this.state = new StateService(site.state);
    this.cloud = new Cloud({
      types: site.types,
      capacity: site.capacity,
      bootMs: site.bootMs,
      listLagMs: site.listLagS * 1000,
      record: this.record,
      startWorker: async (machine) => {
        const type = site.types.find(({ label }) => label === machine.flavor);
        this.record(`${machine.name} is up (${machine.vault})`);
        return new Worker(this, machine, type, () => this.isSick(machine)).start();
      },
    });
  }

  onStart(worker, task) {
    const on = this.placements.get(task.shard) ?? new Set();
    this.placements.set(task.shard, on);
    on.add(worker);
    if (!task.job.isQuiet) this.record(`${task.shard} try ${task.tryNo} starts on ${worker.machine.name}`);
  }

  onExit(worker, task, cause) {
    this.placements.get(task.shard)?.delete(worker);
    if (!task.job.isQuiet)
      this.record(`${task.shard} try ${task.tryNo} leaves ${worker.machine.name}: ${cause}`);
  }

  /** Number of the job's tasks that are on a machine now. */
  running(id, tasks) {
    let count = 0;
    for (let i = 0; i < tasks; i++) if ((this.placements.get(`${id}/${i}`)?.size ?? 0) > 0) count++;
    return count;
  }

  async start() {
    const { site } = this;
    const cloudPort = await this.cloud.listen();
    const nodes = [];
    for (let i = 0; i < site.controllers; i++)
      nodes.push({
        name: `teller-${i}`,
        area: site.zones[i % site.zones.length],
        address: `127.0.0.1:${await freePort('127.0.0.1')}`,
        internal: `127.0.0.1:${await freePort('127.0.0.1')}`,
        statePort: await this.state.listen(`teller-${i}`),
      });
    this.nodes = nodes;
    for (const node of nodes) {
      const file = path.join(this.folder, `${node.name}.toml`);
      writeFileSync(file, this.settingsOf(node, cloudPort));
      node.settings = file;
      this.startController(node);
    }
  }

  startController(node) {
    const [program, ...args] = runCommand();
    const log = openSync(path.join(this.folder, `${node.name}.log`), 'a');
    const child = spawn(program, [...args, node.settings], {
      stdio: ['ignore', log, log],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    this.processes.set(node.name, child);
    this.record(`start ${node.name}, process ${child.pid}`);
    child.hasExited = new Promise((resolve) => child.once('exit', resolve));
    child.once('exit', (code, signal) => {
      if (this.isStopping) return;
      this.record(`process ${child.pid} of ${node.name} ended by itself: code ${code}, signal ${signal}`);
      this.endedByThemselves++;
      setTimeout(() => !this.isStopping && this.startController(node), this.site.restartS * 1000);
    });
  }

  settingsOf(node, cloudPort) {
    const { site } = this;
    const others = this.nodes
      .filter((other) => other !== node)
      .map(
        ({ name, area, internal }) =>
          `[[others]]\nnode = "${name}"\narea = "${area}"\nendpoint = "${internal}"\n`,
      );
    const teams = site.teams.map(
      ({ name, gpus, gpusMax }) =>
        `[[cluster.teams]]\nname = "${name}"\ncpus = 0.0\ncpus_max = 0.0\ngpus = ${gpus}\ngpus_max = ${gpusMax}\n`,
    );
    const { timings, state } = site;
    return `node = "${node.name}"
area = "${node.area}"
bind = "${node.address}"
internal_addr = "${node.internal}"

${others.join('\n')}
[outside]
cloud = "127.0.0.1:${cloudPort}"
state = "127.0.0.1:${node.statePort}"

[cluster]
count = ${site.controllers}
zones = [${site.zones.map((zone) => `"${zone}"`).join(', ')}]
time_bound_ms = 100.0

${teams.join('\n')}
[cluster.workers]
report_s = ${timings.reportS}
lease_s = ${timings.leaseS}
gang_wait_s = ${timings.gangWaitS}
gang_peer_s = ${timings.gangPeerS}
cancel_s = ${timings.cancelS}

[cluster.state]
rps = ${state.rps}
write_rps = ${state.writeRps}
value_kb = ${state.valueKb}
txn_ops = ${state.txnOps}
${state.next ?? ''}

[cluster.cloud]
rps = ${site.cloudRps}
list_lag_s = ${site.listLagS}

[cluster.quota]
cpu = ${site.quota.cpu}
ram_mb = ${site.quota.ramMb}
max_connections = ${site.quota.maxConnections}
`;
  }

  /** Waits until every controller answers its health check with 200; false if one does not in time. */
  async untilHealthy(timeoutS) {
    const until = seconds() + timeoutS;
    for (;;) {
      const answers = await Promise.all(
        this.nodes.map(({ address }) => call(address, 'GET', '/healthz', undefined, 1000)),
      );
      if (answers.every((answer) => answer?.status === 200)) return true;
      if (seconds() > until) return false;
      await sleep(100);
    }
  }

  /** Submits a job as a user does: repeats the request until it is accepted or 60 s have passed. */
  async submit(body, { runMs = 0, isQuiet = false, at = null } = {}) {
    const id = body.nameId;
    this.jobs.set(id, { body, runMs, isQuiet });
    const until = seconds() + 60;
    let next = Math.floor(Math.random() * this.nodes.length);
    while (seconds() < until) {
      const node = at ?? this.nodes[next++ % this.nodes.length];
      this.record(`user -> ${node.name}: submit ${JSON.stringify(body)}`);
      const answer = await call(node.address, 'POST', '/v1/jobs', body, 5000);
      this.record(`${node.name} -> user: submit ${id}: ${answerText(answer, 5)}`);
      if (answer?.status === 200 || answer?.status === 201) return answer;
      if (answer?.status === 400 || answer?.status === 422) return answer;
      await sleep(1000);
    }
    return null;
  }

  /** Submits a job that has to be accepted for the case to run. */
  async submitAccepted(body, options) {
    const answer = await this.submit(body, options);
    if (answer?.status !== 201 && answer?.status !== 200)
      throw new Error(`${body.nameId} was not accepted: ${JSON.stringify(answer)}`);
  }

  /** Waits until all tasks of the job are on machines. */
  async untilRunning(id, tasks, timeoutS) {
    const until = seconds() + timeoutS;
    while (seconds() < until && this.running(id, tasks) < tasks) await sleep(50);
    if (this.running(id, tasks) < tasks) throw new Error(`${id} did not start within ${timeoutS} s`);
  }

  /** Asks a controller about a job as a user does; null without an answer in 2 s. */
  async poll(node, id) {
    const answer = await call(node.address, 'GET', `/v1/jobs/${id}`, undefined, 2000);
    if (!this.isStopping) this.record(`poll ${id} at ${node.name}: ${answerText(answer, 2)}`);
    return answer;
  }

  /** Cancels a job as a user does, first at the given controller: repeats the request until it is answered with 200. */
  async abort(id, first) {
    let node = first;
    for (let tries = 0; !this.isStopping && tries < 60; tries++) {
      this.record(`user -> ${node.name}: abort ${id}`);
      const answer = await call(node.address, 'POST', `/v1/jobs/${id}/abort`, undefined, 5000);
      if (this.isStopping) return null;
      this.record(`${node.name} -> user: abort ${id}: ${answerText(answer, 5)}`);
      if (answer?.status === 200) return answer.body.standing;
      await sleep(1000);
      node = this.nodes[Math.floor(Math.random() * this.nodes.length)];
    }
    return null;
  }

  /** Ends all processes and servers and removes the temporary folder; KEEP=1 keeps it, with the controllers' logs. */
  async stop() {
    this.isStopping = true;
    for (const child of this.processes.values()) child.kill('SIGKILL');
    await Promise.all([...this.processes.values()].map((child) => child.hasExited));
    this.cloud.close();
    this.state.close();
    if (process.env.KEEP === '1') this.record(`the logs are in ${this.folder}`);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}

/** How an answer is written to the record. */
export const answerText = (answer, timeoutS) =>
  answer === null ? `no answer in ${timeoutS} s` : `${answer.status} ${JSON.stringify(answer.body)}`;

/** A job's body with the fields that a case does not care about. */
export const jobBody = (fields) => ({
  workload: 'work',
  shape: 'sweep',
  tier: 'standard',
  shards: 1,
  vcpus: 1,
  cards: 0,
  memoryGb: 1,
  bundle: 'img-01',
  pullGb: 0.3,
  flavors: null,
  vault: null,
  samePlace: false,
  scatter: false,
  loaner: false,
  expectedS: 60,
  snapshotEveryS: 0,
  snapshotS: 0,
  dueS: null,
  ...fields,
});

export { call, sleep };
