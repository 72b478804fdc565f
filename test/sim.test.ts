// Seeded random runs of whole controllers among stand-ins. SIM_SEED repeats one run, SIM_RUNS sets how many.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GROWN, SMALL, Sim, type Size } from './sim/run.js';

const only = process.env['SIM_SEED'];
const runs = Number(process.env['SIM_RUNS'] ?? 12);
const GROWN_RUNS = Number(process.env['SIM_GROWN'] ?? 3);
const seeds = only === undefined ? [...Array(runs).keys()].map((i) => i + 1) : [Number(only)];

const run = (seed: number, size: Size, label: string) => {
  test(`the rules hold through random troubles, ${label}, seed ${seed}`, async () => {
    const sim = new Sim(seed, size);
    sim.troubles(70_000);
    try {
      await sim.world.runUntil(140_000);
    } catch (e) {
      if (e instanceof Error) e.message = `seed ${seed} at ${sim.world.now.toFixed(0)} ms: ${e.message}`;
      throw e;
    }
    // Long after the last trouble everything has come to its end, and the run was not an empty one.
    assert.ok(sim.fleet.starts > 30, `only ${sim.fleet.starts} starts`);
    const open = [...sim.fleet.submitted].filter(
      ([, j]) => j.kind !== 'daemon' && j.toldFinal === null && !j.broken,
    );
    assert.deepEqual(
      open.map(([id]) => id),
      [],
      `seed ${seed}: not done long after the last trouble`,
    );
  });
};

for (const seed of seeds) run(seed, SMALL, 'small');
for (const seed of seeds.slice(0, GROWN_RUNS)) run(seed, GROWN, 'grown');
