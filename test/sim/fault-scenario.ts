/** Brings troubles about in a seeded run with work under way, and checks that all comes to its end afterwards. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedAgent } from './agents-and-cloud.js';
import type { SimulatedController } from './simulated-controller.js';
import { LIMITS, SMALL, runWithoutFaults, type Simulation, type Size } from './simulation.js';

export const LEASE_MS = LIMITS.leaseS * 1000;

/** How many seeds are tried, and how far apart they are, for a run with work under way. */
const MOST_TRIES = 10;
const NEXT_SEED = 100;

/** A run with work under way at 25 s, nothing having gone wrong so far: with this seed, or the first after it that is one. */
export async function runUntilBusy(
  seed: number,
  size: Size = SMALL,
  packages?: SimulatedController['packages'],
): Promise<Simulation> {
  for (let i = 0; i < MOST_TRIES; i++) {
    const simulation = await runWithoutFaults(seed + i * NEXT_SEED, size, 25_000, packages);
    if (simulation.runningJobs().length >= 3) return simulation;
  }
  return assert.fail('several jobs run with no seed');
}

/** Once all is over, every job is answered about, and what ends by itself has ended. */
export async function expectAllJobsFinish(simulation: Simulation): Promise<void> {
  simulation.faultsOverAt = simulation.time.now;
  const left = () =>
    [...simulation.cluster.submitted].filter(
      ([, j]) => j.kind !== 'daemon' && j.observedFinalState === null && !j.alwaysFails,
    );
  await simulation.time.runUntil(Math.max(simulation.time.now, 75_000) + 25_000);
  // A backlog may take its time, but not for ever.
  for (let i = 0; i < 50 && left().length > 0; i++) await advance(simulation, 2000);
  for (const [id, j] of simulation.cluster.submitted)
    assert.ok(simulation.time.now - (j.answeredAt ?? 0) < 20_000, `forgotten: nobody answers about ${id}`);
  assert.deepEqual(
    left().map(([id]) => id),
    [],
    'not done long after the last trouble',
  );
}

/** A meeting, played with several seeds from a run under way. */
export function faultScenario(
  name: string,
  play: (simulation: Simulation) => Promise<void>,
  seeds: readonly number[] = [3, 8],
  packages?: SimulatedController['packages'],
): void {
  for (const seed of seeds)
    test(`${name}, seed ${seed}`, async () => {
      const simulation = await runUntilBusy(seed, SMALL, packages);
      try {
        await play(simulation);
        await expectAllJobsFinish(simulation);
      } catch (e) {
        if (e instanceof Error) e.message = `at ${simulation.time.now.toFixed(0)} ms: ${e.message}`;
        throw e;
      }
    });
}

export const advance = (simulation: Simulation, ms: number) =>
  simulation.time.runUntil(simulation.time.now + ms);
export const allControllers = (simulation: Simulation) => [...simulation.controllers.values()];
export const currentLeader = (simulation: Simulation): SimulatedController => {
  const n = simulation.leader();
  assert.ok(n?.controller != null, 'somebody leads');
  return n;
};
export const busyAgents = (simulation: Simulation): SimulatedAgent[] =>
  simulation.cluster.liveAgents().filter((w) => w.tasks.size > 0);
export const cancelledJobs = (simulation: Simulation) =>
  [...simulation.cluster.submitted.values()].filter((j) => j.observedCancelledAt !== null);
