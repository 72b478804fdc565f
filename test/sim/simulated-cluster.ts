/** The simulated machines of a run: the cloud that rents them, their agents, and the invariants of what runs on them. */
import type { HttpResponse } from '../../src/io/http-client.js';
import { checkNoCancelledTaskRuns, checkTaskStart } from './placement-invariants.js';
import { SimulatedAgent } from './simulated-agent.js';
import { SimulatedCloud, type SimulatedMachine } from './simulated-cloud.js';
import type { SimulatedTask } from './simulated-task.js';
import type { Json, Limits } from './sizes.js';
import { starvedJobs } from './starved-jobs.js';
import type { SubmittedJob } from './submitted-job.js';
import { TaskPlacements } from './task-placements.js';
import type { VirtualTime } from './virtual-time.js';

const DEFAULT_AGENT_TICK_MS = 100;
/** Agents notice the loss of a gang's task at the earliest after so long. */
const MIN_GANG_NOTICE_S = 0.2;

/** Carries a heartbeat to a controller, and its answer back. */
export type SendToController = (
  agent: SimulatedAgent,
  node: string,
  heartbeat: Json,
  done: (response: HttpResponse) => void,
) => void;

/** What a cluster is made of. */
export interface SimulatedClusterOptions {
  readonly time: VirtualTime;
  /** The controllers that agents may talk to. */
  readonly nodes: readonly string[];
  readonly limits: Limits;
  /** GPUs that each team may use at once. */
  readonly quota: ReadonlyMap<string, number>;
  readonly machinesPerZone: number;
  readonly sendToController: SendToController;
  /** Where a machine's agent takes direct commands; by default the machine's name. */
  readonly endpointOf?: (name: string) => string;
  /** How often an agent looks whether it has something to do. */
  readonly agentTickMs?: number | undefined;
}

export class SimulatedCluster {
  readonly time: VirtualTime;
  readonly nodes: readonly string[];
  readonly limits: Limits;
  readonly quota: ReadonlyMap<string, number>;
  readonly sendToController: SendToController;
  readonly endpointOf: (name: string) => string;
  readonly agentTickMs: number;
  readonly cloud: SimulatedCloud;
  /** All jobs that users have submitted, accepted or not. */
  readonly submitted = new Map<string, SubmittedJob>();
  readonly placements = new TaskPlacements();
  /** Tasks started so far. */
  starts = 0;
  /** Tasks killed because a lease ran out. */
  tasksLostToLeaseExpiry = 0;
  /** Called at the moment at which a job's last task ends. */
  onLastTaskDone: (id: string) => void = () => undefined;

  constructor(options: SimulatedClusterOptions) {
    this.time = options.time;
    this.nodes = options.nodes;
    this.limits = options.limits;
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

  /** The machines that the cloud has rented out. */
  get machines(): Map<string, SimulatedMachine> {
    return this.cloud.machines;
  }

  liveAgents(): SimulatedAgent[] {
    return [...this.machines.values()].flatMap(({ agent }) =>
      agent === null || agent.isTerminated ? [] : [agent],
    );
  }

  /** Accepted jobs of which nothing runs though there is room. */
  starvedJobs(): string[] {
    return starvedJobs(this, this.liveAgents());
  }

  /** Checks the invariants of a start and records it. */
  recordTaskStart(agent: SimulatedAgent, task: SimulatedTask): void {
    this.starts++;
    checkTaskStart(this, agent, task);
  }

  /** Removes a task from its machine; a gang ends as a whole. */
  recordTaskExit(agent: SimulatedAgent, task: SimulatedTask, exitCause: string): void {
    if (!this.placements.remove(agent, task) || task.job.kind !== 'ensemble') return;
    if (exitCause === 'done') this.endRunningGang(task, 'done');
    else if (exitCause !== 'incomplete')
      this.time.after(this.time.real(MIN_GANG_NOTICE_S, this.limits.gangPeerS) * 1000, () => {
        this.endRunningGang(task, 'peers');
      });
  }

  /** Runs the gang of a task once all of its tasks wait. */
  startGangIfComplete(task: SimulatedTask): void {
    const waiting = this.placements.gangOf(task).filter(([, member]) => member.state === 'waiting');
    if (waiting.length < task.job.tasks) return;
    for (const [agent, member] of waiting) agent.runTask(member);
  }

  /** Fails where a task still runs though its job's cancellation was reported. */
  checkNoCancelledTaskRuns(): void {
    checkNoCancelledTaskRuns(this.placements, this.time.now, this.limits.cancelS * 1000);
  }

  /** When the cancellation of the job, or of one that it depends on, was first reported; infinite where none was. */
  cancelledFrom(id: string): number {
    const times = this.withDependencies(id).map((job) => job.observedCancelledAt ?? Number.POSITIVE_INFINITY);
    return Math.min(...times);
  }

  /** Whether the user of the job, or of one that it depends on, has asked for its cancellation. */
  isCancellationRequested(id: string): boolean {
    return this.withDependencies(id).some((job) => job.isCancellationRequested);
  }

  private endRunningGang(task: SimulatedTask, exitCause: string): void {
    for (const [agent, member] of this.placements.gangOf(task))
      if (member.state === 'running' && !agent.isTerminated) agent.endTask(member, exitCause);
  }

  /** The job and all that it depends on, directly or through others. */
  private withDependencies(id: string): SubmittedJob[] {
    const ids = new Set([id]);
    for (const reached of ids) for (const needed of this.submitted.get(reached)!.needs) ids.add(needed);
    return [...ids].map((reached) => this.submitted.get(reached)!);
  }
}
