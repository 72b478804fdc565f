/** Brings troubles about in a seeded run with work under way, and checks that all comes to its end afterwards. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Worker } from './agents-and-cloud.js';
import type { Node } from './simulated-controller.js';
import { LIMITS, SMALL, quiet, type Sim, type Size } from './simulation.js';

export const LEASE_MS = LIMITS.leaseS * 1000;

/** How many seeds are tried, and how far apart they are, for a run with work under way. */
const MOST_TRIES = 10;
const NEXT_SEED = 100;

/** A run with work under way at 25 s, nothing having gone wrong so far: with this seed, or the first after it that is one. */
export async function begun(seed: number, size: Size = SMALL, packages?: Node['packages']): Promise<Sim> {
  for (let i = 0; i < MOST_TRIES; i++) {
    const sim = await quiet(seed + i * NEXT_SEED, size, 25_000, packages);
    if (sim.running().length >= 3) return sim;
  }
  return assert.fail('several jobs run with no seed');
}

/** Once all is over, every job is answered about, and what ends by itself has ended. */
export async function ends(sim: Sim): Promise<void> {
  sim.quietFrom = sim.world.now;
  const left = () =>
    [...sim.fleet.submitted].filter(([, j]) => j.kind !== 'daemon' && j.toldFinal === null && !j.broken);
  await sim.world.runUntil(Math.max(sim.world.now, 75_000) + 25_000);
  // A backlog may take its time, but not for ever.
  for (let i = 0; i < 50 && left().length > 0; i++) await wait(sim, 2000);
  for (const [id, j] of sim.fleet.submitted)
    assert.ok(sim.world.now - (j.answeredAt ?? 0) < 20_000, `forgotten: nobody answers about ${id}`);
  assert.deepEqual(
    left().map(([id]) => id),
    [],
    'not done long after the last trouble',
  );
}

/** A meeting, played with several seeds from a run under way. */
export function meeting(
  name: string,
  play: (sim: Sim) => Promise<void>,
  seeds: readonly number[] = [3, 8],
  packages?: Node['packages'],
): void {
  for (const seed of seeds)
    test(`${name}, seed ${seed}`, async () => {
      const sim = await begun(seed, SMALL, packages);
      try {
        await play(sim);
        await ends(sim);
      } catch (e) {
        if (e instanceof Error) e.message = `at ${sim.world.now.toFixed(0)} ms: ${e.message}`;
        throw e;
      }
    });
}

export const wait = (sim: Sim, ms: number) => sim.world.runUntil(sim.world.now + ms);
export const all = (sim: Sim) => [...sim.nodes.values()];
export const leads = (sim: Sim): Node => {
  const n = sim.leader();
  assert.ok(n?.controller != null, 'somebody leads');
  return n;
};
export const busy = (sim: Sim): Worker[] => sim.fleet.live().filter((w) => w.tasks.size > 0);
export const calledOff = (sim: Sim) =>
  [...sim.fleet.submitted.values()].filter((j) => j.toldCancelledAt !== null);
