/** What tests of dependent jobs share: a quiet run, small jobs that cost no GPU, and waiting for something to happen. */
import assert from 'node:assert/strict';
import { jobId } from '../../src/core/model/ids.js';
import { jobFromWire } from '../../src/io/users/job-messages.js';
import { submission } from '../samples.js';
import { newJob } from './submitted-job.js';
import { SMALL, quiet, type Sim, type Size } from './simulation.js';

export const begun = (seed: number, size: Size = SMALL, ms = 15_000) => quiet(seed, size, ms);
export const wait = (sim: Sim, ms: number) => sim.world.runUntil(sim.world.now + ms);
export const job = (sim: Sim, id: string) => sim.fleet.submitted.get(id)!;

export async function until(sim: Sim, what: () => boolean, ms: number): Promise<void> {
  for (const end = sim.world.now + ms; sim.world.now < end && !what();) await wait(sim, 50);
  assert.ok(what(), `not within ${ms} ms`);
}

/** Submits an array of small tasks that names the jobs given; nobody calls it off by chance. */
export const one = (sim: Sim, needs: readonly string[], tasks = 1, fields = {}) =>
  sim.submit({
    kind: 'sweep',
    stays: true,
    tasks,
    needs,
    fields: { cards: 0, vcpus: 1, memoryGb: 1, loaner: true, ...fields },
  });

/** Submits an array whose last task runs for so long, and waits until it is accepted. */
export async function running(sim: Sim, forMs: number, fields = {}): Promise<string> {
  const id = sim.submit({
    kind: 'sweep',
    stays: true,
    tasks: 2,
    apartMs: forMs,
    fields: { cards: 0, vcpus: 1, memoryGb: 1, loaner: true, ...fields },
  });
  await until(sim, () => job(sim, id).accepted, 60_000);
  return id;
}

/** Submits one, and waits until it is accepted. */
export async function accepted(
  sim: Sim,
  needs: readonly string[],
  tasks = 1,
  fields = {},
  ms = 3000,
): Promise<string> {
  const id = one(sim, needs, tasks, fields);
  await until(sim, () => job(sim, id).accepted, ms);
  return id;
}

/** Withdrawn for its user, without anything of it having run. */
export const withdrawn = (sim: Sim, id: string) =>
  job(sim, id).toldFinal === 'cancelled' && job(sim, id).doneTasks.size === 0;

/** Runs the world until a request is answered; the answer, or the error. */
export async function answered<T>(sim: Sim, request: Promise<T>, ms = 5000): Promise<T> {
  let over = false as boolean;
  const watched = request.finally(() => {
    over = true;
  });
  watched.catch(() => undefined);
  for (const end = sim.world.now + ms; sim.world.now < end && !over;) await wait(sim, 5);
  assert.ok(over, `no answer within ${ms} ms`);
  return watched;
}

/** Submits a job to one controller; nobody asks about it or calls it off by chance. */
export function submitTo(sim: Sim, node: string, fields: Record<string, unknown>, ms?: number) {
  const body = submission({ tenant: 'red', cards: 0, vcpus: 1, memoryGb: 1, ...fields });
  const id = String(body['nameId']);
  if (!sim.fleet.submitted.has(id))
    sim.fleet.submitted.set(
      id,
      newJob({
        body,
        kind: String(body['shape']),
        tasks: Number(body['shards']),
        runMs: 2000,
        needs: (body['awaits'] as string[] | undefined) ?? [],
      }),
    );
  const { jobs } = sim.nodes.get(node)!.controller!;
  return answered(sim, jobs.submit(jobFromWire(body as never)), ms);
}

export const findAt = (sim: Sim, node: string, id: string, ms?: number) =>
  answered(sim, sim.nodes.get(node)!.controller!.jobs.find(jobId(id)), ms);
