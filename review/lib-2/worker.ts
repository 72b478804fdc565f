/** A stand-in of one worker: sends reports, executes commands, runs tasks and keeps its lease. */
import type { Fleet, KnownJob } from './fleet.js';
import { send, type Json, type Reply } from './json-http.js';

/** The settings of the workers. */
export interface WorkerTimings {
  readonly reportS: number;
  readonly leaseS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
}

/** A task on a machine. */
export interface Task {
  readonly job: KnownJob;
  readonly id: string;
  readonly index: number;
  readonly attempt: number;
  /** Factor of the run time, which varies from task to task. */
  readonly stretch: number;
  state: 'pulling' | 'waiting' | 'running' | 'flushing' | 'ended';
  cause: string | null;
}

interface Identity {
  readonly name: string;
  readonly endpoint: string;
  readonly zone: string;
  readonly spot: boolean;
}

const ANSWER_TIMEOUT_MS = 4000;
const NEXT_NODE_MS = 1000;
const MIN_INTERVAL_MS = 500;
const TICK_MS = 25;
const MAX_BODY_BYTES = 64 * 1024;
/** Time until the rest of a running gang notices that a task is gone; below `gang_peer_s`. */
const PEERS_NOTICE_MS = 500;

const later = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

const gangKey = ({ id, attempt }: Task): string => `${id}@${attempt}`;

/** The worker of one machine, from its boot until its machine is gone. */
export class Worker {
  shift = 1;
  tally = 0;
  mandate = 0;
  readonly tasks = new Map<string, Task>();
  /** Body size of the largest report, and statuses of the answers to reports. */
  largestReport = 0;
  readonly statuses = new Map<number, number>();
  /** Answers with 200 that had to be dropped since their token was lower than the highest one seen, by node. */
  readonly dropped = new Map<string, number>();
  /** Reports that were not sent, since they exceed what a request body may have. */
  reportsHeldBack = 0;
  leasesLost = 0;
  tasksLost = 0;
  private isEnded = false;
  private hasChanged = true;
  private leaseStart = performance.now();
  private readonly nodes: string[];
  /** The controller to which it reports. */
  node: string;

  constructor(
    private readonly fleet: Fleet,
    private readonly identity: Identity,
  ) {
    this.nodes = [...fleet.options.controllers.keys()];
    this.node = this.nodes[Math.floor(Math.random() * this.nodes.length)]!;
  }

  get name(): string {
    return this.identity.name;
  }

  /** Ends the worker with its machine and everything on it. */
  end(): void {
    this.isEnded = true;
    for (const task of this.tasks.values()) this.observeExit(task, 'gone');
    this.tasks.clear();
  }

  /** Starts to report. */
  run(): void {
    void this.reportForever();
    void this.keepLease();
  }

  /** Answers a direct request. */
  handle(method: string, url: string, body: unknown): Reply {
    if (method === 'GET' && url === '/show') return { status: 200, body: this.report() };
    if (method !== 'POST' || url !== '/do') return { status: 404, body: null };
    const { mandate, shift, orders } = body as { mandate?: number; shift?: number; orders?: Json[] };
    if (mandate === undefined || shift === undefined) return { status: 400, body: null };
    if (mandate < this.mandate || shift !== this.shift) return { status: 409, body: this.report() };
    if (mandate > this.mandate) this.hasChanged = true;
    this.mandate = mandate;
    this.execute(orders ?? []);
    return { status: 200, body: this.report() };
  }

  private async keepLease(): Promise<void> {
    while (!this.isEnded) {
      await later(TICK_MS * 4);
      if (performance.now() - this.leaseStart <= this.fleet.options.timings.leaseS * 1000) continue;
      this.leasesLost++;
      this.tasksLost += this.tasks.size;
      for (const task of this.tasks.values()) this.observeExit(task, 'lease');
      this.tasks.clear();
      this.shift++;
      this.leaseStart = performance.now();
      this.hasChanged = true;
    }
  }

