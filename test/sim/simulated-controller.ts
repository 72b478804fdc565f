/** A controller of a seeded run, among stand-ins for all that it talks to; it may end, be cut off, or be of the version before. */
import { pino } from 'pino';
import { readOperatorSettings } from '../../src/config/operator-settings.js';
import type { PlatformSettings } from '../../src/config/platform-settings.js';
import { Controller, type ControllerDependencies } from '../../src/controller/controller.js';
import { jobId, nodeName, teamName, zoneName } from '../../src/core/model/ids.js';
import type { HttpResponse, Transport } from '../../src/io/http-client.js';
import type { Peer } from '../../src/io/peers/peer-link.js';
import { directCommandsToWire, heartbeatFromWire } from '../../src/io/agents/agent-messages.js';
import type { AgentGateway } from '../../src/io/agents/agent-client.js';
import type { LoadedPlugin } from '../../src/plugin-host/api.js';
import type { Simulation } from './simulation.js';
import { LIMITS, NODES, TEAMS, ZONES, type Json } from './sizes.js';
import { ProcessClock } from './virtual-time.js';

/** A change as the version before pipelines wrote it. */
function asPreviousVersion(o: Json): void {
  if (String(o['write']).startsWith('f/')) delete (o['value'] as Json)['at'];
}

export const asError = (e: unknown): Error => (e instanceof Error ? e : new Error('failed', { cause: e }));

/** The address at which the other controllers know a controller. */
const ipOf = (name: string) => `10.0.0.${NODES.indexOf(name)}`;

/** What lies between a controller and the others, in virtual time and shorter than in operation. */
const OPERATOR =
  '[placement]\nbehind_s = 20\n[fleet]\nidle_boot_factor = 2\nrefused_s = 2\n[sessions]\nttl_s = 2\nrenew_every_s = 0.5\n[slices]\nsettled_s = 2\n';

export class SimulatedController {
  controller: Controller | null = null;
  clock: ProcessClock;
  starts = 0;
  /** The packages that the node runs, made anew with each start. */
  packages: (settings: PlatformSettings) => readonly LoadedPlugin[] = () => [];
  /** Controllers that it does not reach, and that do not reach it. */
  readonly partitionedFrom = new Set<string>();
  /** What the node cannot reach now. */
  readonly unreachable = new Set<'state' | 'workers' | 'peers'>();
  isRefusedByState = false;
  /** How much later than usual the watch tells this node of changes. */
  watchLagMs = 0;
  /** It runs the version before pipelines: it knows nothing of lower limits, and its final states have no time. */
  runsPreviousVersion = false;

  constructor(
    private readonly simulation: Simulation,
    readonly name: string,
    readonly zone: string,
  ) {
    this.clock = new ProcessClock(simulation.time, 1, 0);
  }

  start(): void {
    const { simulation } = this;
    const { time } = simulation;
    this.clock = new ProcessClock(time, time.real(1, 1.0005), time.int(-100, 100));
    this.starts++;
    const outside: ControllerDependencies = {
      clock: this.clock,
      identity: `${this.name}-${this.starts}`,
      random: () => time.real(0, 1),
      state: this.stateService(this.clock, false),
      watch: this.stateService(this.clock, true),
      cloud: this.cloud(this.clock),
      agents: this.workers(this.clock),
      peers: this.peers(),
      packageLinks: this.peers(),
    };
    const log = pino({ level: 'silent' });
    const settings = this.settings();
    this.controller = new Controller({
      settings,
      operator: readOperatorSettings(OPERATOR),
      log,
      dependencies: outside,
      packages: this.packages(settings),
    });
    this.controller.run().catch((e: unknown) => {
      simulation.failed ??= asError(e);
    });
  }

  crash(): void {
    this.clock.dead = true;
    this.controller = null;
  }

