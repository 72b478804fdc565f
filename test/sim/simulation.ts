/**
 * A seeded run: real controllers among simulated users, agents, cloud and state service, with injected faults. The invariants
 * are checked at each step; a violation fails the run with an error that names the invariant.
 */
import { key } from '../../src/core/records/keys.js';
import { AgentNetwork } from './agent-network.js';
import { ObservedStates } from './observed-states.js';
import { SimulatedCluster } from './simulated-cluster.js';
import { SimulatedController, asError } from './simulated-controller.js';
import { SimulatedUsers } from './simulated-users.js';
import { LIMITS, NODES, SMALL, TEAMS, ZONES, type JobOverrides, type SimulationSize } from './sizes.js';
import { StarvationCheck } from './starvation-check.js';
import { StateService } from './state-service.js';
import { VirtualTime } from './virtual-time.js';

export { FLEET, GROWN, HUGE, LIMITS, SMALL, type SimulationSize } from './sizes.js';

/** Gets all that controllers send: requests, and answers to agents and users. */
export type Observer = (from: string, to: string, message: unknown) => void;

export interface SimulationOptions {
  readonly seed: number;
  /** `SMALL` by default. */
  readonly size?: SimulationSize;
  /** The controllers begin with the previous version. */
  readonly startsWithPreviousVersion?: boolean;
  /** The packages of each controller, made anew with each of its starts. */
  readonly packages?: SimulatedController['packages'] | undefined;
  readonly observe?: Observer;
}

/** Limits of the state service that will hold from some moment on, as the platform's settings state them. */
export interface UpcomingLimits {
  readonly value_kb: number;
  readonly txn_ops: number;
  readonly write_rps: number;
}

export class Simulation {
  readonly time: VirtualTime;
  readonly size: SimulationSize;
  readonly observe: Observer;
  readonly state: StateService;
  readonly cluster: SimulatedCluster;
  readonly controllers = new Map<string, SimulatedController>();
  readonly users: SimulatedUsers;
  readonly observedStates: ObservedStates;
  readonly network: AgentNetwork;
  readonly starvation: StarvationCheck;
  /** The first violated invariant, or unexpected error. */
  failed: Error | null = null;

  /** Null where the limits stay as they are. */
  upcomingLimits: UpcomingLimits | null = null;
  /** Users submit pipelines too. */
  submitsPipelines = false;
  /** Nothing is slow or lost by itself, for tests of a single fault. */
  isSmooth = false;
  /** The share of transactions that get no answer and are applied seconds later. */
  lateWriteProbability = 0;
  lateWritesApplied = 0;
  /** The longest time that the state service takes for a request; 0: its usual few milliseconds. */
  maxStateDelayMs = 0;
  /** Partitions reset connections; otherwise they hold packets back. */
  partitionsResetConnections = false;
  /** The share of heartbeats that arrive a second time, later. */
  duplicateHeartbeatProbability = 0.03;
  /** The share of jobs that are cancelled, asked for and submitted anew at the moment at which they end. */
  cancelAtEndProbability = 0;

  constructor(options: SimulationOptions) {
    this.size = options.size ?? SMALL;
    this.observe = options.observe ?? (() => undefined);
    this.time = new VirtualTime(options.seed);
    this.state = new StateService(this.time, this.size);
    this.state.pageRows = this.size.pageRows ?? this.state.pageRows;
    this.network = new AgentNetwork(this);
    this.cluster = this.createCluster();
    this.observedStates = new ObservedStates(this.cluster);
    this.users = new SimulatedUsers(this);
    this.starvation = new StarvationCheck(this.cluster, (error) => {
      this.fail(error);
    });
    this.startControllers(options);
    this.checkAfterEachStep();
    this.starvation.run();
    this.users.run();
  }

  /** Fails the run at the next step; the first error counts. */
  fail(error: unknown): void {
    this.failed ??= asError(error);
  }

  /** Lets a task of a user go on by itself; its error fails the run. */
  runInBackground(task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.fail(error);
    });
  }

  /** A user submits a job; what is not given is random. */
  submit(overrides: JobOverrides = {}): string {
    return this.users.submit(overrides);
  }

  /** A user requests a job's cancellation until its final state is the answer. */
  cancel(id: string): void {
    this.users.cancel(id);
  }

  /** Accepted jobs with tasks on machines whose cancellation nobody has requested; those with most tasks first. */
  runningJobs(): string[] {
    const tasksByJob = new Map<string, number>();
    for (const agent of this.cluster.liveAgents())
      for (const task of agent.tasks.values())
        if (task.state !== 'ended') tasksByJob.set(task.id, (tasksByJob.get(task.id) ?? 0) + 1);
    const isOpen = (id: string) => {
      const job = this.cluster.submitted.get(id)!;
      return job.accepted && !job.isCancellationRequested && job.observedFinalState === null;
    };
    return [...tasksByJob]
      .filter(([id]) => isOpen(id))
      .sort(([, tasks], [, otherTasks]) => otherTasks - tasks)
      .map(([id]) => id);
  }

  /** The controller that leads now, as the state service has it. */
  leader(): SimulatedController | undefined {
    const record = this.state.rows.get(key.leader)?.value as { node: string } | undefined;
    return record === undefined ? undefined : this.controllers.get(record.node);
  }

  private createCluster(): SimulatedCluster {
    const { size } = this;
    const cluster = new SimulatedCluster({
      time: this.time,
      nodes: NODES,
      limits: LIMITS,
      quota: new Map([...TEAMS].map(([team, gpus]) => [team, gpus * size.times])),
      machinesPerZone: size.perZone,
      agentTickMs: size.agentTickMs,
      sendToController: (agent, node, heartbeat, done) => {
        this.network.sendHeartbeat(agent, node, heartbeat, done);
      },
    });
    cluster.onLastTaskDone = (id) => {
      if (!this.time.happens(this.cancelAtEndProbability)) return;
      this.users.cancel(id);
      this.users.retrySubmission(id);
    };
    return cluster;
  }

  private startControllers({ startsWithPreviousVersion = false, packages }: SimulationOptions): void {
    for (const [i, name] of NODES.entries()) {
      const node = new SimulatedController(this, name, ZONES[i % ZONES.length]!);
      node.runsPreviousVersion = startsWithPreviousVersion;
      if (packages !== undefined) node.packages = packages;
      this.controllers.set(name, node);
      node.start();
    }
  }

  private checkAfterEachStep(): void {
    const checkEvery = this.size.checkEvery ?? 1;
    let steps = 0;
    this.time.check = () => {
      if (this.failed !== null) throw this.failed;
      if (++steps % checkEvery === 0) this.cluster.checkNoCancelledTaskRuns();
    };
  }
}

/** A run up to the given time in which nothing goes wrong by itself, for tests of a single fault. */
export async function runWithoutFaults(
  seed: number,
  size: SimulationSize,
  ms: number,
  packages?: SimulatedController['packages'],
): Promise<Simulation> {
  const simulation = new Simulation({ seed, size, packages });
  simulation.duplicateHeartbeatProbability = 0;
  simulation.isSmooth = true;
  await simulation.time.runUntil(ms);
  return simulation;
}
