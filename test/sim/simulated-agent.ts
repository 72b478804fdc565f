/** A simulated agent, written from the protocol specification: sends heartbeats, executes commands, runs tasks. */
import assert from 'node:assert/strict';
import type { HttpResponse } from '../../src/io/http-client.js';
import type { SimulatedCluster } from './simulated-cluster.js';
import { attemptKey, taskName, type SimulatedTask } from './simulated-task.js';
import type { Json } from './sizes.js';

/** Time without an answer after which an agent turns to the next controller. */
const ANSWER_TIMEOUT_MS = 4000;
/** Delay before the next controller is tried. */
const RETRY_MS = 1000;
/** Minimum time between two heartbeats of which the second reports a change. */
const MIN_HEARTBEAT_INTERVAL_MS = 500;
/** Duration of an image pull. */
const PULL_MS = { min: 200, max: 3000 };
/** Most bytes of a heartbeat: "A request body may be at most 64 KiB." */
const MAX_HEARTBEAT_BYTES = 64 * 1024;
/** A heartbeat with no more tasks than this is far below the limit, so that its size need not be computed. */
const SURELY_SMALL_TASKS = 200;
/** Interval at which a finished task on a hung agent checks whether the agent has resumed. */
const HUNG_RETRY_MS = 500;

/** The agent of one machine, from the machine's boot until its termination. */
export class SimulatedAgent {
  /** Highest fencing token that the agent has seen. */
  token = 0;
  /** Epoch of the agent; a new one begins whenever the lease runs out. */
  agentEpoch = 1;
  /** Sequence number of the latest heartbeat. */
  sequence = 0;
  /** Tasks of the agent by `attemptKey`; ended tasks are listed until a controller confirms their exit. */
  readonly tasks = new Map<string, SimulatedTask>();
  /** Controller to which the agent sends its heartbeats now. */
  controller: string;
  /** Whether the agent hangs: it sends and handles nothing, and its tasks do not end. */
  isHung = false;
  /** Whether the machine is faulty: it fails every task that it starts. */
  failsTasks = false;
  /** Whether answers and direct commands do not reach the agent, while its heartbeats arrive. */
  isInboundPartitioned = false;
  /** Whether the agent reaches no controller, while direct commands reach it. */
  isOutboundPartitioned = false;
  isTerminated = false;
  /** Number of heartbeats that were not sent since they were too large. */
  oversizedHeartbeats = 0;
  /** Number of copied answers whose commands were executed. */
  answerCopiesExecuted = 0;
  /** Controllers from which the agent is partitioned in both directions. */
  readonly partitionedFrom = new Set<string>();
  /** Send time of the latest answered heartbeat, from which the lease counts. */
  private leaseStartedAt: number;
  /** Number of the heartbeat that waits for an answer or for the delay before a retry; 0 for none. */
  private pendingHeartbeat = 0;
  private hasChanged = false;
  private lastSentAt = 0;
  private deferredCommands: (() => void)[] = [];

  constructor(
    readonly cluster: SimulatedCluster,
    readonly name: string,
    readonly zone: string,
    readonly isSpot: boolean,
  ) {
    this.leaseStartedAt = cluster.time.now;
    this.controller = cluster.time.pick(cluster.nodes);
    this.runHeartbeatLoop();
    this.runLeaseLoop();
  }

  /**
   * Executes commands that a controller sends directly, not in the answer to a heartbeat, and passes a heartbeat to `done`.
   * Ignores commands with an old token or of another epoch. A hung agent handles the request when it resumes.
   */
  handleDirectCommands(body: Json, done: (heartbeat: Json) => void): void {
    if (this.isTerminated) return;
    if (this.isHung) {
      this.deferredCommands.push(() => {
        this.handleDirectCommands(body, done);
      });
      return;
    }
    const token = Number(body['mandate']);
    if (token >= this.token && body['shift'] === this.agentEpoch) {
      if (token > this.token) this.hasChanged = true;
      this.token = token;
      this.execute((body['orders'] ?? []) as Json[]);
    }
    done(this.heartbeat());
  }

  /** Ends a hang: checks the lease first, then handles the direct commands that arrived during the hang. */
  resume(): void {
    this.isHung = false;
    this.checkLease();
    const deferred = this.deferredCommands;
    this.deferredCommands = [];
    for (const handle of deferred) handle();
  }

  /** Runs a task whose image is pulled; a gang's task only once the whole gang is ready. */
  runTask(task: SimulatedTask): void {
    task.state = 'running';
    this.hasChanged = true;
    if (task.job.kind === 'daemon') return;
    const { time } = this.cluster;
    const finish = () => {
      if (task.state !== 'running' || !this.holds(task) || this.isTerminated) return;
      if (this.isHung) time.after(HUNG_RETRY_MS, finish);
      else this.completeTask(task);
    };
    time.after(task.job.runMs + task.job.staggerMs * task.index, finish);
  }

