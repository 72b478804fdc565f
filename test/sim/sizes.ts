/** Limits, names and sizes of seeded runs. */
import type { Budget } from './request-bucket.js';

/** JSON as it goes over the wire. */
export type Json = Record<string, unknown>;

/** What the platform's settings say of agents. */
export interface Limits {
  readonly leaseS: number;
  readonly reportS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
  readonly cancelS: number;
}

/** A cancellation is reported only once no task of the job is left, so next to no time is allowed for it. */
export const LIMITS: Limits = { leaseS: 8, reportS: 1.5, gangWaitS: 20, gangPeerS: 3, cancelS: 0.5 };
/** The controllers. */
export const NODES = ['c-0', 'c-1', 'c-2'];
/** The zones; the controllers are in them in turn. */
export const ZONES = ['a', 'b'];
/** The teams, and the GPUs that each may use at once, times the size. */
export const TEAMS = new Map([
  ['red', 16],
  ['blue', 12],
  ['green', 20],
]);

/** How large a run is; the teams' limits grow with it. */
export interface SimulationSize extends Budget {
  /** Multiplies the quotas of the teams. */
  readonly times: number;
  /** Machines that the cloud has in each zone. */
  readonly perZone: number;
  /** Users submit a job about this often. */
  readonly everyMs: number;
  /** The most tasks of a random job. */
  readonly mostTasks: number;
  /** How often an agent looks whether it has something to do; slower for thousands of them. */
  readonly agentTickMs?: number;
  /** Rows in a page of a listing. */
  readonly pageRows?: number;
  /** The invariants are checked after every so many steps. */
  readonly checkEvery?: number;
}

/** Two zones of six machines. */
export const SMALL: SimulationSize = {
  times: 1,
  perZone: 6,
  everyMs: 1900,
  mostTasks: 9,
  rps: 300,
  writeRps: 200,
  txnOps: 8,
};

/** Moves, rentals and starts take several transactions each, and the write budget is often exhausted. */
export const GROWN: SimulationSize = {
  times: 8,
  perZone: 48,
  everyMs: 1900,
  mostTasks: 60,
  rps: 120,
  writeRps: 20,
  txnOps: 4,
};

/** Up to 900 machines; the write budget is exhausted for most of the run, and still lets it finish in time. */
export const FLEET: SimulationSize = {
  times: 70,
  perZone: 450,
  everyMs: 900,
  mostTasks: 150,
  rps: 300,
  writeRps: 80,
  txnOps: 8,
};

/** Up to 4,400 machines. */
export const HUGE: SimulationSize = {
  times: 2000,
  perZone: 2200,
  everyMs: 4000,
  mostTasks: 20,
  rps: 600,
  writeRps: 500,
  txnOps: 32,
  agentTickMs: 500,
  pageRows: 500,
  checkEvery: 2000,
};

/** What a test sets of a job; the rest is random. */
export interface JobOverrides {
  readonly kind?: 'sweep' | 'ensemble' | 'daemon';
  readonly tasks?: number;
  /** How long each task runs. */
  readonly runMs?: number;
  /** How much longer each task runs than the one before it. */
  readonly staggerMs?: number;
  readonly fields?: Json;
  readonly needs?: readonly string[];
  /** It has a mistake and fails on every machine. */
  readonly alwaysFails?: boolean;
  /** Its user does not cancel it at random. */
  readonly isNeverCancelled?: boolean;
}
