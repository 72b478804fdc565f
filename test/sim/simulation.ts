/**
 * One seeded run: three controllers as they are, the stand-ins round them, users, and troubles. Every rule is
 * checked at each step; whoever breaks one gets an AssertionError that names it.
 */
import assert from 'node:assert/strict';
import type { Controller } from '../../src/controller/controller.js';
import { jobId } from '../../src/core/model/ids.js';
import type { Reply } from '../../src/io/http-client.js';
import { key } from '../../src/core/records/keys.js';
import { Unavailable } from '../../src/io/state/state-client.js';
import { heartbeatFromWire, redirectToWire, commandsToWire } from '../../src/io/agents/agent-messages.js';
import { jobFromWire } from '../../src/io/users/job-messages.js';
import { submission } from '../samples.js';
import { Fleet, type Worker } from './agents-and-cloud.js';
import { newJob, type Submitted } from './submitted-job.js';
import { Node, asError } from './simulated-controller.js';
import { LIMITS, NODES, SMALL, TEAMS, ZONES, type Given, type Json, type Size } from './sizes.js';
import { StateService } from './state-service.js';
import { makeTrouble } from './faults.js';
import { World } from './virtual-time.js';

export { FLEET, GROWN, HUGE, LIMITS, SMALL, type Size } from './sizes.js';

/** The users' 90 s, shorter as everything is here. */
const NEGLECTED_MS = 30_000;

/** Is told of all that controllers send: requests, answers to workers and to users. */
export type Observer = (from: string, to: string, message: unknown) => void;

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
    packages: Node['packages'] = () => [],
    readonly observe: Observer = () => undefined,
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
        clock.run(() => {
          const r = replyTo(controller, body);
          this.observe(node, `agent ${w.name}`, r);
          this.world.after(this.slowly(), () => {
            if (!clock.dead && !n.cut.has('workers') && !this.cutOff(w, node) && !w.deaf) done(r);
          });
        });
      };
      this.world.after(this.slowly(), arrive);
    });
    this.fleet.workerTickMs = size.workerTickMs ?? this.fleet.workerTickMs;
    this.state.pageRows = size.pageRows ?? this.state.pageRows;
    NODES.forEach((name, i) => {
      const n = new Node(this, name, ZONES[i % 2]!);
      n.old = upgrade;
      n.packages = packages;
      this.nodes.set(name, n);
      n.start();
    });
    let steps = 0;
    this.world.check = () => {
      if (this.failed !== null) throw this.failed;
      if (++steps % (size.checkEvery ?? 1) === 0) this.fleet.checkCancelled();
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
    this.ask((c) => c.jobs.submit(jobFromWire(job.body as never)))
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
        const r = await this.ask((c) => c.jobs.submit(jobFromWire(body as never)));
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
      const report = heartbeatFromWire(structuredClone(body));
      assert.ok(report !== null);
      const { controller, clock } = this.nodes.get(node)!;
      clock.run(() => controller?.heartbeats.answer(report));
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
    const { controller, clock, name } = this.nodes.get(this.world.pick(NODES))!;
    if (controller === null) return null;
    const answer = new Promise<T>((resolve, reject) => {
      clock.run(() => {
        what(controller).then((given) => {
          this.observe(name, 'user', given);
          resolve(given);
        }, reject);
      });
    });
    try {
      // A user waits for so long and asks again later; a controller that died never answers.
      return await Promise.race([answer, this.world.sleep(5000).then(() => null)]);
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
    const job = newJob({
      body,
      kind,
      tasks,
      runMs: given.runMs ?? world.int(500, 12_000),
      apartMs: given.apartMs ?? 0,
      broken: (world.chance(0.05) && given.kind === undefined) || given.broken === true,
      needs: given.needs ?? [],
    });
    this.fleet.submitted.set(id, job);
    const cancelAt =
      given.stays !== true && (kind === 'daemon' || job.broken || world.chance(0.15))
        ? world.now + world.int(50, 25_000)
        : null;
    const watch = async () => {
      while (!job.accepted) {
        const askedAt = world.now;
        const r = await this.ask((c) => c.jobs.submit(jobFromWire(body as never)));
        if (r !== null && r.kind !== 'later') {
          assert.notEqual(r.kind, 'impossible', `forgotten: ${id} is possible and was refused`);
          job.accepted = true;
          if (r.kind !== 'impossible') this.told(id, job, r.state, askedAt);
        } else await world.sleep(500);
      }
      for (;;) {
        await world.sleep(world.int(300, 2500));
        if (cancelAt !== null && world.now > cancelAt) await this.cancelOnce(id, job);
        const askedAt = world.now;
        const s = await this.ask((c) => c.jobs.find(jobId(id)).then((found) => ({ found })));
        if (s === null) continue;
        job.answeredAt = world.now;
        assert.ok(s.found !== undefined, `forgotten: ${id}`);
        this.told(id, job, s.found.state, askedAt);
        if (world.chance(0.05)) {
          // A retry of the submission at any later time must be known still.
          const r = await this.ask((c) => c.jobs.submit(jobFromWire(body as never)));
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

  /** A user is told a job's state; `askedAt`: when the question was asked, where it may have been long under way. */
  private told(id: string, job: Submitted, state: string, askedAt = Number.POSITIVE_INFINITY): void {
    this.answers++;
    if (job.toldFinal !== null) assert.equal(state, job.toldFinal, `went_back: ${id}`);
    if (state === 'pending' || state === 'running') {
      const from = this.fleet.cancelledFrom(id);
      // A question that was under way when the cancellation was told may have been decided before it.
      assert.ok(
        askedAt < from || this.world.now - from <= LIMITS.cancelS * 1000,
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
      makeTrouble(this);
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
}

/** What a controller answers a worker's report, as it goes over the wire. */
function replyTo(controller: Controller, body: Json): Reply {
  const report = heartbeatFromWire(body);
  assert.ok(report !== null);
  const a = controller.heartbeats.answer(report);
  if (a.kind === 'busy') return { status: 503, body: null };
  if (a.kind === 'elsewhere') return { status: 421, body: redirectToWire(a.node) };
  const commands = JSON.parse(JSON.stringify(commandsToWire(a.token, a.commands))) as Json;
  return { status: 200, body: commands };
}

/** A run in which nothing has gone wrong by itself up to the time given, for tests of one trouble alone. */
export async function quiet(seed: number, size: Size, ms: number, packages?: Node['packages']): Promise<Sim> {
  const sim = new Sim(seed, size, false, packages);
  sim.copies = 0;
  sim.smooth = true;
  await sim.world.runUntil(ms);
  return sim;
}
