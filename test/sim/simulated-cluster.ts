/** The simulated machines of a run: the cloud that rents them out, their agents, and the invariants of their tasks. */
import type { HttpResponse } from '../../src/io/http-client.js';
import { checkNoCancelledTaskRuns, checkTaskStart } from './placement-invariants.js';
import { SimulatedAgent } from './simulated-agent.js';
import { SimulatedCloud, type SimulatedMachine } from './simulated-cloud.js';
import type { SimulatedTask } from './simulated-task.js';
import type { AgentTimings, Json } from './sizes.js';
import { starvedJobs } from './starved-jobs.js';
import type { SubmittedJob } from './submitted-job.js';
import { TaskPlacements } from './task-placements.js';
import type { VirtualTime } from './virtual-time.js';

const DEFAULT_AGENT_TICK_MS = 100;
/** Minimum time after which the other tasks of a gang end when one of its tasks is lost. */
const MIN_GANG_NOTICE_S = 0.2;

/** Receives the answer to a heartbeat; `isCopy`: a late copy of the answer. */
export type AnswerHandler = (response: HttpResponse, isCopy?: boolean) => void;

/** Sends a heartbeat to a controller; `done` receives the answer. */
export type SendToController = (
  agent: SimulatedAgent,
  node: string,
  heartbeat: Json,
  done: AnswerHandler,
) => void;

/** Dependencies and size of a simulated cluster. */
export interface SimulatedClusterOptions {
  readonly time: VirtualTime;
  /** Controllers to which agents may send heartbeats. */
  readonly nodes: readonly string[];
  readonly agentTimings: AgentTimings;
  /** Number of GPUs that each team may use at once. */
  readonly quota: ReadonlyMap<string, number>;
  readonly machinesPerZone: number;
  readonly sendToController: SendToController;
  /** Address at which a machine's agent accepts direct commands; by default the machine's name. */
  readonly endpointOf?: (name: string) => string;
  /** Interval of an agent's check for a due heartbeat. Leases are checked half as often. */
  readonly agentTickMs?: number | undefined;
}

export class SimulatedCluster {
  readonly time: VirtualTime;
  readonly nodes: readonly string[];
  readonly agentTimings: AgentTimings;
  readonly quota: ReadonlyMap<string, number>;
  readonly sendToController: SendToController;
  readonly endpointOf: (name: string) => string;
  readonly agentTickMs: number;
  readonly cloud: SimulatedCloud;
  /** All jobs that users have submitted, accepted or not. */
  readonly submitted = new Map<string, SubmittedJob>();
  readonly placements = new TaskPlacements();
  /** Number of tasks started so far. */
  tasksStarted = 0;
  /** Number of tasks killed because an agent's lease ran out. */
  tasksLostToLeaseExpiry = 0;
  /** Called when a job's last task has ended successfully, before any controller knows of it. */
  onLastTaskDone: (id: string) => void = () => undefined;

  constructor(options: SimulatedClusterOptions) {
    this.time = options.time;
    this.nodes = options.nodes;
    this.agentTimings = options.agentTimings;
    this.quota = options.quota;
    this.sendToController = options.sendToController;
    this.endpointOf = options.endpointOf ?? ((name) => name);
    this.agentTickMs = options.agentTickMs ?? DEFAULT_AGENT_TICK_MS;
    this.cloud = new SimulatedCloud({
      time: options.time,
      machinesPerZone: options.machinesPerZone,
      startAgent: (name, zone, isSpot) => new SimulatedAgent(this, name, zone, isSpot),
    });
  }

  /** Machines that the cloud has rented out, by name. */
  get machines(): Map<string, SimulatedMachine> {
    return this.cloud.machines;
  }

  liveAgents(): SimulatedAgent[] {
    return [...this.machines.values()].flatMap(({ agent }) =>
      agent === null || agent.isTerminated ? [] : [agent],
    );
  }

  /** Ids of accepted jobs with a task that waits although a machine has room and the team's quota allows it. */
  starvedJobs(): string[] {
    return starvedJobs(this, this.liveAgents());
  }

  /** Checks the invariants of a task's start and records the start. */
  recordTaskStart(agent: SimulatedAgent, task: SimulatedTask): void {
    this.tasksStarted++;
    checkTaskStart(this, agent, task);
  }

  /** Removes a task from its machine; the exit of a gang's task ends the rest of the gang. */
  recordTaskExit(agent: SimulatedAgent, task: SimulatedTask, exitCause: string): void {
    if (!this.placements.remove(agent, task) || task.job.kind !== 'ensemble') return;
    if (exitCause === 'done') this.endRunningGang(task, 'done');
    else if (exitCause !== 'incomplete')
      this.time.after(this.time.real(MIN_GANG_NOTICE_S, this.agentTimings.gangPeerS) * 1000, () => {
        this.endRunningGang(task, 'peers');
      });
  }

  /** Runs the gang of a task if all tasks of the gang are waiting. */
  startGangIfComplete(task: SimulatedTask): void {
    const waiting = this.placements.gangOf(task).filter(([, member]) => member.state === 'waiting');
    if (waiting.length < task.job.tasks) return;
    for (const [agent, member] of waiting) agent.runTask(member);
  }

  /** Fails if a task is on a machine longer than `cancelS` after its job's cancellation was reported to the user. */
  checkNoCancelledTaskRuns(): void {
    checkNoCancelledTaskRuns(this.placements, this.time.now, this.agentTimings.cancelS * 1000);
  }

  /** Earliest time at which the job or one that it depends on was reported as cancelled; infinite where none was. */
  cancelledFrom(id: string): number {
    const times = this.withDependencies(id).map((job) => job.observedCancelledAt ?? Number.POSITIVE_INFINITY);
    return Math.min(...times);
  }

  /** Whether a user has requested the cancellation of the job or of one that it depends on. */
  isCancellationRequested(id: string): boolean {
    return this.withDependencies(id).some((job) => job.isCancellationRequested);
  }

  private endRunningGang(task: SimulatedTask, exitCause: string): void {
    for (const [agent, member] of this.placements.gangOf(task))
      if (member.state === 'running' && !agent.isTerminated) agent.endTask(member, exitCause);
  }

  /** The job and all of its direct and transitive dependencies. */
  private withDependencies(id: string): SubmittedJob[] {
    const ids = new Set([id]);
    for (const reached of ids) for (const needed of this.submitted.get(reached)!.needs) ids.add(needed);
    return [...ids].map((reached) => this.submitted.get(reached)!);
  }
}