  private async reportForever(): Promise<void> {
    const intervalMs = this.fleet.options.timings.reportS * 1000;
    let sentAt = Number.NEGATIVE_INFINITY;
    let dueMs = 0;
    while (!this.isEnded) {
      const sinceMs = performance.now() - sentAt;
      if (sinceMs < dueMs && !(this.hasChanged && sinceMs >= MIN_INTERVAL_MS)) {
        await later(TICK_MS);
        continue;
      }
      sentAt = performance.now();
      dueMs = intervalMs * (0.75 + Math.random() * 0.5);
      const pauseMs = await this.sendReport(sentAt);
      if (pauseMs === null) continue;
      await later(pauseMs);
      dueMs = 0;
    }
  }

  /** Sends one report; returns null after an answer with 200, else the pause before the report to the next node. */
  private async sendReport(sentAt: number): Promise<number | null> {
    this.hasChanged = false;
    const { node, shift } = this;
    const report = this.report();
    const bytes = Buffer.byteLength(JSON.stringify(report));
    this.largestReport = Math.max(this.largestReport, bytes);
    // The page allows no larger request body, and a report has to name all tasks: the worker has nothing to send.
    if (bytes > MAX_BODY_BYTES) {
      this.reportsHeldBack++;
      return NEXT_NODE_MS;
    }
    const address = this.fleet.options.controllers.get(node)!;
    const reply = await send('POST', address, '/v1/report', report, ANSWER_TIMEOUT_MS);
    const status = reply?.status ?? 0;
    this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
    if (this.isEnded) return null;
    if (status === 200) {
      this.accept(reply!.body as Json, { sentAt, shift });
      return null;
    }
    const named = status === 421 ? (reply!.body as Json)['answersTo'] : undefined;
    if (typeof named === 'string' && named !== node && this.nodes.includes(named)) {
      this.node = named;
      return Math.random() * MIN_INTERVAL_MS;
    }
    this.node = this.nodes[(this.nodes.indexOf(node) + 1) % this.nodes.length]!;
    return NEXT_NODE_MS;
  }

  private accept(body: Json, { sentAt, shift }: { sentAt: number; shift: number }): void {
    const mandate = Number(body['mandate'] ?? -1);
    if (mandate < this.mandate) this.dropped.set(this.node, (this.dropped.get(this.node) ?? 0) + 1);
    if (mandate < this.mandate || shift !== this.shift) return;
    this.mandate = mandate;
    this.leaseStart = sentAt;
    this.execute((body['orders'] ?? []) as Json[]);
  }

  private report(): Json {
    const { type } = this.fleet.options;
    return {
      teller: this.identity.name,
      endpoint: this.identity.endpoint,
      flavor: type.label,
      vault: this.identity.zone,
      loaner: this.identity.spot,
      shift: this.shift,
      tally: ++this.tally,
      mandate: this.mandate,
      recallS: null,
      shards: [...this.tasks.values()].map(({ id, index, attempt, state, cause }) => ({
        shard: `${id}/${index}`,
        tryNo: attempt,
        standing: state,
        ...(cause === null ? {} : { exitCause: cause }),
      })),
    };
  }

  private execute(orders: readonly Json[]): void {
    for (const { orderKind, shard, tryNo } of orders) {
      const name = String(shard);
      const key = `${name}@${Number(tryNo)}`;
      const task = this.tasks.get(key);
      if (orderKind === 'run' && task === undefined) this.start(name, Number(tryNo));
      if (orderKind === 'stop' && task !== undefined && task.state !== 'ended') this.exit(task, 'stopped');
      if (orderKind === 'forget' && task?.state === 'ended') this.tasks.delete(key);
    }
  }

