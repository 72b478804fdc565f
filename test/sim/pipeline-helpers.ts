/** What tests of dependent jobs share: a quiet run, small jobs that cost no GPU, and waiting for something to happen. */
import assert from 'node:assert/strict';
import { jobId } from '../../src/core/model/ids.js';
import { jobFromWire } from '../../src/io/users/job-messages.js';
import { submission } from '../samples.js';
import { newJob } from './submitted-job.js';
import { SMALL, runWithoutFaults, type Simulation, type Size } from './simulation.js';

export const runQuietly = (seed: number, size: Size = SMALL, ms = 15_000) => runWithoutFaults(seed, size, ms);
export const advance = (simulation: Simulation, ms: number) =>
  simulation.time.runUntil(simulation.time.now + ms);
export const job = (simulation: Simulation, id: string) => simulation.cluster.submitted.get(id)!;

export async function advanceUntil(simulation: Simulation, what: () => boolean, ms: number): Promise<void> {
  for (const end = simulation.time.now + ms; simulation.time.now < end && !what();)
    await advance(simulation, 50);
  assert.ok(what(), `not within ${ms} ms`);
}

/** Submits an array of small tasks that names the jobs given; nobody calls it off by chance. */
export const submitSmall = (simulation: Simulation, needs: readonly string[], tasks = 1, fields = {}) =>
  simulation.submit({
    kind: 'sweep',
    isNeverCancelled: true,
    tasks,
    needs,
    fields: { cards: 0, vcpus: 1, memoryGb: 1, loaner: true, ...fields },
  });

/** Submits an array whose last task runs for so long, and waits until it is accepted. */
export async function submitRunning(simulation: Simulation, forMs: number, fields = {}): Promise<string> {
  const id = simulation.submit({
    kind: 'sweep',
    isNeverCancelled: true,
    tasks: 2,
    staggerMs: forMs,
    fields: { cards: 0, vcpus: 1, memoryGb: 1, loaner: true, ...fields },
  });
  await advanceUntil(simulation, () => job(simulation, id).accepted, 60_000);
  return id;
}

/** Submits one, and waits until it is accepted. */
export async function accepted(
  simulation: Simulation,
  needs: readonly string[],
  tasks = 1,
  fields = {},
  ms = 3000,
): Promise<string> {
  const id = submitSmall(simulation, needs, tasks, fields);
  await advanceUntil(simulation, () => job(simulation, id).accepted, ms);
  return id;
}

/** Withdrawn for its user, without anything of it having run. */
export const isCancelledUnstarted = (simulation: Simulation, id: string) =>
  job(simulation, id).observedFinalState === 'cancelled' && job(simulation, id).doneTasks.size === 0;

/** Runs the world until a request is answered; the answer, or the error. */
export async function answered<T>(simulation: Simulation, request: Promise<T>, ms = 5000): Promise<T> {
  let over = false as boolean;
  const watched = request.finally(() => {
    over = true;
  });
  watched.catch(() => undefined);
  for (const end = simulation.time.now + ms; simulation.time.now < end && !over;)
    await advance(simulation, 5);
  assert.ok(over, `no answer within ${ms} ms`);
  return watched;
}

/** Submits a job to one controller; nobody asks about it or calls it off by chance. */
export function submitTo(simulation: Simulation, node: string, fields: Record<string, unknown>, ms?: number) {
  const body = submission({ tenant: 'red', cards: 0, vcpus: 1, memoryGb: 1, ...fields });
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
  return answered(simulation, jobs.submit(jobFromWire(body as never)), ms);
}

export const findAt = (simulation: Simulation, node: string, id: string, ms?: number) =>
  answered(simulation, simulation.controllers.get(node)!.controller!.jobs.find(jobId(id)), ms);
