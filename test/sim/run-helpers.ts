/** Helpers of tests that run simulations: they let time pass, and find, restart or cancel what a test needs. */
import assert from 'node:assert/strict';
import { key } from '../../src/core/records/keys.js';
import type { SimulatedAgent } from './simulated-agent.js';
import type { SimulatedController } from './simulated-controller.js';
import type { Simulation } from './simulation.js';
import type { SubmittedJob } from './submitted-job.js';

/** Interval at which `advanceUntil` checks its condition. */
const CONDITION_POLL_MS = 50;

/** Runs the simulation for `ms` of simulated time. */
export function advance(simulation: Simulation, ms: number): Promise<void> {
  return simulation.time.runUntil(simulation.time.now + ms);
}

/** Runs the simulation until the condition holds; fails if it does not within `timeoutMs` of simulated time. */
export async function advanceUntil(
  simulation: Simulation,
  holds: () => boolean,
  timeoutMs: number,
): Promise<void> {
  const end = simulation.time.now + timeoutMs;
  while (simulation.time.now < end && !holds()) await advance(simulation, CONDITION_POLL_MS);
  assert.ok(holds(), `condition not met within ${timeoutMs} ms`);
}

export function allControllers(simulation: Simulation): SimulatedController[] {
  return [...simulation.controllers.values()];
}

/** Crashes all controllers one after the other, and starts each again at once. */
export function restartAllControllers(simulation: Simulation): void {
  for (const node of allControllers(simulation)) {
    node.crash();
    node.start();
  }
}

/** The controller that leads now, according to the state service; fails if none does or if it is down. */
export function currentLeader(simulation: Simulation): SimulatedController {
  const node = simulation.leader();
  assert.ok(node?.controller != null, 'no running controller leads');
  return node;
}

/** Name of the controller that holds a shard now, according to the state service; undefined if none does. */
export function holderOf(simulation: Simulation, shard: string): string | undefined {
  const record = simulation.state.rows.get(key.shard(shard))?.value as { holder: string } | undefined;
  return record?.holder;
}

/** Live agents that hold tasks, including ended ones whose exit is not confirmed; of all zones by default. */
export function busyAgents(simulation: Simulation, zone?: string): SimulatedAgent[] {
  return simulation.cluster
    .liveAgents()
    .filter((agent) => agent.tasks.size > 0 && (zone === undefined || agent.zone === zone));
}

/** A job that a user of the run has submitted. */
export function jobOf(simulation: Simulation, id: string): SubmittedJob {
  return simulation.cluster.submitted.get(id)!;
}

/** Jobs that were reported as cancelled to their users. */
export function cancelledJobs(simulation: Simulation): SubmittedJob[] {
  return [...simulation.cluster.submitted.values()].filter((job) => job.observedCancelledAt !== null);
}

/** Requests the cancellation of up to `count` running jobs, those with most tasks first. */
export function cancelRunningJobs(simulation: Simulation, count: number): void {
  for (const id of simulation.runningJobs().slice(0, count)) simulation.cancel(id);
}
