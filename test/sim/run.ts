/**
 * One seeded run: three controllers as they are, the stand-ins round them, users, and troubles. Every rule is
 * checked at each step; whoever breaks one gets an AssertionError that names it.
 */
import assert from 'node:assert/strict';
import { pino } from 'pino';
import { readOperator } from '../../src/config/operator.js';
import type { Settings } from '../../src/config/settings.js';
import { Controller } from '../../src/controller/controller.js';
import { jobId, nodeName, teamName, zoneName } from '../../src/core/types.js';
import type { Reply, Transport } from '../../src/io/http.js';
import { key } from '../../src/core/keys.js';
import { Unavailable } from '../../src/io/state/client.js';
import * as wire from '../../src/io/wire.js';
import { submission } from '../samples.js';
import { Fleet, type Limits, type Submitted, type Worker } from './fleet.js';
import { StateService, type Budget } from './state.js';
import { ProcessClock, World } from './world.js';

// A cancellation is said only once nothing of the job is left, so next to no time is allowed here.
export const LIMITS: Limits = { leaseS: 8, reportS: 1.5, gangWaitS: 20, gangPeerS: 3, cancelS: 0.5 };
const NODES = ['c-0', 'c-1', 'c-2'];
const ZONES = ['a', 'b'];
const TEAMS = new Map([
  ['red', 16],
  ['blue', 12],
  ['green', 20],
]);

/** How large a run is; the teams' limits grow with it. */
export interface Size extends Budget {
  readonly times: number;
  readonly perZone: number;
  /** Users submit a job about this often. */
  readonly everyMs: number;
  readonly mostTasks: number;
}
export const SMALL: Size = {
  times: 1,
  perZone: 6,
  everyMs: 1900,
  mostTasks: 9,
  rps: 300,
  writeRps: 200,
  txnOps: 8,
};
/** Moves, rentals and starts take several transactions each, and the write budget is often spent. */
export const GROWN: Size = {
  times: 8,
  perZone: 48,
  everyMs: 1900,
  mostTasks: 60,
  rps: 120,
  writeRps: 20,
  txnOps: 4,
};
/** Room for 900 machines. The budget lets a run come to its end in time, and is spent for most of it all the same. */
export const FLEET: Size = {
  times: 70,
  perZone: 450,
  everyMs: 900,
  mostTasks: 150,
  rps: 300,
  writeRps: 80,
  txnOps: 8,
};
type Json = Record<string, unknown>;

/** What a test says of a job. */
export interface Given {
  readonly kind?: 'sweep' | 'ensemble' | 'daemon';
  readonly tasks?: number;
  /** How much longer each task runs than the one before it. */
  readonly apartMs?: number;
  readonly fields?: Json;
  readonly needs?: readonly string[];
  /** Its user does not call it off by chance. */
  readonly stays?: boolean;
}

/** A change as the version before pipelines wrote it. */
function asBefore(o: Json): void {
  if (String(o['write']).startsWith('f/')) delete (o['value'] as Json)['at'];
}

const asError = (e: unknown): Error => (e instanceof Error ? e : new Error('failed', { cause: e }));

/** The users' 90 s, shorter as everything is here. */
const NEGLECTED_MS = 30_000;

