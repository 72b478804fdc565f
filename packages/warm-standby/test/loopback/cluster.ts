/** A cluster of real controller processes on loopback, among stand-ins for the state service, the cloud and the agents. */
import { key } from '../../../../src/core/records/keys.js';
import { type HttpResponse, HttpClient, type Method } from '../../../../src/io/http-client.js';
import { type SimulatedAgent, SimulatedCluster } from '../../../../test/sim/agents-and-cloud.js';
import { StateService } from '../../../../test/sim/state-service.js';
import { VirtualTime } from '../../../../test/sim/virtual-time.js';
import { BUDGET, NODES, LIMITS, TEAMS, ZONES, platformFile } from './cluster-settings.js';
import { type ChildProcess, spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { openSync, mkdtempSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net, { AddressInfo } from 'node:net';
import os from 'node:os';
import path from 'node:path';

type Json = Record<string, unknown>;
/** The stand-ins look at the time so often. */
const TICK_MS = 4;
/** Longer than any client waits. */
const NEVER_ANSWERED_MS = 60_000;
/** Ports from which listening controllers get theirs. */
const LOWEST_PORT = 12_000;
const FIRST_OUTGOING_PORT = 30_000;
/** Addresses for workers: a machine's name says which one is its own. */
const WORKER_PORTS = 160;

const listen = async (server: net.Server, host = '127.0.0.1'): Promise<number> => {
  await new Promise<void>((r) => server.listen(0, host, r));
  return (server.address() as AddressInfo).port;
};

/**
 * A port that a controller can have again after a restart: below those that the system gives to outgoing connections, any of
 * which may take a free one in between.
 */
async function freePort(host: string): Promise<number> {
  for (;;) {
    const port = randomInt(LOWEST_PORT, FIRST_OUTGOING_PORT);
    const server = net.createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      server.once('error', () => {
        resolve(false);
      });
      server.listen(port, host, () => {
        resolve(true);
      });
    });
    if (!isFree) continue;
    await new Promise((r) => server.close(r));
    return port;
  }
}

/** Answers JSON requests by `handle`; null: no answer at all. */
function jsonServer(
  handle: (method: string, url: string, body: unknown, reply: (r: HttpResponse) => void) => void,
): http.Server {
  return http.createServer((req, res) => {
    const chunks: Buffer[] = [];
    req.on('error', () => undefined);
    req.on('data', (c: Buffer) => chunks.push(c));
    req.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      const body: unknown = text === '' ? undefined : JSON.parse(text);
      handle(req.method ?? '', req.url ?? '', body, (r) => {
        res.writeHead(r.status, { 'content-type': 'application/json' }).end(JSON.stringify(r.body));
      });
    });
  });
}

/** A TCP link between two controllers that can be cut: bytes are held back then, as by a network that is down. */
class Link {
  isCut = false;
  port = 0;
  private readonly server = net.createServer((from) => {
    const to = net.connect(this.target.port, this.target.host);
    for (const [a, b] of [
      [from, to],
      [to, from],
    ] as const) {
      a.on('data', (bytes: Buffer) => {
        if (!this.isCut) b.write(bytes);
      });
      a.on('error', () => b.destroy());
      a.on('close', () => b.destroy());
    }
  });

  constructor(private readonly target: { host: string; port: number }) {}

  async open(): Promise<void> {
    this.port = await listen(this.server);
  }

  close(): void {
    this.server.close();
  }
}

/** One controller's process. */
export class ControllerProcess {
  private child: ChildProcess | null = null;
  /** It reaches nobody, and nobody reaches it. */
  isCut = false;
  /** It has ended without being killed. */
  hasEnded = false;
  client: HttpClient;

  constructor(
    readonly name: string,
    readonly address: string,
    private readonly args: readonly string[],
    private readonly logFile: string,
  ) {
    this.client = new HttpClient(address, 64);
  }

  get pid(): number {
    return this.child!.pid!;
  }

