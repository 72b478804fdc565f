/**
 * Stand-ins for the cloud and the workers, written from PROTOCOL, and the check of the rules that concern
 * tasks. Tasks count as on their machine from the start command on, which is stricter than the rules are.
 */
import assert from 'node:assert/strict';
import type { HttpResponse } from '../../src/io/http-client.js';
import type { Limits } from './sizes.js';
import type { SubmittedJob } from './submitted-job.js';
import type { VirtualTime } from './virtual-time.js';

type Json = Record<string, unknown>;

interface Task {
  readonly job: SubmittedJob;
  readonly id: string;
  readonly index: number;
  readonly tryNo: number;
  state: 'pulling' | 'waiting' | 'running' | 'flushing' | 'ended';
  why: string | null;
  since: number;
}

const CAP = { vcpus: 16, cards: 4, memoryGb: 64 };

export class SimulatedAgent {
  token = 0;
  agentEpoch = 1;
  sequence = 0;
  tasks = new Map<string, Task>();
  controller: string;
  isHung = false;
  /** Its reports arrive, but answers and commands do not reach it. */
  isInboundPartitioned = false;
  /** It reaches no controller, while direct commands reach it. */
  isOutboundPartitioned = false;
  isTerminated = false;
  partitionedFrom = new Set<string>();
  private answeredSentAt: number;
  private inFlight = 0;
  private soon = false;
  private lastSent = 0;
  private heldDirect: (() => void)[] = [];

  constructor(
    readonly fleet: SimulatedCluster,
    readonly name: string,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    this.answeredSentAt = fleet.time.now;
    this.controller = fleet.time.pick(fleet.nodes);
    this.loop();
    const lease = () => {
      if (this.isTerminated) return;
      this.checkLease();
      fleet.time.after(fleet.workerTickMs * 2, lease);
    };
    lease();
  }

  private checkLease(): void {
    if (this.isHung || this.isTerminated) return;
    const { time, limits } = this.fleet;
    if (time.now - this.answeredSentAt <= limits.leaseS * 1000) return;
    this.fleet.tasksLostToLeaseExpiry += this.tasks.size;
    for (const t of [...this.tasks.values()]) this.fleet.recordTaskExit(this, t, 'lease');
    this.tasks.clear();
    this.agentEpoch++;
    this.answeredSentAt = time.now;
    this.changed();
  }

  body(): Json {
    return {
      teller: this.name,
      endpoint: this.fleet.endpointOf(this.name),
      flavor: 'm',
      vault: this.zone,
      loaner: this.spot,
      shift: this.agentEpoch,
      tally: ++this.sequence,
      mandate: this.token,
      recallS: null,
      shards: [...this.tasks.values()].map((t) => ({
        shard: `${t.id}/${t.index}`,
        tryNo: t.tryNo,
        standing: t.state,
        ...(t.why === null ? {} : { exitCause: t.why }),
      })),
    };
  }

  changed(): void {
    this.soon = true;
  }

  private loop(): void {
    const { time, limits } = this.fleet;
    if (this.isTerminated) return;
    const due =
      time.now - this.lastSent >= limits.reportS * 1000 || (this.soon && time.now - this.lastSent >= 500);
    if (!this.isHung && this.inFlight === 0 && due) this.send();
    time.after(this.fleet.workerTickMs * time.real(0.9, 1.1), () => {
      this.loop();
    });
  }