class Node {
  controller: Controller | null = null;
  clock: ProcessClock;
  lives = 0;
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
    const clock = this.clock;
    this.lives++;
    const state = (watch: boolean): Transport => ({
      request: (method, path, body, timeoutMs) =>
        new Promise<Reply>((resolve, reject) => {
          const give = (r: Reply) => {
            world.after(world.int(1, 12) + (watch ? this.watchLagMs : 0), () => {
              if (!clock.dead && !this.cut.has('state')) resolve(r);
            });
          };
          clock.after(timeoutMs, () => {
            reject(new Error('no answer'));
          });
          const copy: unknown = body === undefined ? undefined : structuredClone(body);
          if (this.old) for (const o of (copy as { then?: Json[] } | undefined)?.then ?? []) asBefore(o);
          const go = () => {
            if (this.refused && !watch) give({ status: 503, body: null });
            else if (watch) sim.state.follow(path, give);
            else give(sim.state.handle(method, path, copy));
          };
          const deliver = () => {
            // Held back by a cut: delivered when it ends, even if nobody waits any more.
            if (this.cut.has('state')) world.after(700, deliver);
            else go();
          };
          // Now and then a request is lost; towards the end no more, so that everything can come to its end.
          const rough = !watch && !sim.smooth && world.now < 90_000;
          if (rough && world.chance(0.002)) return;
          // A change whose answer is lost, and which is carried out after newer ones of the same process.
          const writes = (copy as { then?: unknown[] } | undefined)?.then?.length ?? 0;
          if (writes > 0 && world.chance(sim.lateWrites)) {
            world.after(world.int(2000, 12_000), () => {
              sim.lateWritten++;
              sim.state.handle(method, path, copy);
            });
            return;
          }
          if (!watch && sim.stateSlowMs > 0) {
            world.after(world.int(0, sim.stateSlowMs), deliver);
            return;
          }
          // Now and then a request is slow, and some of those come after their sender gave up.
          world.after(rough && world.chance(0.01) ? world.int(200, 6000) : world.int(1, 12), deliver);
        }),
    });
    const settings: Settings = {
      node: nodeName(this.name),
      zone: zoneName(this.zone),
      bind: '',
      peerBind: '',
      peers: NODES.filter((n) => n !== this.name).map((n) => ({
        node: nodeName(n),
        zone: zoneName('a'),
        address: '',
      })),
      cloud: '',
      state: '',
      nodes: NODES.length,
      zones: ZONES.map(zoneName),
      teams: [...TEAMS].map(([name, cards]) => ({
        name: teamName(name),
        guarantee: [0, 0, sim.size.times * 6_000_000],
        limitCpu: null,
        limitGpu: cards * sim.size.times * 1_000_000,
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
        rps: sim.size.rps,
        write_rps: sim.size.writeRps,
        value_kb: 8,
        txn_ops: sim.size.txnOps,
        ...(this.old || sim.next === null ? {} : { next: sim.next }),
      },
      cloudLimits: { rps: 5, list_lag_s: 2 },
      limits: { cpu: 1, ram_mb: 100, max_connections: 100 },
    };
    const peers = new Map(
      NODES.filter((n) => n !== this.name).map((n) => [
        n,
        {
          contact: (ms: number) =>
            new Promise<boolean | null>((resolve) => {
              clock.after(ms, () => {
                resolve(null);
              });
              const to = sim.nodes.get(n)!;
              world.after(world.int(1, 6), () => {
                const { controller } = to;
                if (this.cut.has('peers') || to.cut.has('peers') || controller === null || clock.dead) return;
                resolve(controller.ctx.state.reachable(1500));
              });
            }),
          cancel: (job: string, ms: number) =>
            new Promise<string | null>((resolve) => {
              clock.after(ms, () => {
                resolve(null);
              });
              const to = sim.nodes.get(n)!;
              if (this.cut.has('peers') || to.cut.has('peers') || to.controller === null) return;
              const { controller } = to;
              world.after(3, () => {
                if (!clock.dead) resolve(controller.jobs.takeCancel(jobId(job)));
              });
            }),
        },
      ]),
    );
    this.controller = new Controller(
      settings,
      readOperator(
        '[placement]\nbehind_s = 20\n[fleet]\nidle_boot_factor = 2\nrefused_s = 2\n[sessions]\nttl_s = 2\nrenew_every_s = 0.5\n[slices]\nsettled_s = 2\n',
      ),
      pino({ level: 'silent' }),
      {
        clock,
        identity: `${this.name}-${this.lives}`,
        state: state(false),
        watch: state(true),
        cloud: {
          request: (_method, path, body, timeoutMs) =>
            new Promise<Reply>((resolve, reject) => {
              clock.after(timeoutMs, () => {
                reject(new Error('no answer'));
              });
              const late = world.chance(0.03);
              if (late && world.chance(0.3)) return;
              world.after(late ? world.int(4000, 12_000) : world.int(20, 200), () => {
                const r = sim.fleet.handle(path, body);
                if (!clock.dead) resolve(r);
              });
            }),
        },
        workers: {
          direct: (address, tok, session, commands) =>
            new Promise((resolve) => {
              clock.after(1500, () => {
                resolve(null);
              });
              const body = JSON.parse(JSON.stringify(wire.directToWire(tok, session, commands))) as Json;
              const deliver = () => {
                const w = sim.fleet.machines.get(address)?.worker;
                if (w == null || w.gone) return;
                if (this.cut.has('workers') || sim.cutOff(w, this.name) || w.deaf) {
                  world.after(900, deliver);
                  return;
                }
                w.direct(body, (r) => {
                  if (!clock.dead) resolve(wire.reportFromWire(r));
                });
              };
              world.after(world.int(1, 5), deliver);
            }),
        },
        peers,
      },
    );
    this.controller.run().catch((e: unknown) => {
      sim.failed ??= asError(e);
    });
  }

  crash(): void {
    this.clock.dead = true;
    this.controller = null;
  }
}

export class Sim {
  readonly world: World;
  readonly state: StateService;
  readonly fleet: Fleet;
  readonly nodes = new Map<string, Node>();
  failed: Error | null = null;
  private jobs = 0;
  answers = 0;