  private settings(): PlatformSettings {
    const { size, upcomingLimits } = this.simulation;
    return {
      node: nodeName(this.name),
      zone: zoneName(this.zone),
      bind: '',
      peerBind: `${ipOf(this.name)}:1`,
      peers: NODES.filter((n) => n !== this.name).map((n) => ({
        node: nodeName(n),
        zone: zoneName(ZONES[NODES.indexOf(n) % ZONES.length]!),
        address: `${ipOf(n)}:1`,
      })),
      cloud: '',
      state: '',
      nodes: NODES.length,
      zones: ZONES.map(zoneName),
      teams: [...TEAMS].map(([name, cards]) => ({
        name: teamName(name),
        guarantee: [0, 0, size.times * 6_000_000],
        limitCpu: null,
        limitGpu: cards * size.times * 1_000_000,
      })),
      objectives: [],
      workers: {
        report_s: LIMITS.reportS,
        lease_s: LIMITS.leaseS,
        gang_wait_s: LIMITS.gangWaitS,
        gang_peer_s: LIMITS.gangPeerS,
        cancel_s: LIMITS.cancelS,
      },
      stateLimits: {
        rps: size.rps,
        write_rps: size.writeRps,
        value_kb: 8,
        txn_ops: size.txnOps,
        ...(this.runsPreviousVersion || upcomingLimits === null ? {} : { next: upcomingLimits }),
      },
      cloudLimits: { rps: 5, list_lag_s: 2 },
      limits: { cpu: 1, ram_mb: 100, max_connections: 100 },
    };
  }

  private stateService(clock: ProcessClock, watch: boolean): Transport {
    const { simulation } = this;
    return {
      request: (method, path, body, timeoutMs) =>
        new Promise<HttpResponse>((resolve, reject) => {
          const give = (r: HttpResponse) => {
            simulation.time.after(simulation.time.int(1, 12) + (watch ? this.watchLagMs : 0), () => {
              if (this.unreachable.has('state')) return;
              clock.run(() => {
                resolve(r);
              });
            });
          };
          clock.after(timeoutMs, () => {
            reject(new Error('no answer'));
          });
          simulation.observe(this.name, watch ? 'state watch' : 'state', { method, path, body });
          const copy: unknown = body === undefined ? undefined : structuredClone(body);
          if (this.runsPreviousVersion)
            for (const o of (copy as { then?: Json[] } | undefined)?.then ?? []) asPreviousVersion(o);
          const go = () => {
            if (this.isRefusedByState && !watch) give({ status: 503, body: null });
            else if (watch) simulation.state.follow(path, give);
            else give(simulation.state.handle(method, path, copy));
          };
          if (watch) this.deliver(go);
          else this.send(go, () => simulation.state.handle(method, path, copy), copy);
        }),
    };
  }

  /** What a cut holds back is delivered when it ends, even if nobody waits any more. */
  private deliver(go: () => void): void {
    const { time } = this.simulation;
    const arrive = () => {
      if (this.unreachable.has('state')) time.after(700, arrive);
      else go();
    };
    time.after(time.int(1, 12), arrive);
  }

  /** A request to the state service that may be lost, slow, or carried out without an answer. */
  private send(go: () => void, carryOut: () => void, body: unknown): void {
    const { simulation } = this;
    const { time } = simulation;
    const arrive = () => {
      if (this.unreachable.has('state')) time.after(700, arrive);
      else go();
    };
    // Now and then a request is lost; towards the end no more, so that everything can come to its end.
    const rough = !simulation.isSmooth && time.now < 90_000;
    if (rough && time.happens(0.002)) return;
    // A change whose answer is lost, and which is carried out after newer ones of the same process.
    const writes = (body as { then?: unknown[] } | undefined)?.then?.length ?? 0;
    if (writes > 0 && time.happens(simulation.lateWriteProbability)) {
      time.after(time.int(2000, 12_000), () => {
        simulation.lateWritesApplied++;
        carryOut();
      });
      return;
    }
    if (simulation.maxStateDelayMs > 0) {
      time.after(time.int(0, simulation.maxStateDelayMs), arrive);
      return;
    }
    // Now and then a request is slow, and some of those come after their sender gave up.
    time.after(rough && time.happens(0.01) ? time.int(200, 6000) : time.int(1, 12), arrive);
  }