  private send(): void {
    const { time } = this.fleet;
    this.lastSent = time.now;
    this.soon = false;
    const n = ++this.inFlight;
    const sentAt = time.now;
    const session = this.agentEpoch;
    const target = this.controller;
    let over = false;
    const next = (node: string, ms: number) => {
      over = true;
      this.controller = node;
      time.after(ms, () => {
        if (this.inFlight === n) this.inFlight = 0;
        this.soon = true;
        this.lastSent = 0;
      });
    };
    const order = this.fleet.nodes;
    const following = order[(order.indexOf(target) + 1) % order.length]!;
    time.after(4000, () => {
      if (!over) next(following, 1000);
    });
    const body = this.body();
    this.fleet.toNode(this, target, body, (r) => {
      if (over || this.isTerminated || this.isHung) return;
      if (r.status === 200) {
        over = true;
        this.inFlight = 0;
        const b = r.body as Json;
        const tok = Number(b['mandate'] ?? -1);
        if (tok < this.token || session !== this.agentEpoch) return;
        this.token = tok;
        this.answeredSentAt = sentAt;
        this.execute((b['orders'] ?? []) as Json[]);
      } else if (r.status === 421) {
        const to = (r.body as Json)['answersTo'] as string | undefined;
        if (to !== undefined && to !== target && order.includes(to)) next(to, time.int(0, 500));
        else next(following, 1000);
      } else next(following, 1000);
    });
  }

  direct(body: Json, done: (r: Json) => void): void {
    if (this.isTerminated) return;
    if (this.isHung) {
      this.heldDirect.push(() => {
        this.direct(body, done);
      });
      return;
    }
    const tok = Number(body['mandate']);
    if (tok >= this.token && body['shift'] === this.agentEpoch) {
      if (tok > this.token) this.changed();
      this.token = tok;
      this.execute((body['orders'] ?? []) as Json[]);
    }
    done(this.body());
  }

  resume(): void {
    this.isHung = false;
    this.checkLease();
    const held = this.heldDirect;
    this.heldDirect = [];
    for (const f of held) f();
  }

  private execute(orders: readonly Json[]): void {
    for (const o of orders) {
      const shard = String(o['shard']);
      const cut = shard.lastIndexOf('/');
      const id = shard.slice(0, cut);
      const index = Number(shard.slice(cut + 1));
      const k = `${shard}@${String(o['tryNo'])}`;
      const t = this.tasks.get(k);
      if (o['orderKind'] === 'run') {
        if (t === undefined) this.begin(id, index, Number(o['tryNo']), k);
      } else if (o['orderKind'] === 'stop') {
        if (t !== undefined && t.state !== 'ended') this.exit(t, 'stopped');
      } else if (t?.state === 'ended') this.tasks.delete(k);
    }
  }

  private begin(id: string, index: number, tryNo: number, k: string): void {
    const { fleet } = this;
    const job = fleet.submitted.get(id);
    assert.ok(job !== undefined, `${id} was never submitted and is started`);
    const t: Task = { job, id, index, tryNo, state: 'pulling', why: null, since: fleet.time.now };
    this.tasks.set(k, t);
    this.changed();
    for (const other of this.tasks.values())
      if (other !== t && other.id === id && other.index === index && other.state !== 'ended') {
        t.state = 'ended';
        t.why = 'in_use';
        return;
      }
    fleet.recordTaskStart(this, t);
    fleet.time.after(fleet.time.int(200, 3000), () => {
      if (t.state !== 'pulling' || this.tasks.get(k) !== t) return;
      if (job.alwaysFails) this.exit(t, 'error');
      else if (job.kind === 'ensemble') {
        t.state = 'waiting';
        t.since = fleet.time.now;
        this.changed();
        fleet.gangReady(t);
        fleet.time.after(fleet.limits.gangWaitS * 1000, () => {
          if (t.state === 'waiting' && this.tasks.get(k) === t) this.exit(t, 'incomplete');
        });
      } else this.runTask(t, k);
    });
  }

  runTask(t: Task, k: string): void {
    t.state = 'running';
    this.changed();
    if (t.job.kind === 'daemon') return;
    const { time } = this.fleet;
    const finish = () => {
      if (t.state !== 'running' || this.tasks.get(k) !== t || this.isTerminated) return;
      if (this.isHung) time.after(500, finish);
      else {
        if (t.job.kind === 'ensemble') for (let i = 0; i < t.job.tasks; i++) t.job.doneTasks.add(i);
        else t.job.doneTasks.add(t.index);
        if (t.job.doneTasks.size === t.job.tasks) this.fleet.lastTaskDone(t.id);
        this.exit(t, 'done');
      }
    };
    time.after(t.job.runMs + t.job.staggerMs * t.index, finish);
  }

