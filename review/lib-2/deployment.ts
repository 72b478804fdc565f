/** A small deployment: controller processes as the deploy file starts them, and stand-ins of their surroundings. */
import { spawn, type ChildProcess } from 'node:child_process';
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import type http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import { Fleet, type FleetOptions, type KnownJob } from './fleet.js';
import { freePort, jsonServer, listen, send, type Json, type Reply } from './json-http.js';
import { StateService, type StateLimits } from './state-service.js';

/** Settings of a deployment. */
export interface DeploymentOptions {
  readonly nodes: number;
  readonly zones: readonly string[];
  readonly state: StateLimits;
  /** The limits that the settings announce for later; absent: none. */
  readonly nextState?: StateLimits;
  readonly cloudRps: number;
  readonly listLagS: number;
  readonly cancelS: number;
  /** Lines of `[[cluster.teams]]` tables. */
  readonly teams: readonly { name: string; gpus: number; gpusMax: number }[];
  readonly fleet: Omit<FleetOptions, 'controllers' | 'zones'>;
}

/** One controller's process. */
export interface Controller {
  readonly name: string;
  readonly address: string;
  child: ChildProcess | null;
  /** Exit codes and signals of processes that the test did not end. */
  readonly ownEnds: string[];
}

const sleep = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

/** Controllers, state service, cloud and workers on loopback. */
export class Deployment {
  readonly controllers = new Map<string, Controller>();
  readonly state: StateService;
  fleet!: Fleet;
  /**
   * Called with each transaction that reaches the state service. True: once it has been carried out and answered, the
   * service refuses its controller alone, for as long as `refused` has the controller's name.
   */
  refusesAfter: (node: string, transaction: Json) => boolean = () => false;
  /** Controllers that the state service refuses: they get 503, and their open watches wait. */
  readonly refused = new Set<string>();
  private readonly heldWatches = new Set<string>();
  /** Records a line in `record.txt`, with the seconds since the start. */
  readonly record: (line: string) => void;
  private readonly directory = mkdtempSync(path.join(os.tmpdir(), 'pepperbank-review-'));
  private readonly servers: http.Server[] = [];
  private readonly startedAt = performance.now();
  private readonly runCommand = runCommandOfDeployFile();

  constructor(
    private readonly options: DeploymentOptions,
    recordFile: string,
  ) {
    this.state = new StateService(options.state);
    writeFileSync(recordFile, '');
    this.record = (line) => {
      appendFileSync(recordFile, `${this.seconds().toFixed(2).padStart(7)} ${line}\n`);
    };
    // Whatever ends this process, no controller outlives it.
    process.once('exit', () => {
      for (const { child } of this.controllers.values()) child?.kill('SIGKILL');
      rmSync(this.directory, { recursive: true, force: true });
    });
  }

  /** Seconds since the start. */
  seconds(): number {
    return (performance.now() - this.startedAt) / 1000;
  }

  async start(): Promise<void> {
    const { options } = this;
    const names = Array.from({ length: options.nodes }, (_, i) => `teller-${i}`);
    const addresses = new Map<string, { bind: string; internal: string }>();
    for (const name of names)
      addresses.set(name, {
        bind: `127.0.0.1:${await freePort()}`,
        internal: `127.0.0.1:${await freePort()}`,
      });
    const controllers = new Map(names.map((name) => [name, addresses.get(name)!.bind]));
    this.fleet = new Fleet({ ...options.fleet, zones: options.zones, controllers });
    const cloud = await this.serve((method, url, body) => this.fleet.handle(method, url, body));
    for (const [i, name] of names.entries()) {
      const state = await this.serve((method, url, body) => this.handleState(name, { method, url, body }));
      const others = names.filter((other) => other !== name);
      const { bind, internal } = addresses.get(name)!;
      const peers = others.map((other) => {
        const zone = options.zones[names.indexOf(other) % options.zones.length]!;
        return `[[others]]\nnode = "${other}"\narea = "${zone}"\nendpoint = "${addresses.get(other)!.internal}"\n`;
      });
      const head = `node = "${name}"\narea = "${options.zones[i % options.zones.length]!}"\nbind = "${bind}"\ninternal_addr = "${internal}"\n`;
      writeFileSync(
        this.settingsFile(name),
        [head, ...peers, settingsToml(options, { cloud, state })].join('\n'),
      );
      this.controllers.set(name, { name, address: bind, child: null, ownEnds: [] });
      this.startController(name);
    }
    const isUp = await this.until('all controllers are healthy', () => this.areAllHealthy(), 10_000);
    if (!isUp) throw new Error('a controller does not become healthy');
  }

  /** Starts a controller with the command of the deploy file. */
  startController(name: string): void {
    const controller = this.controllers.get(name)!;
    const log = openSync(path.join(this.directory, `${name}.log`), 'a');
    const [program = '', ...args] = this.runCommand;
    const child = spawn(program, [...args, this.settingsFile(name)], {
      stdio: ['ignore', log, log],
      env: { ...process.env, LOG_LEVEL: process.env['CASE_LOG'] ?? 'error' },
    });
    controller.child = child;
    this.record(`started ${name} as process ${child.pid}`);
    child.once('exit', (code, signal) => {
      if (controller.child !== child) return;
      controller.child = null;
      controller.ownEnds.push(`code ${code} signal ${signal}`);
      this.record(`${name} ENDED BY ITSELF: code ${code}, signal ${signal}; end of its log:`);
      for (const line of this.logOf(name).split('\n').slice(-12)) this.record(`    ${line.slice(0, 160)}`);
    });
  }