  start(): void {
    const log = openSync(this.logFile, 'a');
    this.child = spawn(process.execPath, ['--max-old-space-size=128', 'target/main.cjs', ...this.args], {
      stdio: ['ignore', log, log],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    const { child } = this;
    child.once('exit', () => {
      this.hasEnded ||= this.child === child;
    });
  }

  kill(): Promise<void> {
    const { child } = this;
    if (child === null) return Promise.resolve();
    this.child = null;
    return new Promise((resolve) => {
      child.once('exit', () => {
        resolve();
      });
      child.kill('SIGKILL');
    });
  }

  pause(): void {
    this.child?.kill('SIGSTOP');
  }

  resume(): void {
    this.child?.kill('SIGCONT');
  }

  async ask(method: Method, url: string, body?: unknown, timeoutMs = 5000): Promise<HttpResponse | null> {
    try {
      return await this.client.request(method, url, body, timeoutMs);
    } catch {
      return null;
    }
  }
}

/** What the stand-ins see of the workers, for measurements. */
export interface WorkerWatch {
  readonly answered: (agent: SimulatedAgent, node: string, token: number) => void;
  readonly started: (agent: SimulatedAgent) => void;
}

/** The controllers and all that is round them. */
export class Cluster {
  readonly world = new VirtualTime(1);
  readonly state: StateService;
  readonly fleet: SimulatedCluster;
  readonly controllers = new Map<string, ControllerProcess>();
  readonly directory = mkdtempSync(path.join(os.tmpdir(), 'pepperbank-loopback-'));
  /** A broken rule, or a stand-in that failed. */
  failed: Error | null = null;
  watch: WorkerWatch | null = null;
  private readonly servers: http.Server[] = [];
  private readonly links: { from: string; to: string; link: Link }[] = [];
  private isRunning = true;
  private readonly workerAddresses: string[] = [];

  constructor(perZone: number) {
    this.state = new StateService(this.world, BUDGET);
    this.state.pageRows = 500;
    this.fleet = new SimulatedCluster(
      this.world,
      NODES,
      LIMITS,
      TEAMS,
      perZone,
      (agent, node, body, done) => {
        void this.report(agent, node, body, done);
      },
    );
    this.fleet.endpointOf = (name) => this.workerAddresses[Number(name.slice(2)) % WORKER_PORTS]!;
    this.world.check = () => {
      this.fleet.checkCancelled();
    };
  }

  /** Starts all; `operator` is the operators' file. */
  async start(operator: string): Promise<void> {
    await this.startWorkers();
    const cloud = jsonServer((_method, url, body, reply) => {
      this.world.after(20, () => {
        reply(this.fleet.handle(url, body));
      });
    });
    this.servers.push(cloud);
    const cloudPort = await listen(cloud);
    const internal = new Map<string, { host: string; port: number }>();
    for (const [i, name] of NODES.entries()) {
      const host = `127.0.0.${11 + i}`;
      internal.set(name, { host, port: await freePort(host) });
    }
    writeFileSync(path.join(this.directory, 'operator.toml'), operator);
    for (const name of NODES) await this.addController(name, cloudPort, internal);
    void this.pump();
    for (const c of this.controllers.values()) c.start();
  }

  async stop(): Promise<void> {
    this.isRunning = false;
    for (const c of this.controllers.values()) {
      c.resume();
      await c.kill();
      await c.client.close();
    }
    for (const { link } of this.links) link.close();
    for (const s of this.servers) {
      s.closeAllConnections();
      s.close();
    }
  }

  /** The controller reaches nobody from now on, or everybody again. */
  cut(name: string, isCut: boolean): void {
    this.controllers.get(name)!.isCut = isCut;
    for (const { from, to, link } of this.links) if (from === name || to === name) link.isCut = isCut;
  }

  /** Holder of a slice as the state service has it, and its revision. */
  holderOf(shard: string): { holder: string; epoch: number } | null {
    const row = this.state.rows.get(key.shard(shard));
    return row === undefined ? null : { holder: (row.value as { holder: string }).holder, epoch: row.rev };
  }

  /** Waits until it is so; throws after the time, or when a rule was broken. */
  async until(what: string, isSo: () => boolean | Promise<boolean>, mostMs = 90_000): Promise<void> {
    const end = performance.now() + mostMs;
    while (!(await isSo())) {
      if (this.failed !== null) throw this.failed;
      for (const c of this.controllers.values())
        if (c.hasEnded) throw new Error(`${c.name} has ended by itself; logs in ${this.directory}`);
      if (performance.now() > end)
        throw new Error(`not within ${mostMs} ms: ${what}; logs in ${this.directory}`);
      await new Promise((r) => setTimeout(r, 20));
    }
  }

  private async pump(): Promise<void> {
    const start = performance.now();
    while (this.isRunning) {
      try {
        await this.world.runUntil(performance.now() - start);
      } catch (e) {
        this.failed ??= e instanceof Error ? e : new Error(String(e));
      }
      await new Promise((r) => setTimeout(r, TICK_MS));
    }
  }

  private async startWorkers(): Promise<void> {
    for (let i = 0; i < WORKER_PORTS; i++) {
      const server = jsonServer((_method, _url, body, reply) => {
        const agent = this.fleet.liveAgents().find((w) => Number(w.name.slice(2)) % WORKER_PORTS === i);
        agent?.direct(body as Json, (heartbeat) => {
          const isCurrent = heartbeat['mandate'] === (body as Json)['mandate'];
          reply({ status: isCurrent ? 200 : 409, body: heartbeat });
        });
      });
      this.servers.push(server);
      this.workerAddresses.push(`127.0.0.1:${await listen(server)}`);
    }
  }

  private async report(
    agent: SimulatedAgent,
    node: string,
    body: Json,
    done: (r: HttpResponse) => void,
  ): Promise<void> {
    const controller = this.controllers.get(node)!;
    const isCut = () => controller.isCut;
    if (isCut()) return;
    const reply = await controller.ask('POST', '/v1/report', body, 4500);
    if (!this.isRunning || isCut()) return;
    const known = agent.tasks.size;
    done(reply ?? { status: 500, body: null });
    if (reply?.status !== 200 || this.watch === null) return;
    this.watch.answered(agent, node, Number((reply.body as Json)['mandate']));
    if (agent.tasks.size > known) this.watch.started(agent);
  }

  private stateServer(controller: () => ControllerProcess): http.Server {
    return jsonServer((method, url, body, reply) => {
      const answer = (r: HttpResponse) => {
        if (!controller().isCut) reply(r);
      };
      if (controller().isCut) return;
      if (url.startsWith('/follow')) this.state.follow(url, answer);
      else answer(this.state.handle(method, url, body));
    });
  }

  private async addController(
    name: string,
    cloudPort: number,
    internal: ReadonlyMap<string, { host: string; port: number }>,
  ): Promise<void> {
    const state = this.stateServer(() => this.controllers.get(name)!);
    // A watch may stay open for longer than the server's own time-outs.
    state.requestTimeout = NEVER_ANSWERED_MS;
    this.servers.push(state);
    const own = internal.get(name)!;
    const others: string[] = [];
    for (const [i, other] of NODES.entries()) {
      if (other === name) continue;
      const link = new Link(internal.get(other)!);
      await link.open();
      this.links.push({ from: name, to: other, link });
      others.push(
        `[[others]]\nnode = "${other}"\narea = "${ZONES[i % 2]!}"\nendpoint = "127.0.0.1:${link.port}"`,
      );
    }
    const bind = `127.0.0.1:${await freePort('127.0.0.1')}`;
    const settings = platformFile({
      name,
      zone: ZONES[NODES.indexOf(name) % 2]!,
      bind,
      internal: `${own.host}:${own.port}`,
      others,
      cloud: `127.0.0.1:${cloudPort}`,
      state: `127.0.0.1:${await listen(state)}`,
    });
    const file = path.join(this.directory, `${name}.toml`);
    writeFileSync(file, settings);
    const args = ['--config', file, '--operator', path.join(this.directory, 'operator.toml')];
    this.controllers.set(
      name,
      new ControllerProcess(name, bind, args, path.join(this.directory, `${name}.log`)),
    );
  }
}
