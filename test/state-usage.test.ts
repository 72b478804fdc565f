/**
 * Use of the write budget of the state service. Guards against writes of results that the end of their job makes
 * superfluous, results that are not written for too long, and submissions refused because of a short delay.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runWarmUp, submitSmall, submitTo } from './sim/pipeline-helpers.js';
import { advance, advanceUntil, jobOf } from './sim/run-helpers.js';
import { GROWN, type Simulation } from './sim/simulation.js';

/** Writes of all controllers so far for one reason. */
const writesFor = (simulation: Simulation, reason: string): number => {
  let writes = 0;
  for (const { controller } of simulation.controllers.values())
    writes += controller!.context.state.usage.snapshot().written[reason] ?? 0;
  return writes;
};

test('an array whose tasks finish in parallel writes its results only at its end', async () => {
  const simulation = await runWarmUp(4);
  // The simulated users no longer submit jobs by then, so that no other job writes results.
  await advance(simulation, 110_000);
  const before = { results: writesFor(simulation, 'results'), end: writesFor(simulation, 'end') };
  const id = simulation.submit({
    kind: 'sweep',
    isNeverCancelled: true,
    tasks: 12,
    staggerMs: 500,
    fields: { cards: 0, vcpus: 1, memoryGb: 1, loaner: true, expectedS: 15 },
  });
  await advanceUntil(simulation, () => jobOf(simulation, id).observedFinalState === 'done', 60_000);
  assert.equal(writesFor(simulation, 'results') - before.results, 0);
  assert.equal(writesFor(simulation, 'end') - before.end, 2);
});

test('results of a long job are written before its end', async () => {
  const simulation = await runWarmUp(4);
  await advance(simulation, 110_000);
  const before = writesFor(simulation, 'results');
  const id = submitSmall(simulation, [], 200, { vcpus: 8, expectedS: 3 });
  await advanceUntil(simulation, () => jobOf(simulation, id).observedFinalState === 'done', 400_000);
  assert.ok(
    writesFor(simulation, 'results') - before >= 3,
    `${writesFor(simulation, 'results') - before} writes of results, expected at least 3`,
  );
});

test('a submission that the write budget delays briefly is accepted; in an outage its user is told at once to retry', async () => {
  const simulation = await runWarmUp(4, GROWN);
  const { budget } = simulation.state;
  for (let i = 0; i < 5; i++) {
    simulation.state.budget = { ...budget, writeRps: 0.01 };
    simulation.time.after(100, () => {
      simulation.state.budget = budget;
    });
    const result = await submitTo(simulation, 'c-0', { nameId: `wk-moment${i}` });
    assert.equal(result.kind, 'accepted');
    await advance(simulation, 2000);
  }
  simulation.state.setOutage(true);
  const start = simulation.time.now;
  const result = await submitTo(simulation, 'c-0', { nameId: 'wk-outage' });
  assert.equal(result.kind, 'later');
  assert.ok(simulation.time.now - start < 200);
});