  /** Limits that the state service will have from some moment on, as the settings of the new version state them. */
  next: { value_kb: number; txn_ops: number; write_rps: number } | null = null;
  /** Users submit pipelines too. */
  pipelines = false;

  constructor(
    seed: number,
    readonly size: Size = SMALL,
    upgrade = false,
  ) {
    this.world = new World(seed);
    this.state = new StateService(this.world, size);
    const quota = new Map([...TEAMS].map(([team, cards]) => [team, cards * size.times]));
    this.fleet = new Fleet(this.world, NODES, LIMITS, quota, size.perZone, (w, node, body, done) => {
      const n = this.nodes.get(node)!;
      const arrive = () => {
        if (this.world.chance(this.copies)) this.copyLate(node, body);
        if (n.cut.has('workers') || this.cutOff(w, node) || w.mute) {
          if (this.resets || w.mute) {
            done({ status: 500, body: null });
            return;
          }
          // Held packets: the report arrives when the cut is over.
          this.world.after(900, arrive);
          return;
        }
        const { controller, clock } = n;
        if (controller === null) {
          done({ status: 500, body: null });
          return;
        }
        const report = wire.reportFromWire(body);
        assert.ok(report !== null);
        const a = controller.reports.answer(report);
        const r: Reply =
          a.kind === 'ok'
            ? {
                status: 200,
                body: JSON.parse(JSON.stringify(wire.commandsToWire(a.token, a.commands))) as Json,
              }
            : a.kind === 'busy'
              ? { status: 503, body: null }
              : { status: 421, body: wire.elsewhereToWire(a.node) };
        this.world.after(this.slowly(), () => {
          if (!clock.dead && !n.cut.has('workers') && !this.cutOff(w, node) && !w.deaf) done(r);
        });
      };
      this.world.after(this.slowly(), arrive);
    });
    NODES.forEach((name, i) => {
      const n = new Node(this, name, ZONES[i % 2]!);
      n.old = upgrade;
      this.nodes.set(name, n);
      n.start();
    });
    this.world.check = () => {
      if (this.failed !== null)
        throw this.failed instanceof Error ? this.failed : new Error(String(this.failed));
      this.fleet.checkCancelled();
    };
    this.fleet.lastTaskDone = (id) => {
      if (!this.world.chance(this.offAtEnd)) return;
      this.callOff(id);
      this.again(id);
    };
    const neglected = () => {
      const now = new Set(this.fleet.neglected());
      for (const id of this.neglectedSince.keys()) if (!now.has(id)) this.neglectedSince.delete(id);
      for (const id of now) {
        const since = this.neglectedSince.get(id) ?? this.world.now;
        this.neglectedSince.set(id, since);
        const from = Math.max(since, this.quietFrom ?? Number.POSITIVE_INFINITY);
        if (this.world.now - from > NEGLECTED_MS)
          this.failed ??= new Error(`${id} waits though a machine has room`);
      }
      this.world.after(1000, neglected);
    };
    neglected();
    this.users();
  }

  /** From then on there is no more trouble, and no job may wait for long where there is room for it. */
  quietFrom: number | null = null;
  private readonly neglectedSince = new Map<string, number>();

  /** The share of jobs that are called off, asked about and submitted again at the moment at which they end. */
  offAtEnd = 0;