  exit(t: Task, why: string): void {
    t.state = 'ended';
    t.why = why;
    this.fleet.recordTaskExit(this, t, why);
    this.changed();
  }

  remove(): void {
    this.isTerminated = true;
    for (const t of [...this.tasks.values()]) this.fleet.recordTaskExit(this, t, 'gone');
    this.tasks.clear();
  }
}

export class SimulatedCluster {
  readonly submitted = new Map<string, SubmittedJob>();
  readonly machines = new Map<
    string,
    { worker: SimulatedAgent | null; zone: string; spot: boolean; at: number; upAt: number }
  >();
  private readonly placed = new Map<string, Set<SimulatedAgent>>();
  private readonly onMachine = new Map<SimulatedAgent, Set<Task>>();
  private readonly rentals = new Map<string, string[]>();
  private number = 0;
  starts = 0;
  /** Tasks killed since a lease ran out. */
  tasksLostToLeaseExpiry = 0;
  /** Machines that were returned with tasks on them. */
  busyReturned = 0;
  down = false;
  /** Where a machine's worker takes direct commands. */
  endpointOf: (name: string) => string = (name) => name;
  /** How often a worker looks whether it has something to do. */
  workerTickMs = 100;
  /** Called at the moment at which a job's last task ends. */
  lastTaskDone: (id: string) => void = () => undefined;

  constructor(
    readonly time: VirtualTime,
    readonly nodes: readonly string[],
    readonly limits: Limits,
    private readonly quota: ReadonlyMap<string, number>,
    private readonly perZone: number,
    readonly toNode: (w: SimulatedAgent, node: string, body: Json, done: (r: HttpResponse) => void) => void,
  ) {}

  liveAgents(): SimulatedAgent[] {
    return [...this.machines.values()].flatMap((m) =>
      m.worker === null || m.worker.isTerminated ? [] : [m.worker],
    );
  }

  // Rules.

  recordTaskStart(w: SimulatedAgent, t: Task): void {
    this.starts++;
    const k = `${t.id}/${t.index}`;
    const on = this.placed.get(k) ?? new Set();
    this.placed.set(k, on);
    for (const other of on)
      assert.equal(other, w, `ran_twice: ${k} starts on ${w.name} and is on ${other.name}`);
    on.add(w);
    const mine = this.onMachine.get(w) ?? new Set();
    this.onMachine.set(w, mine);
    const b = t.job.body;
    assert.ok(b['vault'] == null || b['vault'] === w.zone, `wrong_place: zone of ${k}`);
    assert.ok(!w.spot || b['loaner'] === true, `wrong_place: ${k} on a spot machine`);
    const zones = new Map<string, number>([[w.zone, 1]]);
    for (const [m, tasks] of this.onMachine)
      for (const o of tasks) if (o.id === t.id && o !== t) zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
    if (b['samePlace'] === true) assert.equal(zones.size, 1, `wrong_place: ${t.id} in two zones`);
    if (b['scatter'] === true)
      assert.ok(zones.get(w.zone)! <= Math.ceil(t.job.tasks / 2), `wrong_place: ${t.id} not spread`);
    assert.equal(t.job.observedCancelledAt, null, `ran_cancelled: ${k} starts on ${w.name} token ${w.token}`);
    for (const need of t.job.needs) {
      const n = this.submitted.get(need)!;
      assert.equal(n.doneTasks.size, n.tasks, `too_early: ${k} starts and ${need} is not done`);
    }
    mine.add(t);
    let used = 0;
    let cpu = 0;
    for (const o of mine) cpu += Number(o.job.body['vcpus']);
    assert.ok(cpu <= CAP.vcpus + 1e-9, `machine ${w.name} overfull`);
    for (const tasks of this.onMachine.values())
      for (const o of tasks) if (o.job.body['tenant'] === b['tenant']) used += Number(o.job.body['cards']);
    const limit = this.quota.get(String(b['tenant']))!;
    assert.ok(used <= limit + 1e-9, `quota: ${String(b['tenant'])} uses ${used} of ${limit}`);
  }

