/** Fault scenarios: faults are injected into a run that has jobs running, and all jobs must finish afterwards. */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { advance } from './run-helpers.js';
import type { SimulatedController } from './simulated-controller.js';
import {
  AGENT_TIMINGS,
  SMALL,
  runWithoutFaults,
  type Simulation,
  type SimulationSize,
} from './simulation.js';

/** Length of an agent's lease in seeded runs. An agent whose lease expires kills its tasks. */
export const LEASE_MS = AGENT_TIMINGS.leaseS * 1000;

/** Number of jobs that must be running when a scenario begins. */
const MIN_RUNNING_JOBS = 3;
/** Simulated time at which a scenario begins. */
const SCENARIO_START_MS = 25_000;
/** Number of seeds that are tried until a run has enough running jobs. */
const MAX_TRIES = 10;
/** Difference between the seeds that are tried. */
const SEED_STEP = 100;
/** Simulated time from which on users submit no jobs by themselves. */
const SUBMISSIONS_END_MS = 75_000;
/** Time in which all jobs should finish after the last fault and the last submission. */
const FINISH_MS = 25_000;
/** Number of further steps that a backlog of jobs may take to finish. */
const MAX_EXTRA_STEPS = 50;
const EXTRA_STEP_MS = 2000;
/** Longest time since a user last got an answer about a job; a job without an answer for longer counts as forgotten. */
const MAX_UNANSWERED_MS = 20_000;
const DEFAULT_SEEDS = [3, 8];

/**
 * Runs a simulation without faults up to 25 s, and returns it if enough jobs are running by then. Otherwise further seeds
 * are tried, at a fixed distance; fails if none is suitable.
 */
export async function runUntilBusy(
  seed: number,
  size: SimulationSize = SMALL,
  plugins?: SimulatedController['plugins'],
): Promise<Simulation> {
  for (let i = 0; i < MAX_TRIES; i++) {
    const simulation = await runWithoutFaults(seed + i * SEED_STEP, size, SCENARIO_START_MS, plugins);
    if (simulation.runningJobs().length >= MIN_RUNNING_JOBS) return simulation;
  }
  return assert.fail(
    `${MAX_TRIES} seeds tried from ${seed} on, none has ${MIN_RUNNING_JOBS} running jobs at ${SCENARIO_START_MS} ms`,
  );
}

/**
 * Lets time pass after the last fault; then checks that users still get answers about every job, and that all jobs have
 * finished except services and jobs that always fail.
 */
export async function expectAllJobsFinish(simulation: Simulation): Promise<void> {
  const { time, cluster, starvation } = simulation;
  starvation.faultsOverAt = time.now;
  await time.runUntil(Math.max(time.now, SUBMISSIONS_END_MS) + FINISH_MS);
  for (let i = 0; i < MAX_EXTRA_STEPS && unfinishedJobs(simulation).length > 0; i++)
    await advance(simulation, EXTRA_STEP_MS);
  for (const [id, { answeredAt }] of cluster.submitted)
    assert.ok(
      time.now - (answeredAt ?? 0) < MAX_UNANSWERED_MS,
      `forgotten: no controller has answered about ${id} for ${MAX_UNANSWERED_MS} ms`,
    );
  assert.deepEqual(unfinishedJobs(simulation), [], 'jobs not finished long after the last fault');
}

/**
 * Defines a test for each seed: it injects faults into a run that has jobs running, and expects that all jobs finish. The
 * invariants of the simulation are checked throughout; errors are prefixed with the simulated time.
 */
export function faultScenario(
  name: string,
  inject: (simulation: Simulation) => Promise<void>,
  seeds: readonly number[] = DEFAULT_SEEDS,
  plugins?: SimulatedController['plugins'],
): void {
  for (const seed of seeds)
    it(`${name}, seed ${seed}`, async () => {
      const simulation = await runUntilBusy(seed, SMALL, plugins);
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