  /** A question and a repeated submission at once, to whatever controllers. */
  again(id: string): void {
    const job = this.fleet.submitted.get(id)!;
    const tell = (state: string | undefined) => {
      if (state !== undefined) this.told(id, job, state);
    };
    const fail = (e: unknown) => {
      this.failed ??= asError(e);
    };
    this.ask((c) => c.jobs.find(jobId(id)))
      .then((r) => {
        tell(r?.state);
      })
      .catch(fail);
    this.ask((c) => c.jobs.submit(wire.jobFromWire(job.body as never)))
      .then((r) => {
        assert.ok(r?.kind !== 'accepted' && r?.kind !== 'impossible', `a retry of ${id} was ${r?.kind}`);
        if (r?.kind === 'known') tell(r.state);
      })
      .catch(fail);
  }

  private oddJobs = 0;
  oddAnswers = 0;
  /** A job that can never run, then a question about it: it was never accepted. */
  odd(): void {
    const { world } = this;
    const id = `wk-odd-${++this.oddJobs}`;
    const body = submission({
      nameId: id,
      tenant: 'red',
      ...world.pick([
        { tenant: 'nobody' },
        { vcpus: 17 },
        { cards: 5 },
        { memoryGb: 65 },
        { flavors: [] },
        { flavors: ['x'] },
        { vault: 'nowhere' },
        { shape: 'ensemble', cards: 4, shards: 100_000 },
      ]),
    });
    const go = async () => {
      for (;;) {
        const r = await this.ask((c) => c.jobs.submit(wire.jobFromWire(body as never)));
        if (r !== null && r.kind !== 'later') {
          assert.equal(r.kind, 'impossible', `${id} was ${r.kind}: ${JSON.stringify(body)}`);
          this.oddAnswers++;
          break;
        }
        await world.sleep(500);
      }
      const found = await this.ask((c) => c.jobs.find(jobId(id)).then((f) => ({ f })));
      assert.equal(found?.f, undefined, `invented: ${id}`);
    };
    go().catch((e: unknown) => {
      this.failed ??= asError(e);
    });
  }

  /** Nothing is slow or lost by itself, for tests of one trouble alone. */
  smooth = false;
  /** The share of changes that get no answer and are carried out seconds later, and how many were. */
  lateWrites = 0;
  lateWritten = 0;
  /** Up to how long the state service takes for a request. */
  stateSlowMs = 0;
  /** Zones that reach only their own controllers, with all that boots there meanwhile. */
  readonly zonesApart = new Set<string>();
  cutOff(w: Worker, node: string): boolean {
    const other = this.nodes.get(node)!.zone;
    const apart = w.zone !== other && (this.zonesApart.has(w.zone) || this.zonesApart.has(other));
    return apart || w.cutFrom.has(node);
  }
  /** Cuts reset connections; else they hold packets back. */
  resets = false;
  /** How many reports come once more, later. */
  copies = 0.03;

  /** A copy of a report, from seconds to well over a lease old, whoever runs there by then; nobody gets the answer. */
  private copyLate(node: string, body: Json): void {
    this.world.after(this.world.int(1000, LIMITS.leaseS * 2500), () => {
      const report = wire.reportFromWire(structuredClone(body));
      assert.ok(report !== null);
      this.nodes.get(node)!.controller?.reports.answer(report);
    });
  }

  /** Mostly quick, now and then nearly as slow as a worker waits. */
  private slowly(): number {
    if (this.smooth) return this.world.int(1, 5);
    return this.world.chance(0.08) ? this.world.int(200, 3800) : this.world.int(1, 5);
  }

  private users(): void {
    const { world } = this;
    const next = () => {
      if (world.now < 75_000) {
        if (this.pipelines && world.chance(0.3)) this.pipeline();
        else this.submit();
      }
      const { everyMs } = this.size;
      world.after(world.int(Math.round(everyMs / 6), Math.round((everyMs * 11) / 6)), next);
    };
    next();
  }

  private async ask<T>(what: (c: Controller) => Promise<T>): Promise<T | null> {
    const c = this.nodes.get(this.world.pick(NODES))!.controller;
    if (c === null) return null;
    try {
      // A user waits for so long and asks again later; a controller that died never answers.
      return await Promise.race([what(c), this.world.sleep(5000).then(() => null)]);
    } catch (e) {
      if (e instanceof Unavailable) return null;
      throw e;
    }
  }