  /** Kills a controller without a signal that it could handle. */
  async kill(name: string): Promise<void> {
    const controller = this.controllers.get(name)!;
    const { child } = controller;
    if (child === null) return;
    controller.child = null;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
    this.record(`killed ${name}`);
  }

  signal(name: string, signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.controllers.get(name)!.child?.kill(signal);
    this.record(`sent ${signal} to ${name}`);
  }

  logOf(name: string): string {
    return readFileSync(path.join(this.directory, `${name}.log`), 'utf8').trimEnd();
  }

  /** Sends a user's request to a controller; null without an answer. */
  ask(name: string, method: string, url: string, body?: unknown, timeoutMs = 5000): Promise<Reply | null> {
    return send(method, this.controllers.get(name)!.address, url, body, timeoutMs);
  }

  /** Submits a job as a user does: with retries at all controllers in turn; the answer's status and standing. */
  async submit(body: Json, runMs: number, first = 0): Promise<string> {
    const id = String(body['nameId']);
    const job: KnownJob = this.fleet.jobs.get(id) ?? { body, runMs, done: new Set() };
    this.fleet.jobs.set(id, job);
    const names = [...this.controllers.keys()];
    let last = 'no answer';
    for (let attempt = 0; attempt < 55; attempt++) {
      const name = names[(first + attempt) % names.length]!;
      const reply = await this.ask(name, 'POST', '/v1/jobs', body);
      last = `${name} answered ${reply?.status ?? 'nothing'} ${JSON.stringify(reply?.body ?? null)}`;
      if (reply !== null && [200, 201, 400, 422].includes(reply.status)) return last;
      await sleep(1000);
    }
    return last;
  }

  async until(
    what: string,
    condition: () => boolean | Promise<boolean>,
    timeoutMs: number,
  ): Promise<boolean> {
    const deadline = performance.now() + timeoutMs;
    while (performance.now() < deadline) {
      if (await condition()) {
        this.record(`reached: ${what}`);
        return true;
      }
      await sleep(100);
    }
    this.record(`not reached within ${timeoutMs / 1000} s: ${what}`);
    return false;
  }

  /** Ends all processes and servers of this deployment. */
  async stop(): Promise<void> {
    for (const { name, child } of this.controllers.values()) {
      child?.kill('SIGCONT');
      await this.kill(name);
    }
    this.fleet.close();
    this.state.close();
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  private settingsFile(name: string): string {
    return path.join(this.directory, `${name}.toml`);
  }

  private async serve(handle: Parameters<typeof jsonServer>[0]): Promise<string> {
    const server = jsonServer(handle);
    this.servers.push(server);
    return `127.0.0.1:${await listen(server)}`;
  }

  /** Answers a request to the state service; the open watches of a controller that is refused wait, as in an outage. */
  private async handleState(
    node: string,
    { method, url, body }: { method: string; url: string; body: unknown },
  ): Promise<Reply> {
    const { refused, heldWatches } = this;
    if (refused.has(node)) return { status: 503, body: null };
    const isLast = url === '/txn' && this.refusesAfter(node, body as Json);
    if (isLast) heldWatches.add(node);
    const reply = await this.state.handle(method, url, body);
    if (isLast && reply.status === 200) refused.add(node);
    if (isLast) heldWatches.delete(node);
    if (url.startsWith('/follow')) while (refused.has(node) || heldWatches.has(node)) await sleep(10);
    return reply;
  }

  private async areAllHealthy(): Promise<boolean> {
    for (const name of this.controllers.keys())
      if ((await this.ask(name, 'GET', '/healthz', undefined, 1000))?.status !== 200) return false;
    return true;
  }
}

/** The words of `run` in the deploy file. */
function runCommandOfDeployFile(): string[] {
  const text = readFileSync('deploy/service.toml', 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (run === undefined) throw new Error('deploy/service.toml has no run command');
  return run.split(' ');
}

/** A table of the settings with limits of the state service. */
const stateToml = (name: string, { rps, writeRps, valueKb, txnOps }: StateLimits): string =>
  `[cluster.${name}]\nrps = ${rps}\nwrite_rps = ${writeRps}\nvalue_kb = ${valueKb}\ntxn_ops = ${txnOps}\n`;

function settingsToml(options: DeploymentOptions, outside: { cloud: string; state: string }): string {
  const { timings } = options.fleet;
  const { state, nextState } = options;
  const limits =
    stateToml('state', state) + (nextState === undefined ? '' : stateToml('state.next', nextState));
  const teams = options.teams.map(
    ({ name, gpus, gpusMax }) =>
      `[[cluster.teams]]\nname = "${name}"\ncpus = 0.0\ncpus_max = 0.0\ngpus = ${gpus}\ngpus_max = ${gpusMax}\n`,
  );
  return `[outside]
cloud = "${outside.cloud}"
state = "${outside.state}"
[cluster]
count = ${options.nodes}
zones = ${JSON.stringify(options.zones)}
time_bound_ms = 100.0
[cluster.workers]
report_s = ${timings.reportS}
lease_s = ${timings.leaseS}
gang_wait_s = ${timings.gangWaitS}
gang_peer_s = ${timings.gangPeerS}
cancel_s = ${options.cancelS}
${limits}[cluster.cloud]
rps = ${options.cloudRps}
list_lag_s = ${options.listLagS}
[cluster.quota]
cpu = 0.255
ram_mb = 178.0
max_connections = 1500
${teams.join('')}`;
}