  private cloud(clock: ProcessClock): Transport {
    const { simulation } = this;
    const { time } = simulation;
    return {
      request: (method, path, body, timeoutMs) =>
        new Promise<HttpResponse>((resolve, reject) => {
          simulation.observe(this.name, 'cloud', { method, path, body });
          clock.after(timeoutMs, () => {
            reject(new Error('no answer'));
          });
          const late = time.happens(0.03);
          if (late && time.happens(0.3)) return;
          time.after(late ? time.int(4000, 12_000) : time.int(20, 200), () => {
            const r = simulation.cluster.handle(path, body);
            clock.run(() => {
              resolve(r);
            });
          });
        }),
    };
  }

  private workers(clock: ProcessClock): AgentGateway {
    const { simulation } = this;
    const { time } = simulation;
    return {
      sendCommands: (address, tok, session, commands) =>
        new Promise((resolve) => {
          clock.after(1500, () => {
            resolve(null);
          });
          const body = JSON.parse(JSON.stringify(directCommandsToWire(tok, session, commands))) as Json;
          simulation.observe(this.name, `agent ${address}`, body);
          const arrive = () => {
            const w = simulation.cluster.machines.get(address)?.worker;
            if (w == null || w.isTerminated) return;
            if (
              this.unreachable.has('workers') ||
              simulation.isPartitioned(w, this.name) ||
              w.isInboundPartitioned
            ) {
              time.after(900, arrive);
              return;
            }
            w.direct(body, (r) => {
              clock.run(() => {
                resolve(heartbeatFromWire(r));
              });
            });
          };
          time.after(time.int(1, 5), arrive);
        }),
    };
  }

  private peers(): ReadonlyMap<string, Peer> {
    return new Map(NODES.filter((n) => n !== this.name).map((n) => [n, this.peer(this.clock, n)]));
  }

  /** Asks another controller; null where no answer comes in time. */
  private across<T>(
    clock: ProcessClock,
    name: string,
    ms: number,
    delayMs: number,
    asked: (controller: Controller) => Promise<T>,
  ): Promise<T | null> {
    const { time } = this.simulation;
    return new Promise((resolve, reject) => {
      clock.after(ms, () => {
        resolve(null);
      });
      time.after(delayMs, () => {
        const to = this.simulation.controllers.get(name)!;
        if (
          this.unreachable.has('peers') ||
          to.unreachable.has('peers') ||
          this.partitionedFrom.has(name) ||
          to.partitionedFrom.has(this.name)
        )
          return;
        const { controller } = to;
        if (controller === null) return;
        to.clock.run(() => {
          asked(controller)
            .then((answer) => {
              clock.run(() => {
                resolve(answer);
              });
            })
            .catch(reject);
        });
      });
    });
  }

  private peer(clock: ProcessClock, name: string): Peer {
    const { time } = this.simulation;
    const delay = () => time.int(1, 6);
    const observe = (message: unknown) => {
      this.simulation.observe(this.name, name, message);
    };
    return {
      contact: (ms) => {
        observe('contact');
        return this.across(clock, name, ms, delay(), (c) =>
          Promise.resolve(c.context.state.isReachable(1500)),
        );
      },
      cancel: (job, ms) => {
        observe({ cancel: job });
        return this.across(clock, name, ms, 3, (c) =>
          Promise.resolve(c.jobs.acceptForwardedCancellation(jobId(job))),
        );
      },
      ask: (topic, payload, ms) => {
        observe({ topic, payload });
        return this.across(clock, name, ms, delay(), (c) =>
          c.channel.answer(topic, payload.slice(), ipOf(this.name)),
        );
      },
    };
  }
}