  /** A user submits a job; what is not given is left to chance. */
  submit(given: Given = {}): string {
    const { world } = this;
    const kind = given.kind ?? world.pick(['sweep', 'sweep', 'ensemble', 'daemon']);
    const most = this.size.mostTasks;
    const tasks = given.tasks ?? world.int(1, kind === 'sweep' ? most : Math.ceil(most / 3));
    const id = `wk-${String(++this.jobs).padStart(6, '0')}`;
    const spread = kind === 'daemon' && world.chance(0.5);
    const body = submission({
      nameId: id,
      tenant: world.pick([...TEAMS.keys()]),
      shape: kind,
      shards: tasks,
      vcpus: world.int(1, 6),
      cards: world.int(0, 2),
      memoryGb: world.int(1, 16),
      loaner: kind === 'sweep',
      vault: kind === 'sweep' && world.chance(0.2) ? world.pick(ZONES) : null,
      samePlace: kind !== 'daemon' && world.chance(0.5),
      scatter: spread,
      tier: world.pick(['production', 'urgent', 'standard', 'low']),
      ...given.fields,
      ...(given.needs === undefined ? {} : { awaits: given.needs }),
    });
    const job: Submitted = {
      body,
      kind,
      tasks,
      runMs: world.int(500, 12_000),
      apartMs: given.apartMs ?? 0,
      broken: world.chance(0.05) && given.kind === undefined,
      doneTasks: new Set(),
      toldCancelledAt: null,
      toldFinal: null,
      answeredAt: null,
      accepted: false,
      asked: false,
      needs: given.needs ?? [],
    };
    this.fleet.submitted.set(id, job);
    const cancelAt =
      given.stays !== true && (kind === 'daemon' || job.broken || world.chance(0.15))
        ? world.now + world.int(50, 25_000)
        : null;
    const watch = async () => {
      while (!job.accepted) {
        const r = await this.ask((c) => c.jobs.submit(wire.jobFromWire(body as never)));
        if (r !== null && r.kind !== 'later') {
          assert.notEqual(r.kind, 'impossible', `forgotten: ${id} is possible and was refused`);
          job.accepted = true;
          if (r.kind !== 'impossible') this.told(id, job, r.state);
        } else await world.sleep(500);
      }
      for (;;) {
        await world.sleep(world.int(300, 2500));
        if (cancelAt !== null && world.now > cancelAt) await this.cancelOnce(id, job);
        const s = await this.ask((c) => c.jobs.find(jobId(id)).then((found) => ({ found })));
        if (s === null) continue;
        job.answeredAt = world.now;
        assert.ok(s.found !== undefined, `forgotten: ${id}`);
        this.told(id, job, s.found.state);
        if (world.chance(0.05)) {
          // A retry of the submission at any later time must be known still.
          const r = await this.ask((c) => c.jobs.submit(wire.jobFromWire(body as never)));
          if (r !== null && r.kind !== 'later') {
            assert.equal(r.kind, 'known', `a retry of ${id} was ${r.kind}`);
            this.told(id, job, r.state);
          }
        }
      }
    };
    watch().catch((e: unknown) => {
      this.failed ??= asError(e);
    });
    return id;
  }

  /**
   * A pipeline, submitted stage by stage, each as soon as those that it needs are accepted; sometimes the last only when
   * the others are over, and sometimes a stage is called off.
   */
  pipeline(width = this.world.int(1, 3), off = this.world.chance(0.4)): string[] {
    const { world } = this;
    const ids: string[] = [];
    const stage = (needs: string[], fields: Json = {}) => {
      const kind = world.pick(['sweep', 'ensemble'] as const);
      const id = this.submit({
        kind,
        stays: true,
        tasks: world.int(1, 3),
        needs,
        fields: { cards: 0, ...fields },
      });
      ids.push(id);
      return id;
    };
    const accepted = async (...list: string[]) => {
      while (list.some((id) => !this.fleet.submitted.get(id)!.accepted)) await world.sleep(50);
    };
    const late = world.chance(0.2);
    const go = async () => {
      const first = stage([], { tier: 'low' });
      if (off)
        world.after(world.int(100, 12_000), () => {
          const known = ids.filter((id) => this.fleet.submitted.get(id)!.accepted);
          if (known.length > 0) this.callOff(world.pick(known));
        });
      await accepted(first);
      const middle = [...Array(width).keys()].map(() => stage([first], { tier: 'low' }));
      await accepted(...middle);
      if (late)
        while (middle.some((id) => this.fleet.submitted.get(id)!.toldFinal === null)) await world.sleep(300);
      const last = stage([...middle, ...(world.chance(0.3) ? [first] : [])], { tier: 'urgent', dueS: 40 });
      if (world.chance(0.3)) {
        await accepted(last);
        stage([last]);
      }
    };
    go().catch((e: unknown) => {
      this.failed ??= asError(e);
    });
    return ids;
  }

