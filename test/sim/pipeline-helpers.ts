/** Helpers of tests with dependent jobs: runs without faults, small jobs without GPUs, requests to a given controller. */
import assert from 'node:assert/strict';
import { jobId } from '../../src/core/model/ids.js';
import { jobFromWire } from '../../src/io/users/job-messages.js';
import { submission } from '../samples.js';
import { advance, advanceUntil, jobOf } from './run-helpers.js';
import { SMALL, runWithoutFaults, type Simulation, type SimulationSize } from './simulation.js';
import type { Json } from './sizes.js';
import { newJob } from './submitted-job.js';

const SMALL_TASK = { cards: 0, vcpus: 1, memoryGb: 1 };
/** Interval at which `waitForAnswer` checks whether the request has ended. */
const ANSWER_POLL_MS = 5;

/** Runs a simulation without faults up to the given simulated time, 15 s by default. */
export function runWarmUp(seed: number, size: SimulationSize = SMALL, ms = 15_000): Promise<Simulation> {
  return runWithoutFaults(seed, size, ms);
}

/** Submits an array job of small tasks that depends on the jobs `needs`; it is never cancelled at random. */
export function submitSmall(
  simulation: Simulation,
  needs: readonly string[],
  tasks = 1,
  fields: Json = {},
): string {
  return simulation.submit({
    kind: 'sweep',
    isNeverCancelled: true,
    tasks,
    needs,
    fields: { ...SMALL_TASK, loaner: true, ...fields },
  });
}

/** Submits an array job of two tasks, the second of which runs `runMs` longer than the first; waits until it is accepted. */
export async function submitLongRunning(
  simulation: Simulation,
  runMs: number,
  fields: Json = {},
): Promise<string> {
  const id = simulation.submit({
    kind: 'sweep',
    isNeverCancelled: true,
    tasks: 2,
    staggerMs: runMs,
    fields: { ...SMALL_TASK, loaner: true, ...fields },
  });
  await advanceUntil(simulation, () => jobOf(simulation, id).accepted, 60_000);
  return id;
}

/** Submits an array job of small tasks as `submitSmall` does, and waits until it is accepted. */
export async function submitAccepted(
  simulation: Simulation,
  needs: readonly string[],
  tasks = 1,
  fields: Json = {},
  timeoutMs = 3000,
): Promise<string> {
  const id = submitSmall(simulation, needs, tasks, fields);
  await advanceUntil(simulation, () => jobOf(simulation, id).accepted, timeoutMs);
  return id;
}

/** Whether the job was reported cancelled and none of its tasks has ended successfully. */
export function isCancelledUnstarted(simulation: Simulation, id: string): boolean {
  const { observedFinalState, doneTasks } = jobOf(simulation, id);
  return observedFinalState === 'cancelled' && doneTasks.size === 0;
}

/**
 * Runs the simulation until the request ends; returns its answer or throws its error. Fails if there is neither within
 * `timeoutMs` of simulated time.
 */
export async function waitForAnswer<T>(
  simulation: Simulation,
  request: Promise<T>,
  timeoutMs = 5000,
): Promise<T> {
  let isOver = false as boolean;
  const watched = request.finally(() => {
    isOver = true;
  });
  watched.catch(() => undefined);
  const end = simulation.time.now + timeoutMs;
  while (simulation.time.now < end && !isOver) await advance(simulation, ANSWER_POLL_MS);
  assert.ok(isOver, `request without an answer within ${timeoutMs} ms`);
  return watched;
}

/** Submits a job to the given controller and returns its answer; no simulated user polls or cancels the job. */
export function submitTo(simulation: Simulation, node: string, fields: Json, timeoutMs?: number) {
  const body = submission({ tenant: 'red', ...SMALL_TASK, ...fields });
  const id = String(body['nameId']);
  if (!simulation.cluster.submitted.has(id))
    simulation.cluster.submitted.set(
      id,
      newJob({
        body,
        kind: String(body['shape']),
        tasks: Number(body['shards']),
        runMs: 2000,
        needs: (body['awaits'] as string[] | undefined) ?? [],
      }),
    );
  const { jobs } = simulation.controllers.get(node)!.controller!;
  return waitForAnswer(simulation, jobs.submit(jobFromWire(body as never)), timeoutMs);
}

/** Looks up a job at the given controller. */
export function findAt(simulation: Simulation, node: string, id: string, timeoutMs?: number) {
  const { jobs } = simulation.controllers.get(node)!.controller!;
  return waitForAnswer(simulation, jobs.find(jobId(id)), timeoutMs);
}
