/**
 * A seeded run: real controllers with simulated users, agents, cloud and state service, and injected faults. Invariants
 * are checked after each step; a violation fails the run with an error that names the invariant.
 */
import assert from 'node:assert/strict';
import { key } from '../../src/core/records/keys.js';
import { AgentNetwork } from './agent-network.js';
import { ObservedStates } from './observed-states.js';
import { SimulatedCluster } from './simulated-cluster.js';
import { SimulatedController, asError } from './simulated-controller.js';
import { SimulatedUsers } from './simulated-users.js';
import {
  AGENT_TIMINGS,
  NODES,
  SMALL,
  TEAMS,
  ZONES,
  type JobOverrides,
  type SimulationSize,
} from './sizes.js';
import { StarvationCheck } from './starvation-check.js';
import { StateService } from './state-service.js';
import { VirtualTime } from './virtual-time.js';

export { FLEET, GROWN, HUGE, AGENT_TIMINGS, SMALL, type SimulationSize } from './sizes.js';

/** Receives every message that a controller sends: requests, and answers to agents and users. */
export type Observer = (from: string, to: string, message: unknown) => void;

export interface SimulationOptions {
  readonly seed: number;
  /** `SMALL` by default. */
  readonly size?: SimulationSize;
  /** Whether the controllers start in the previous version. */
  readonly startsWithPreviousVersion?: boolean;
  /** Creates the plugins of a controller; called at each start of each controller. */
  readonly plugins?: SimulatedController['plugins'] | undefined;
  readonly observe?: Observer;
}

/** Announced lower limits of the state service, as in the section `next` of the platform's settings. */
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
  /** The first violated invariant or unexpected error; null while there is none. */
  failure: Error | null = null;

  /** Lower limits of the state service that the settings announce; null where the limits do not change. */
  upcomingLimits: UpcomingLimits | null = null;
  /** Whether users also submit pipelines. */
  submitsPipelines = false;
  /** Turns off random losses and long delays of heartbeats and state requests, for tests of a single fault. */
  isNetworkReliable = false;
  /** Share of transactions that get no answer and are applied seconds later. */
  lateWriteProbability = 0;
  /** Transactions that were applied late so far. */
  lateWritesApplied = 0;
  /** Upper bound of the delay of a request to the state service; 0 for the usual delay of a few milliseconds. */
  maxStateDelayMs = 0;
  /** Whether partitions reset agents' connections; otherwise they hold packets back until the partition ends. */
  partitionsResetConnections = false;
  /** Share of heartbeats of which a duplicate arrives later. */
  duplicateHeartbeatProbability = 0.03;
  /** Share of direct messages, and of answers to heartbeats, of which the agent gets a copy up to several leases later. */
  duplicateCommandsProbability = 0;
  /** Copies of direct messages that were executed, since their token and epoch still matched. */
  duplicateCommandsExecuted = 0;
  /** Share of jobs that users cancel, query and submit again at the moment at which the last task ends. */
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

  /** Fails the run at the next step; errors after the first are ignored. */
  fail(error: unknown): void {
    this.failure ??= asError(error);
  }

  /** Does not wait for a simulated user's actions; their rejection fails the run. */
  runInBackground(task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.fail(error);
    });
  }

  /** Submits a job as a user and returns its id; whatever `overrides` leaves open is random. */
  submit(overrides: JobOverrides = {}): string {
    return this.users.submit(overrides);
  }

  /** Requests a job's cancellation as a user, repeatedly until the answer is the job's final state. */
  cancel(id: string): void {
    this.users.cancel(id);
  }

  /** Ids of accepted jobs that have tasks on machines and no requested cancellation, in descending order of tasks. */
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

  /** The current leader according to the state service; undefined where there is none. */
  leader(): SimulatedController | undefined {
    const record = this.state.rows.get(key.leader)?.value as { node: string } | undefined;
    return record === undefined ? undefined : this.controllers.get(record.node);
  }

  private createCluster(): SimulatedCluster {
    const { size } = this;
    const cluster = new SimulatedCluster({
      time: this.time,
      nodes: NODES,
      agentTimings: AGENT_TIMINGS,
      quota: new Map([...TEAMS].map(([team, gpus]) => [team, gpus * size.quotaFactor])),
      machinesPerZone: size.machinesPerZone,
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

  private startControllers({ startsWithPreviousVersion = false, plugins }: SimulationOptions): void {
    for (const [i, name] of NODES.entries()) {
      const node = new SimulatedController(this, name, ZONES[i % ZONES.length]!);
      node.runsPreviousVersion = startsWithPreviousVersion;
      if (plugins !== undefined) node.plugins = plugins;
      this.controllers.set(name, node);
      node.start();
    }
  }

  private checkAfterEachStep(): void {
    const checkEverySteps = this.size.checkEverySteps ?? 1;
    let steps = 0;
    this.time.check = () => {
      if (this.failure !== null) throw this.failure;
      const { keysChangedTwice } = this.state;
      assert.equal(keysChangedTwice.length, 0, `one transaction changed ${keysChangedTwice[0]} twice`);
      if (++steps % checkEverySteps === 0) this.cluster.checkNoCancelledTaskRuns();
    };
  }
}

/** Runs a simulation up to `ms` without random losses, long delays and duplicates, for tests of a single fault. */
export async function runWithoutFaults(
  seed: number,
  size: SimulationSize,
  ms: number,
  plugins?: SimulatedController['plugins'],
): Promise<Simulation> {
  const simulation = new Simulation({ seed, size, plugins });
  simulation.duplicateHeartbeatProbability = 0;
  simulation.isNetworkReliable = true;
  await simulation.time.runUntil(ms);
  return simulation;
}