  private async cancelOnce(id: string, job: Submitted): Promise<void> {
    if (job.toldFinal !== null) return;
    job.asked = true;
    const r = await this.ask((c) => c.jobs.cancel(jobId(id)));
    assert.notEqual(r?.kind, 'not_found', `forgotten: ${id}`);
    if (r?.kind === 'final') this.told(id, job, r.state);
  }

  /** Its user calls the job off and asks again until one of the finals is the answer. */
  callOff(id: string): void {
    const job = this.fleet.submitted.get(id)!;
    const go = async () => {
      while (job.toldFinal === null) {
        await this.cancelOnce(id, job);
        await this.world.sleep(this.world.int(100, 600));
      }
    };
    go().catch((e: unknown) => {
      this.failed ??= asError(e);
    });
  }

  /** Accepted jobs that nobody has called off, with tasks on machines, those with most tasks first. */
  running(): string[] {
    const n = new Map<string, number>();
    for (const w of this.fleet.live())
      for (const t of w.tasks.values()) if (t.state !== 'ended') n.set(t.id, (n.get(t.id) ?? 0) + 1);
    const open = (id: string) => {
      const j = this.fleet.submitted.get(id)!;
      return j.accepted && !j.asked && j.toldFinal === null;
    };
    return [...n]
      .filter(([id]) => open(id))
      .sort((a, b) => b[1] - a[1])
      .map(([id]) => id);
  }

  /** The controller that leads now, as the state service has it. */
  leader(): Node | undefined {
    const l = this.state.rows.get(key.leader)?.value as { node: string } | undefined;
    return l === undefined ? undefined : this.nodes.get(l.node);
  }

  private told(id: string, job: Submitted, state: string): void {
    this.answers++;
    if (job.toldFinal !== null) assert.equal(state, job.toldFinal, `went_back: ${id}`);
    if (state === 'pending' || state === 'running') {
      const from = this.fleet.cancelledFrom(id);
      assert.ok(
        this.world.now - from <= LIMITS.cancelS * 1000,
        `orphaned: ${id} is ${state}, and one that it needs was cancelled at ${from}`,
      );
    }
    if (state === 'done') {
      assert.equal(
        job.doneTasks.size,
        job.tasks,
        `not_done: ${id} has ${job.doneTasks.size} of ${job.tasks} done`,
      );
      job.toldFinal = state;
    }
    if (state === 'cancelled') {
      assert.ok(this.fleet.calledOff(id), `went_back: ${id} was cancelled by nobody`);
      job.toldFinal = state;
      job.toldCancelledAt ??= this.world.now;
    }
  }

  /**
   * From the time given on the processes end one after the other and come back new; then users submit pipelines, and
   * soon the limits of the state service fall.
   */
  upgrade(from: number): void {
    const { world } = this;
    const { size } = this;
    this.next = { value_kb: 2, txn_ops: Math.max(3, size.txnOps / 2), write_rps: size.writeRps * 0.75 };
    NODES.forEach((name, i) => {
      const n = this.nodes.get(name)!;
      world.after(from + i * 4000, () => {
        n.old = false;
        if (n.controller !== null) n.crash();
        world.after(700, () => {
          if (n.controller === null) n.start();
          if (i === NODES.length - 1) this.pipelines = true;
        });
      });
    });
    world.after(from + NODES.length * 4000 + 3000, () => {
      this.state.valueBytes = 2048;
      this.state.budget = { ...size, writeRps: size.writeRps * 0.75, txnOps: this.next!.txn_ops };
    });
  }

  /** Troubles at random times, alone and together, until the time given. */
  troubles(until: number): void {
    const { world } = this;
    const next = () => {
      if (world.now > until) return;
      this.trouble();
      world.after(world.int(1500, 9000), next);
    };
    world.after(8000, next);
  }

  /** The state service refuses the leader alone; jobs are called off; then it is out for everybody. */
  refuseThenOut(afterMs: number, forMs: number): void {
    const leader = this.leader();
    if (leader === undefined || this.state.outage) return;
    leader.refused = true;
    for (const id of this.running().slice(0, 3)) this.callOff(id);
    this.world.after(afterMs, () => {
      for (const id of this.running().slice(0, 3)) this.callOff(id);
      this.state.setOutage(true);
    });
    this.world.after(afterMs + forMs, () => {
      this.state.setOutage(false);
      leader.refused = false;
    });
  }

