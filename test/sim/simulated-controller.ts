/** A controller of a seeded run, among stand-ins for all that it talks to; it may end, be cut off, or be of the version before. */
import { pino } from 'pino';
import { readOperatorSettings } from '../../src/config/operator-settings.js';
import type { PlatformSettings } from '../../src/config/platform-settings.js';
import { Controller, type ControllerDependencies } from '../../src/controller/controller.js';
import { jobId, nodeName, teamName, zoneName } from '../../src/core/model/ids.js';
import type { Reply, Transport } from '../../src/io/http-client.js';
import type { Peer } from '../../src/io/peers/peer-link.js';
import { directCommandsToWire, heartbeatFromWire } from '../../src/io/agents/agent-messages.js';
import type { AgentGateway } from '../../src/io/agents/agent-client.js';
import type { LoadedPackage } from '../../src/plugin-host/api.js';
import type { Sim } from './simulation.js';
import { LIMITS, NODES, TEAMS, ZONES, type Json } from './sizes.js';
import { ProcessClock } from './virtual-time.js';

/** A change as the version before pipelines wrote it. */
function asBefore(o: Json): void {
  if (String(o['write']).startsWith('f/')) delete (o['value'] as Json)['at'];
}

export const asError = (e: unknown): Error => (e instanceof Error ? e : new Error('failed', { cause: e }));

/** The address at which the other controllers know a controller. */
const ipOf = (name: string) => `10.0.0.${NODES.indexOf(name)}`;

/** What lies between a controller and the others, in virtual time and shorter than in operation. */
const OPERATOR =
  '[placement]\nbehind_s = 20\n[fleet]\nidle_boot_factor = 2\nrefused_s = 2\n[sessions]\nttl_s = 2\nrenew_every_s = 0.5\n[slices]\nsettled_s = 2\n';

export class Node {
  controller: Controller | null = null;
  clock: ProcessClock;
  lives = 0;
  /** The packages that the node runs, made anew with each start. */
  packages: (settings: PlatformSettings) => readonly LoadedPackage[] = () => [];
  /** Controllers that it does not reach, and that do not reach it. */
  readonly cutFrom = new Set<string>();
  /** What the node cannot reach now. */
  readonly cut = new Set<'state' | 'workers' | 'peers'>();
  refused = false;
  /** How much later than usual the watch tells this node of changes. */
  watchLagMs = 0;
  /** It runs the version before pipelines: it knows nothing of lower limits, and its final states have no time. */
  old = false;

  constructor(
    private readonly sim: Sim,
    readonly name: string,
    readonly zone: string,
  ) {
    this.clock = new ProcessClock(sim.world, 1, 0);
  }