  /** Ends a task, which stays listed until a controller confirms its exit. */
  endTask(task: SimulatedTask, exitCause: string): void {
    task.state = 'ended';
    task.exitCause = exitCause;
    this.cluster.recordTaskExit(this, task, exitCause);
    this.hasChanged = true;
  }

  /** Ends the agent with its machine and all of its tasks. */
  terminate(): void {
    this.isTerminated = true;
    this.loseTasks('gone');
  }

  private runLeaseLoop(): void {
    if (this.isTerminated) return;
    this.checkLease();
    this.cluster.time.after(this.cluster.agentTickMs * 2, () => {
      this.runLeaseLoop();
    });
  }

  /** Kills all tasks and begins a new epoch if the lease has run out. */
  private checkLease(): void {
    if (this.isHung || this.isTerminated) return;
    const { time, agentTimings } = this.cluster;
    if (time.now - this.leaseStartedAt <= agentTimings.leaseS * 1000) return;
    this.cluster.tasksLostToLeaseExpiry += this.tasks.size;
    this.loseTasks('lease');
    this.agentEpoch++;
    this.leaseStartedAt = time.now;
    this.hasChanged = true;
  }

  /** Forgets all tasks, with the results that no controller has confirmed. */
  private loseTasks(exitCause: string): void {
    for (const task of [...this.tasks.values()]) {
      if (task.exitCause === 'done') task.job.mayLackResults = true;
      this.cluster.recordTaskExit(this, task, exitCause);
    }
    this.tasks.clear();
  }

  private runHeartbeatLoop(): void {
    if (this.isTerminated) return;
    const { time } = this.cluster;
    if (!this.isHung && this.pendingHeartbeat === 0 && this.isHeartbeatDue()) this.sendHeartbeat();
    time.after(this.cluster.agentTickMs * time.real(0.9, 1.1), () => {
      this.runHeartbeatLoop();
    });
  }

  private isHeartbeatDue(): boolean {
    const sinceLastMs = this.cluster.time.now - this.lastSentAt;
    return (
      sinceLastMs >= this.cluster.agentTimings.reportS * 1000 ||
      (this.hasChanged && sinceLastMs >= MIN_HEARTBEAT_INTERVAL_MS)
    );
  }

  private sendHeartbeat(): void {
    const { time } = this.cluster;
    this.lastSentAt = time.now;
    this.hasChanged = false;
    const number = ++this.pendingHeartbeat;
    const sentAt = time.now;
    const epoch = this.agentEpoch;
    const target = this.controller;
    let isSettled = false;
    const retryAt = (controller: string, delayMs: number) => {
      isSettled = true;
      this.controller = controller;
      time.after(delayMs, () => {
        if (this.pendingHeartbeat === number) this.pendingHeartbeat = 0;
        this.hasChanged = true;
        this.lastSentAt = 0;
      });
    };
    time.after(ANSWER_TIMEOUT_MS, () => {
      if (!isSettled) retryAt(this.controllerAfter(target), RETRY_MS);
    });
    const heartbeat = this.heartbeat();
    if (this.tasks.size > SURELY_SMALL_TASKS && JSON.stringify(heartbeat).length > MAX_HEARTBEAT_BYTES) {
      this.oversizedHeartbeats++;
      return;
    }
    this.cluster.sendToController(this, target, heartbeat, (response, isCopy = false) => {
      if (isCopy) {
        this.handleAnswerCopy(response, sentAt, epoch);
        return;
      }
      if (isSettled || this.isTerminated || this.isHung) return;
      if (response.status === 200) {
        isSettled = true;
        this.pendingHeartbeat = 0;
        this.handleAnswer(response.body as Json, sentAt, epoch);
        return;
      }
      const owner = this.redirectTarget(response, target);
      if (owner === null) retryAt(this.controllerAfter(target), RETRY_MS);
      else retryAt(owner, time.int(0, 500));
    });
  }

  private controllerAfter(node: string): string {
    const { nodes } = this.cluster;
    return nodes[(nodes.indexOf(node) + 1) % nodes.length]!;
  }

  /** The other controller that a redirect names; null where the answer is no redirect or names no other controller. */
  private redirectTarget(response: HttpResponse, from: string): string | null {
    if (response.status !== 421) return null;
    const owner = (response.body as Json)['answersTo'] as string | undefined;
    if (owner === undefined || owner === from || !this.cluster.nodes.includes(owner)) return null;
    return owner;
  }