  private trouble(): void {
    const { world } = this;
    const node = this.nodes.get(world.pick(NODES))!;
    const during = (ms: number, on: () => void, off: () => void) => {
      on();
      world.after(ms, off);
    };
    /** A field has another value for so long. */
    const become = <T, K extends keyof T>(ms: number, of: T, field: K, on: T[K], off: T[K]) => {
      during(
        ms,
        () => {
          of[field] = on;
        },
        () => {
          of[field] = off;
        },
      );
    };
    const hang = (x: Worker) => {
      during(
        world.int(500, 14_000),
        () => {
          x.hung = true;
        },
        () => {
          if (!x.gone) x.resume();
        },
      );
    };
    const crash = (n: Node, ms: number) => {
      if (n.controller === null) return;
      n.crash();
      world.after(ms, () => {
        if (n.controller === null) n.start();
      });
    };
    const workers = this.fleet.live();
    const w = workers.length === 0 ? null : world.pick(workers);
    switch (world.int(0, 18)) {
      case 0:
        crash(node, world.pick([50, 500, 3000, 8000]));
        break;
      case 1:
        for (const n of this.nodes.values()) crash(n, world.int(50, 4000));
        break;
      case 2:
        during(
          world.int(500, 9000),
          () => {
            this.state.setOutage(true);
          },
          () => {
            this.state.setOutage(false);
          },
        );
        break;
      case 3:
        during(
          world.int(500, 12_000),
          () => node.cut.add('state'),
          () => node.cut.delete('state'),
        );
        break;
      case 4:
        during(
          world.int(500, 12_000),
          () => node.cut.add('workers'),
          () => node.cut.delete('workers'),
        );
        break;
      case 5:
        become(world.int(500, 9000), node, 'refused', true, false);
        break;
      case 6:
        if (w !== null) hang(w);
        break;
      case 10:
        if (w !== null) become(world.int(2000, 30_000), w, 'deaf', true, false);
        break;
      case 11:
        during(
          world.int(500, 15_000),
          () => node.cut.add('state').add('peers'),
          () => {
            node.cut.delete('state');
            node.cut.delete('peers');
          },
        );
        break;
      case 12:
        become(world.int(3000, 12_000), this, 'lateWrites', 0.15, 0);
        break;
      case 13:
        if (w !== null) become(world.int(2000, 20_000), w, 'mute', true, false);
        break;
      case 14:
        // The one that leads is refused alone, users call jobs off, and then the service is out for all.
        this.refuseThenOut(world.int(200, 4000), world.int(2000, 14_000));
        break;
      case 17:
        become(world.int(4000, 15_000), this, 'offAtEnd', 0.5, 0);
        break;
      case 18:
        for (let i = 0; i < 5; i++) this.odd();
        break;
      case 15:
        for (const id of this.running().slice(0, world.int(1, 6))) this.callOff(id);
        if (w !== null && world.chance(0.5)) hang(w);
        break;
      case 16:
        become(world.int(2000, 9000), this, 'stateSlowMs', 1500, 0);
        break;
      case 7:
        if (w !== null) {
          w.remove();
          this.fleet.machines.delete(w.name);
        }
        break;
      case 8: {
        const zone = world.pick(ZONES);
        const far = [...this.nodes.values()].filter((n) => n.zone !== zone).map((n) => n.name);
        const near = workers.filter((x) => x.zone === zone);
        during(
          world.int(500, 12_000),
          () => {
            for (const x of near) for (const n of far) x.cutFrom.add(n);
          },
          () => {
            for (const x of near) x.cutFrom.clear();
          },
        );
        break;
      }
      default:
        during(
          world.int(500, 9000),
          () => node.cut.add('peers'),
          () => node.cut.delete('peers'),
        );
    }
  }
}

/** A run in which nothing has gone wrong by itself up to the time given, for tests of one trouble alone. */
export async function quiet(seed: number, size: Size, ms: number): Promise<Sim> {
  const sim = new Sim(seed, size);
  sim.copies = 0;
  sim.smooth = true;
  await sim.world.runUntil(ms);
  return sim;
}