  start(): void {
    const { sim } = this;
    const { world } = sim;
    this.clock = new ProcessClock(world, world.real(1, 1.0005), world.int(-100, 100));
    this.lives++;
    const outside: ControllerDependencies = {
      clock: this.clock,
      identity: `${this.name}-${this.lives}`,
      random: () => world.real(0, 1),
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
      sim.failed ??= asError(e);
    });
  }

  crash(): void {
    this.clock.dead = true;
    this.controller = null;
  }

  private settings(): PlatformSettings {
    const { size, next } = this.sim;
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
        ...(this.old || next === null ? {} : { next }),
      },
      cloudLimits: { rps: 5, list_lag_s: 2 },
      limits: { cpu: 1, ram_mb: 100, max_connections: 100 },
    };
  }

  private stateService(clock: ProcessClock, watch: boolean): Transport {
    const { sim } = this;
    return {
      request: (method, path, body, timeoutMs) =>
        new Promise<Reply>((resolve, reject) => {
          const give = (r: Reply) => {
            sim.world.after(sim.world.int(1, 12) + (watch ? this.watchLagMs : 0), () => {
              if (this.cut.has('state')) return;
              clock.run(() => {
                resolve(r);
              });
            });
          };
          clock.after(timeoutMs, () => {
            reject(new Error('no answer'));
          });
          sim.observe(this.name, watch ? 'state watch' : 'state', { method, path, body });
          const copy: unknown = body === undefined ? undefined : structuredClone(body);
          if (this.old) for (const o of (copy as { then?: Json[] } | undefined)?.then ?? []) asBefore(o);
          const go = () => {
            if (this.refused && !watch) give({ status: 503, body: null });
            else if (watch) sim.state.follow(path, give);
            else give(sim.state.handle(method, path, copy));
          };
          if (watch) this.deliver(go);
          else this.send(go, () => sim.state.handle(method, path, copy), copy);
        }),
    };
  }

  /** What a cut holds back is delivered when it ends, even if nobody waits any more. */
  private deliver(go: () => void): void {
    const { world } = this.sim;
    const arrive = () => {
      if (this.cut.has('state')) world.after(700, arrive);
      else go();
    };
    world.after(world.int(1, 12), arrive);
  }

  /** A request to the state service that may be lost, slow, or carried out without an answer. */
  private send(go: () => void, carryOut: () => void, body: unknown): void {
    const { sim } = this;
    const { world } = sim;
    const arrive = () => {
      if (this.cut.has('state')) world.after(700, arrive);
      else go();
    };
    // Now and then a request is lost; towards the end no more, so that everything can come to its end.
    const rough = !sim.smooth && world.now < 90_000;
    if (rough && world.chance(0.002)) return;
    // A change whose answer is lost, and which is carried out after newer ones of the same process.
    const writes = (body as { then?: unknown[] } | undefined)?.then?.length ?? 0;
    if (writes > 0 && world.chance(sim.lateWrites)) {
      world.after(world.int(2000, 12_000), () => {
        sim.lateWritten++;
        carryOut();
      });
      return;
    }
    if (sim.stateSlowMs > 0) {
      world.after(world.int(0, sim.stateSlowMs), arrive);
      return;
    }
    // Now and then a request is slow, and some of those come after their sender gave up.
    world.after(rough && world.chance(0.01) ? world.int(200, 6000) : world.int(1, 12), arrive);
  }

  private cloud(clock: ProcessClock): Transport {
    const { sim } = this;
    const { world } = sim;
    return {
      request: (method, path, body, timeoutMs) =>
        new Promise<Reply>((resolve, reject) => {
          sim.observe(this.name, 'cloud', { method, path, body });
          clock.after(timeoutMs, () => {
            reject(new Error('no answer'));
          });
          const late = world.chance(0.03);
          if (late && world.chance(0.3)) return;
          world.after(late ? world.int(4000, 12_000) : world.int(20, 200), () => {
            const r = sim.fleet.handle(path, body);
            clock.run(() => {
              resolve(r);
            });
          });
        }),
    };
  }

  private workers(clock: ProcessClock): AgentGateway {
    const { sim } = this;
    const { world } = sim;
    return {
      sendCommands: (address, tok, session, commands) =>
        new Promise((resolve) => {
          clock.after(1500, () => {
            resolve(null);
          });
          const body = JSON.parse(JSON.stringify(directCommandsToWire(tok, session, commands))) as Json;
          sim.observe(this.name, `agent ${address}`, body);
          const arrive = () => {
            const w = sim.fleet.machines.get(address)?.worker;
            if (w == null || w.gone) return;
            if (this.cut.has('workers') || sim.cutOff(w, this.name) || w.deaf) {
              world.after(900, arrive);
              return;
            }
            w.direct(body, (r) => {
              clock.run(() => {
                resolve(heartbeatFromWire(r));
              });
            });
          };
          world.after(world.int(1, 5), arrive);
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
    const { world } = this.sim;
    return new Promise((resolve, reject) => {
      clock.after(ms, () => {
        resolve(null);
      });
      world.after(delayMs, () => {
        const to = this.sim.nodes.get(name)!;
        if (
          this.cut.has('peers') ||
          to.cut.has('peers') ||
          this.cutFrom.has(name) ||
          to.cutFrom.has(this.name)
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
    const { world } = this.sim;
    const delay = () => world.int(1, 6);
    const observe = (message: unknown) => {
      this.sim.observe(this.name, name, message);
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