  /**
   * Executes the commands of a copied answer as those of the answer itself. The protocol does not say that an agent takes an
   * answer only once, but that it drops answers after `ANSWER_TIMEOUT_MS`.
   */
  private handleAnswerCopy({ status, body }: HttpResponse, sentAt: number, epoch: number): void {
    const isInTime = this.cluster.time.now - sentAt <= ANSWER_TIMEOUT_MS;
    if (status !== 200 || !isInTime || this.isTerminated || this.isHung) return;
    const { mandate, orders } = body as { mandate: number; orders: Json[] };
    if (mandate < this.token || epoch !== this.agentEpoch) return;
    if (orders.length > 0) this.answerCopiesExecuted++;
    this.execute(orders);
  }

  /** Handles the answer to a heartbeat; ignores an answer with an old token or to a heartbeat of an earlier epoch. */
  private handleAnswer(body: Json, sentAt: number, epoch: number): void {
    const token = Number(body['mandate'] ?? -1);
    if (token < this.token || epoch !== this.agentEpoch) return;
    this.token = token;
    this.leaseStartedAt = sentAt;
    this.execute((body['orders'] ?? []) as Json[]);
  }

  private heartbeat(): Json {
    return {
      teller: this.name,
      endpoint: this.cluster.endpointOf(this.name),
      flavor: 'm',
      vault: this.zone,
      loaner: this.isSpot,
      shift: this.agentEpoch,
      tally: ++this.sequence,
      mandate: this.token,
      recallS: null,
      shards: [...this.tasks.values()].map((task) => ({
        shard: taskName(task),
        tryNo: task.attempt,
        standing: task.state,
        ...(task.exitCause === null ? {} : { exitCause: task.exitCause }),
      })),
    };
  }

  private execute(commands: readonly Json[]): void {
    for (const command of commands) {
      const name = String(command['shard']);
      const key = `${name}@${String(command['tryNo'])}`;
      const task = this.tasks.get(key);
      const kind = command['orderKind'];
      if (kind === 'run') {
        if (task === undefined) this.startTask(name, Number(command['tryNo']));
      } else if (kind === 'stop') {
        if (task !== undefined && task.state !== 'ended') this.endTask(task, 'stopped');
      } else if (task?.state === 'ended') this.tasks.delete(key);
    }
  }

  private startTask(name: string, attempt: number): void {
    const separator = name.lastIndexOf('/');
    const id = name.slice(0, separator);
    const job = this.cluster.submitted.get(id);
    assert.ok(job !== undefined, `a run command names ${name}, but no user submitted job ${id}`);
    const index = Number(name.slice(separator + 1));
    const task: SimulatedTask = { job, id, index, attempt, state: 'pulling', exitCause: null };
    this.tasks.set(attemptKey(task), task);
    this.hasChanged = true;
    if (this.hasOtherAttempt(task)) {
      task.state = 'ended';
      task.exitCause = 'in_use';
      return;
    }
    this.cluster.recordTaskStart(this, task);
    const { time } = this.cluster;
    time.after(time.int(PULL_MS.min, PULL_MS.max), () => {
      if (task.state === 'pulling' && this.holds(task)) this.finishPull(task);
    });
  }

  private hasOtherAttempt(task: SimulatedTask): boolean {
    return [...this.tasks.values()].some(
      (other) =>
        other !== task && other.id === task.id && other.index === task.index && other.state !== 'ended',
    );
  }

  /** Continues after the image pull: the task runs, waits for the rest of its gang, or fails. */
  private finishPull(task: SimulatedTask): void {
    if (task.job.alwaysFails || this.failsTasks) this.endTask(task, 'error');
    else if (task.job.kind === 'ensemble') this.waitForGang(task);
    else this.runTask(task);
  }

  private waitForGang(task: SimulatedTask): void {
    const { cluster } = this;
    task.state = 'waiting';
    this.hasChanged = true;
    cluster.startGangIfComplete(task);
    cluster.time.after(cluster.agentTimings.gangWaitS * 1000, () => {
      if (task.state === 'waiting' && this.holds(task)) this.endTask(task, 'incomplete');
    });
  }

  private completeTask(task: SimulatedTask): void {
    const { job } = task;
    if (job.kind === 'ensemble') for (let index = 0; index < job.tasks; index++) job.doneTasks.add(index);
    else job.doneTasks.add(task.index);
    if (job.doneTasks.size === job.tasks) this.cluster.onLastTaskDone(task.id);
    this.endTask(task, 'done');
  }

  /** Whether the agent still lists the task; tasks are dropped when the lease runs out or the machine is terminated. */
  private holds(task: SimulatedTask): boolean {
    return this.tasks.get(attemptKey(task)) === task;
  }
}