  private start(name: string, attempt: number): void {
    const separator = name.lastIndexOf('/');
    const id = name.slice(0, separator);
    const index = Number(name.slice(separator + 1));
    const job = this.fleet.jobs.get(id);
    this.hasChanged = true;
    if (job === undefined) throw new Error(`a run command names ${name}, which nobody submitted`);
    const stretch = 0.7 + 0.6 * Math.random();
    const task: Task = { job, id, index, attempt, stretch, state: 'pulling', cause: null };
    const refusal = this.refusalOf(task);
    this.tasks.set(`${name}@${attempt}`, task);
    if (refusal !== null) {
      task.state = 'ended';
      task.cause = refusal;
      return;
    }
    this.fleet.onTask({ kind: 'start', machine: this.name, task: name, attempt, cause: '' });
    const fetchMs = (Number(job.body['pullGb']) / this.fleet.options.type.fetchGbPerS) * 1000;
    setTimeout(() => {
      if (this.holds(task)) this.begin(task);
    }, fetchMs);
  }

  private refusalOf({ job, id, index }: Task): string | null {
    const alive = [...this.tasks.values()].filter(({ state }) => state !== 'ended');
    if (alive.some((other) => other.id === id && other.index === index)) return 'in_use';
    const { type } = this.fleet.options;
    for (const amount of ['vcpus', 'cards', 'memoryGb'] as const) {
      const used = alive.reduce((sum, other) => sum + Number(other.job.body[amount]), 0);
      if (used + Number(job.body[amount]) > type[amount] + 1e-6) return 'full';
    }
    return null;
  }

  private begin(task: Task): void {
    this.hasChanged = true;
    if (task.job.body['shape'] === 'ensemble') {
      task.state = 'waiting';
      this.joinGang(task);
      return;
    }
    task.state = 'running';
    if (task.job.body['shape'] === 'daemon') return;
    setTimeout(() => {
      if (this.holds(task) && task.state === 'running') this.complete(task);
    }, task.job.runMs * task.stretch);
  }

  private complete(task: Task): void {
    task.job.done.add(task.index);
    this.exit(task, 'done');
  }

  /** Waits for the rest of the gang; the last task to wait starts them all. */
  private joinGang(task: Task): void {
    const { timings } = this.fleet.options;
    setTimeout(() => {
      if (this.holds(task) && task.state === 'waiting') this.exit(task, 'incomplete');
    }, timings.gangWaitS * 1000);
    const gang = this.fleet.gangOf(gangKey(task));
    gang.set(task, this);
    if (gang.size < Number(task.job.body['shards'])) return;
    for (const [member, worker] of gang) {
      member.state = 'running';
      worker.hasChanged = true;
    }
    setTimeout(() => {
      if (gang.size < Number(task.job.body['shards'])) return;
      for (const [member, worker] of [...gang]) worker.complete(member);
    }, task.job.runMs);
  }

  private exit(task: Task, cause: string): void {
    this.observeExit(task, cause);
    task.state = 'ended';
    task.cause = cause;
    this.hasChanged = true;
  }

  /** A running gang that has lost a task ends: its other tasks notice that. */
  private leaveGang(task: Task, cause: string): void {
    const gang = this.fleet.gangOf(gangKey(task));
    gang.delete(task);
    if (task.state !== 'running' || cause === 'done' || cause === 'peers') return;
    setTimeout(() => {
      for (const [peer, worker] of [...gang]) if (peer.state === 'running') worker.exit(peer, 'peers');
    }, PEERS_NOTICE_MS);
  }

  private observeExit(task: Task, cause: string): void {
    if (task.state === 'ended') return;
    const { id, index, attempt } = task;
    this.fleet.onTask({ kind: 'exit', machine: this.name, task: `${id}/${index}`, attempt, cause });
    if (task.job.body['shape'] === 'ensemble') this.leaveGang(task, cause);
  }

  private holds(task: Task): boolean {
    return this.tasks.get(`${task.id}/${task.index}@${task.attempt}`) === task;
  }
}
