/** Scenarios: faults injected into a run with work under way, after which all jobs must finish. */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { advance } from './run-helpers.js';
import type { SimulatedController } from './simulated-controller.js';
import { LIMITS, SMALL, runWithoutFaults, type Simulation, type SimulationSize } from './simulation.js';

export const LEASE_MS = LIMITS.leaseS * 1000;

/** Jobs that must run when a scenario begins, and when it does. */
const MIN_RUNNING_JOBS = 3;
const SCENARIO_START_MS = 25_000;
/** How many seeds are tried for a run with work under way, and their distance. */
const MAX_TRIES = 10;
const SEED_STEP = 100;
/** The end of the users' submissions, and the time in which all jobs should finish after it. */
const SUBMISSIONS_OVER_MS = 75_000;
const FINISH_MS = 25_000;
/** A backlog may take so many steps longer. */
const MAX_EXTRA_STEPS = 50;
const EXTRA_STEP_MS = 2000;
/** Every job must have been answered about within this time. */
const MAX_UNANSWERED_MS = 20_000;
const DEFAULT_SEEDS = [3, 8];

/** A run without faults and with work under way at 25 s, of this seed or the first suitable one after it. */
export async function runUntilBusy(
  seed: number,
  size: SimulationSize = SMALL,
  packages?: SimulatedController['packages'],
): Promise<Simulation> {
  for (let i = 0; i < MAX_TRIES; i++) {
    const simulation = await runWithoutFaults(seed + i * SEED_STEP, size, SCENARIO_START_MS, packages);
    if (simulation.runningJobs().length >= MIN_RUNNING_JOBS) return simulation;
  }
  return assert.fail('several jobs run with no seed');
}

/** Checks that after the faults controllers answer about every job, and all jobs that end by themselves finish. */
export async function expectAllJobsFinish(simulation: Simulation): Promise<void> {
  const { time, cluster, starvation } = simulation;
  starvation.faultsOverAt = time.now;
  await time.runUntil(Math.max(time.now, SUBMISSIONS_OVER_MS) + FINISH_MS);
  for (let i = 0; i < MAX_EXTRA_STEPS && unfinishedJobs(simulation).length > 0; i++)
    await advance(simulation, EXTRA_STEP_MS);
  for (const [id, { answeredAt }] of cluster.submitted)
    assert.ok(time.now - (answeredAt ?? 0) < MAX_UNANSWERED_MS, `forgotten: nobody answers about ${id}`);
  assert.deepEqual(unfinishedJobs(simulation), [], 'not done long after the last fault');
}

/** Defines one test a seed: injects faults into a run with work under way, then expects that all jobs finish. */
export function faultScenario(
  name: string,
  inject: (simulation: Simulation) => Promise<void>,
  seeds: readonly number[] = DEFAULT_SEEDS,
  packages?: SimulatedController['packages'],
): void {
  for (const seed of seeds)
    it(`${name}, seed ${seed}`, async () => {
      const simulation = await runUntilBusy(seed, SMALL, packages);
      try {
        await inject(simulation);
        await expectAllJobsFinish(simulation);
      } catch (error) {
        if (error instanceof Error)
          error.message = `at ${simulation.time.now.toFixed(0)} ms: ${error.message}`;
        throw error;
      }
    });
}

function unfinishedJobs(simulation: Simulation): string[] {
  return [...simulation.cluster.submitted]
    .filter(([, job]) => job.kind !== 'daemon' && job.observedFinalState === null && !job.alwaysFails)
    .map(([id]) => id);
}
