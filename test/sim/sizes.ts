/** Limits, names and sizes of seeded runs. */
import type { Budget } from './state-service.js';

/** What the platform's settings say of workers. */
export interface Limits {
  readonly leaseS: number;
  readonly reportS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
  readonly cancelS: number;
}

/** A cancellation is said only once nothing of the job is left, so next to no time is allowed here. */
export const LIMITS: Limits = { leaseS: 8, reportS: 1.5, gangWaitS: 20, gangPeerS: 3, cancelS: 0.5 };
/** The controllers. */
export const NODES = ['c-0', 'c-1', 'c-2'];
/** The zones; the controllers are in them by turns. */
export const ZONES = ['a', 'b'];
/** The teams, and the GPUs that each may use at once, times the size. */
export const TEAMS = new Map([
  ['red', 16],
  ['blue', 12],
  ['green', 20],
]);

/** How large a run is; the teams' limits grow with it. */
export interface SimulationSize extends Budget {
  readonly times: number;
  readonly perZone: number;
  /** Users submit a job about this often. */
  readonly everyMs: number;
  readonly mostTasks: number;
  /** How often a worker looks whether it has something to do; slower for thousands of them. */
  readonly workerTickMs?: number;
  /** Rows in a page of a listing. */
  readonly pageRows?: number;
  /** The rules are checked after every so many steps. */
  readonly checkEvery?: number;
}
export const SMALL: SimulationSize = {
  times: 1,
  perZone: 6,
  everyMs: 1900,
  mostTasks: 9,
  rps: 300,
  writeRps: 200,
  txnOps: 8,
};
/** Moves, rentals and starts take several transactions each, and the write budget is often spent. */
export const GROWN: SimulationSize = {
  times: 8,
  perZone: 48,
  everyMs: 1900,
  mostTasks: 60,
  rps: 120,
  writeRps: 20,
  txnOps: 4,
};
/** Room for 900 machines. The budget lets a run come to its end in time, and is spent for most of it all the same. */
export const FLEET: SimulationSize = {
  times: 70,
  perZone: 450,
  everyMs: 900,
  mostTasks: 150,
  rps: 300,
  writeRps: 80,
  txnOps: 8,
};
/** Room for 4,400 machines. */
export const HUGE: SimulationSize = {
  times: 2000,
  perZone: 2200,
  everyMs: 4000,
  mostTasks: 20,
  rps: 600,
  writeRps: 500,
  txnOps: 32,
  workerTickMs: 500,
  pageRows: 500,
  checkEvery: 2000,
};
export type Json = Record<string, unknown>;

/** What a test says of a job. */
export interface JobOverrides {
  readonly kind?: 'sweep' | 'ensemble' | 'daemon';
  readonly tasks?: number;
  /** How long each task runs. */
  readonly runMs?: number;
  /** How much longer each task runs than the one before it. */
  readonly staggerMs?: number;
  readonly fields?: Json;
  readonly needs?: readonly string[];
  /** It was submitted with a mistake and fails on every machine. */
  readonly alwaysFails?: boolean;
  /** Its user does not call it off by chance. */
  readonly isNeverCancelled?: boolean;
}