  private isDone(id: string): boolean {
    const j = this.submitted.get(id)!;
    return j.doneTasks.size === j.tasks;
  }

  /** When the user of a job before this one was first told that it is cancelled, or its own. */
  cancelledFrom(id: string): number {
    let first = Number.POSITIVE_INFINITY;
    const seen = new Set([id]);
    for (const x of seen) {
      const j = this.submitted.get(x)!;
      first = Math.min(first, j.observedCancelledAt ?? Number.POSITIVE_INFINITY);
      for (const n of j.needs) seen.add(n);
    }
    return first;
  }

  /** Whether the user of the job, or of one before it, has asked to call it off. */
  isCancellationRequested(id: string): boolean {
    const seen = new Set([id]);
    for (const x of seen) {
      if (this.submitted.get(x)!.isCancellationRequested) return true;
      for (const n of this.submitted.get(x)!.needs) seen.add(n);
    }
    return false;
  }

  /** Accepted jobs of which nothing runs though a machine has room for a task and the team is below its limit. */
  starvedJobs(): string[] {
    const used = new Map<string, number>();
    const running = new Set<string>();
    const free: { w: SimulatedAgent; vcpus: number; cards: number; memoryGb: number }[] = [];
    for (const w of this.liveAgents()) {
      const room = { w, ...CAP };
      for (const t of this.onMachine.get(w) ?? []) {
        const b = t.job.body;
        running.add(t.id);
        room.vcpus -= Number(b['vcpus']);
        room.cards -= Number(b['cards']);
        room.memoryGb -= Number(b['memoryGb']);
        used.set(String(b['tenant']), (used.get(String(b['tenant'])) ?? 0) + Number(b['cards']));
      }
      if (!w.isHung && !w.isInboundPartitioned && !w.isOutboundPartitioned && w.partitionedFrom.size === 0)
        free.push(room);
    }
    const out: string[] = [];
    for (const [id, j] of this.submitted) {
      const b = j.body;
      if (
        !j.accepted ||
        j.isCancellationRequested ||
        j.alwaysFails ||
        j.observedFinalState !== null ||
        running.has(id)
      )
        continue;
      if (j.doneTasks.size === j.tasks || !j.needs.every((n) => this.isDone(n))) continue;
      const [vcpus, cards, memoryGb] = [Number(b['vcpus']), Number(b['cards']), Number(b['memoryGb'])];
      const n = j.kind === 'ensemble' ? j.tasks : 1;
      const left = this.quota.get(String(b['tenant']))! - (used.get(String(b['tenant'])) ?? 0);
      if (cards > 0 && cards * n > left) continue;
      const times = new Map<string, number>();
      for (const f of free) {
        if ((f.w.spot && b['loaner'] !== true) || (b['vault'] ?? f.w.zone) !== f.w.zone) continue;
        const fit = Math.min(
          f.vcpus / vcpus,
          cards > 0 ? f.cards / cards : Number.POSITIVE_INFINITY,
          f.memoryGb / memoryGb,
        );
        const place = b['samePlace'] === true ? f.w.zone : '';
        times.set(place, (times.get(place) ?? 0) + Math.max(0, Math.floor(fit)));
      }
      if ([...times.values()].some((x) => x >= n)) out.push(id);
    }
    return out;
  }

  recordTaskExit(w: SimulatedAgent, t: Task, why: string): void {
    const on = this.onMachine.get(w);
    if (on?.delete(t) !== true) return;
    const k = `${t.id}/${t.index}`;
    if (![...on].some((o) => o.id === t.id && o.index === t.index)) this.placed.get(k)?.delete(w);
    if (t.job.kind === 'ensemble' && why !== 'done' && why !== 'incomplete') {
      const attempt = t.tryNo;
      this.time.after(this.time.real(0.2, this.limits.gangPeerS) * 1000, () => {
        for (const [m, tasks] of this.onMachine)
          for (const o of [...tasks])
            if (o.id === t.id && o.tryNo === attempt && o.state === 'running' && !m.isTerminated)
              m.exit(o, 'peers');
      });
    }
    if (t.job.kind === 'ensemble' && why === 'done')
      for (const [m, tasks] of this.onMachine)
        for (const o of [...tasks])
          if (o.id === t.id && o.tryNo === t.tryNo && o.state === 'running') m.exit(o, 'done');
  }

