/** What scenario tests ask of a run, and how they let its time pass. */
import assert from 'node:assert/strict';
import { key } from '../../src/core/records/keys.js';
import type { SimulatedAgent } from './simulated-agent.js';
import type { SimulatedController } from './simulated-controller.js';
import type { Simulation } from './simulation.js';
import type { SubmittedJob } from './submitted-job.js';

/** How often a condition that is waited for is checked. */
const CONDITION_POLL_MS = 50;

/** Lets time pass. */
export function advance(simulation: Simulation, ms: number): Promise<void> {
  return simulation.time.runUntil(simulation.time.now + ms);
}

/** Lets time pass until a condition holds; fails where it does not in time. */
export async function advanceUntil(
  simulation: Simulation,
  holds: () => boolean,
  timeoutMs: number,
): Promise<void> {
  const end = simulation.time.now + timeoutMs;
  while (simulation.time.now < end && !holds()) await advance(simulation, CONDITION_POLL_MS);
  assert.ok(holds(), `not within ${timeoutMs} ms`);
}

export function allControllers(simulation: Simulation): SimulatedController[] {
  return [...simulation.controllers.values()];
}

/** Crashes all controllers and starts each at once. */
export function restartAllControllers(simulation: Simulation): void {
  for (const node of allControllers(simulation)) {
    node.crash();
    node.start();
  }
}

/** The controller that leads now; fails where none does. */
export function currentLeader(simulation: Simulation): SimulatedController {
  const node = simulation.leader();
  assert.ok(node?.controller != null, 'a controller leads');
  return node;
}

/** The controller that holds a shard now, as the state service has it. */
export function holderOf(simulation: Simulation, shard: string): string | undefined {
  const record = simulation.state.rows.get(key.shard(shard))?.value as { holder: string } | undefined;
  return record?.holder;
}

/** Agents that hold tasks, ended ones included; all zones by default. */
export function busyAgents(simulation: Simulation, zone?: string): SimulatedAgent[] {
  return simulation.cluster
    .liveAgents()
    .filter((agent) => agent.tasks.size > 0 && (zone === undefined || agent.zone === zone));
}

export function job(simulation: Simulation, id: string): SubmittedJob {
  return simulation.cluster.submitted.get(id)!;
}

/** Jobs whose users were answered that they are cancelled. */
export function cancelledJobs(simulation: Simulation): SubmittedJob[] {
  return [...simulation.cluster.submitted.values()].filter((job) => job.observedCancelledAt !== null);
}

/** Requests the cancellation of up to so many running jobs. */
export function cancelRunningJobs(simulation: Simulation, count: number): void {
  for (const id of simulation.runningJobs().slice(0, count)) simulation.cancel(id);
}
