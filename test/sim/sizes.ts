/** Agent timings, names and sizes of seeded runs, and what tests may set of a job. */
import type { Budget } from './request-bucket.js';

/** A JSON object in its wire format. */
export type Json = Record<string, unknown>;

/** Intervals and timeouts of agents, in seconds, as in the section `workers` of the platform's settings. */
export interface AgentTimings {
  readonly leaseS: number;
  readonly reportS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
  readonly cancelS: number;
}

/** `cancelS` is short since a cancellation is reported only once no task of the job is left. */
export const AGENT_TIMINGS: AgentTimings = {
  leaseS: 8,
  reportS: 1.5,
  gangWaitS: 20,
  gangPeerS: 3,
  cancelS: 0.5,
};
/** Names of the controllers. */
export const NODES = ['c-0', 'c-1', 'c-2'];
/** Names of the zones; controllers are assigned to them round-robin. */
export const ZONES = ['a', 'b'];
/** GPU quota of each team, before it is multiplied by `SimulationSize.quotaFactor`. */
export const TEAMS = new Map([
  ['red', 16],
  ['blue', 12],
  ['green', 20],
]);

/** Size of a run, and the limits of its state service. */
export interface SimulationSize extends Budget {
  /** Factor by which the GPU quotas of the teams are multiplied. */
  readonly quotaFactor: number;
  /** Number of machines that the cloud can rent out in each zone. */
  readonly machinesPerZone: number;
  /** Mean time between two submissions of users. */
  readonly submitIntervalMs: number;
  /** Maximum number of tasks of a random job. */
  readonly maxTasks: number;
  /** Interval of an agent's check for a due heartbeat; longer for thousands of agents. Leases are checked half as often. */
  readonly agentTickMs?: number;
  /** Maximum number of rows in a page of a listing by the state service. */
  readonly pageRows?: number;
  /** Number of steps between two checks of the invariants; 1 by default. */
  readonly checkEverySteps?: number;
}

/** Up to 12 machines. */
export const SMALL: SimulationSize = {
  quotaFactor: 1,
  machinesPerZone: 6,
  submitIntervalMs: 1900,
  maxTasks: 9,
  rps: 300,
  writeRps: 200,
  txnOps: 8,
};

/** Up to 96 machines. Moves, rentals and starts take several transactions each; the write budget is often exhausted. */
export const GROWN: SimulationSize = {
  quotaFactor: 8,
  machinesPerZone: 48,
  submitIntervalMs: 1900,
  maxTasks: 60,
  rps: 120,
  writeRps: 20,
  txnOps: 4,
};

/** Up to 900 machines; the write budget is exhausted for most of the run, and still lets it finish in time. */
export const FLEET: SimulationSize = {
  quotaFactor: 70,
  machinesPerZone: 450,
  submitIntervalMs: 900,
  maxTasks: 150,
  rps: 300,
  writeRps: 80,
  txnOps: 8,
};

/** Up to 4,400 machines. */
export const HUGE: SimulationSize = {
  quotaFactor: 2000,
  machinesPerZone: 2200,
  submitIntervalMs: 4000,
  maxTasks: 20,
  rps: 600,
  writeRps: 500,
  txnOps: 32,
  agentTickMs: 500,
  pageRows: 500,
  checkEverySteps: 2000,
};

/** Properties of a job that a test sets; the others are random. */
export interface JobOverrides {
  readonly kind?: 'sweep' | 'ensemble' | 'daemon';
  readonly tasks?: number;
  /** Run time of each task. */
  readonly runMs?: number;
  /** Additional run time of each task over the task with the next lower index. */
  readonly staggerMs?: number;
  /** Fields of the submitted job, in their wire format. */
  readonly fields?: Json;
  /** Ids of the jobs that the job depends on. */
  readonly needs?: readonly string[];
  /** Whether every task of the job fails on every machine. */
  readonly alwaysFails?: boolean;
  /** Excludes the job from random cancellations by its user. */
  readonly isNeverCancelled?: boolean;
}