  gangReady(t: Task): void {
    const all: [SimulatedAgent, Task][] = [];
    for (const [m, tasks] of this.onMachine)
      for (const o of tasks)
        if (o.id === t.id && o.tryNo === t.tryNo && o.state === 'waiting') all.push([m, o]);
    if (all.length < t.job.tasks) return;
    for (const [m, o] of all) m.runTask(o, `${o.id}/${o.index}@${o.tryNo}`);
  }

  checkCancelled(): void {
    for (const [m, tasks] of this.onMachine)
      for (const t of tasks) {
        const told = t.job.observedCancelledAt;
        if (told === null || this.time.now - told <= this.limits.cancelS * 1000) continue;
        assert.fail(`ran_cancelled: ${t.id}/${t.index} is on ${m.name}`);
      }
  }

  // The cloud.

  handle(url: string, body: unknown): HttpResponse {
    if (this.down) return { status: 503, body: { error: 'trouble' } };
    const [path = ''] = url.split('?');
    const b = body as Json;
    if (path === '/machine_types')
      return {
        status: 200,
        body: {
          flavors: [
            {
              label: 'm',
              ...CAP,
              localGb: 100,
              fetchGbPerS: 1,
              rate: 4,
              spotPrice: 1.5,
              readyS: 4,
              vaults: ['a', 'b'],
            },
          ],
        },
      };
    if (path === '/machines/release') {
      for (const n of b['tellers'] as string[]) {
        const { worker: agent } = this.machines.get(n) ?? {};
        if (agent != null && [...agent.tasks.values()].some((t) => t.state !== 'ended')) this.busyReturned++;
        agent?.remove();
        this.machines.delete(n);
      }
      return { status: 200, body: {} };
    }
    if (path === '/machines' && body !== undefined) return this.rent(b);
    if (path === '/machines') {
      const old = this.time.now - this.time.int(1000, 4000);
      const tellers = [...this.machines]
        .filter(([, m]) => m.at <= old)
        .map(([n, m]) => ({
          nameId: n,
          flavor: 'm',
          vault: m.zone,
          loaner: m.spot,
          standing: m.upAt <= old ? 'running' : 'starting',
          ageS: (old - m.at) / 1000,
        }));
      return { status: 200, body: { tellers, hasNext: false } };
    }
    return { status: 400, body: null };
  }

  private rent(b: Json): HttpResponse {
    const name = String(b['rental']);
    const known = this.rentals.get(name);
    if (known !== undefined) return { status: 200, body: { tellers: known } };
    const zone = String(b['vault']);
    const used = [...this.machines.values()].filter((m) => m.zone === zone).length;
    const n = Math.min(Number(b['howMany']), this.perZone - used);
    if (n <= 0) return { status: 503, body: { error: 'no capacity' } };
    const names: string[] = [];
    for (let i = 0; i < n; i++) names.push(this.add(zone, b['loaner'] === true, this.time.int(500, 6000)));
    this.rentals.set(name, names);
    return { status: 200, body: { tellers: names } };
  }

  add(zone: string, spot: boolean, bootMs: number): string {
    const n = `n-${String(++this.number).padStart(6, '0')}`;
    const m = {
      worker: null as SimulatedAgent | null,
      zone,
      spot,
      at: this.time.now,
      upAt: this.time.now + bootMs,
    };
    this.machines.set(n, m);
    if (this.time.happens(0.1)) m.upAt = Number.POSITIVE_INFINITY;
    else
      this.time.after(bootMs, () => {
        if (this.machines.get(n) === m) m.worker = new SimulatedAgent(this, n, zone, spot);
      });
    return n;
  }
}
