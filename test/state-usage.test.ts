/** What changes of the state service are spent on. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { begun, job, one, submitTo, until, wait } from './sim/pipeline-helpers.js';
import { GROWN, type Sim } from './sim/simulation.js';

/** Changes written so far for one reason, by all controllers. */
const written = (sim: Sim, reason: string): number => {
  let sum = 0;
  for (const n of sim.nodes.values())
    sum += n.controller!.context.state.usage.snapshot().written[reason] ?? 0;
  return sum;
};

test('an array whose tasks end beside one another costs no change for results but that of its end', async () => {
  const sim = await begun(4);
  // Later than its users submit anything by themselves, so that nothing else writes results.
  await wait(sim, 110_000);
  const before = { results: written(sim, 'results'), end: written(sim, 'end') };
  const id = sim.submit({
    kind: 'sweep',
    stays: true,
    tasks: 12,
    apartMs: 500,
    fields: { cards: 0, vcpus: 1, memoryGb: 1, loaner: true, expectedS: 15 },
  });
  await until(sim, () => job(sim, id).toldFinal === 'done', 60_000);
  assert.equal(written(sim, 'results') - before.results, 0);
  assert.equal(written(sim, 'end') - before.end, 2);
});

test('results of a job that runs for long are written all the same', async () => {
  const sim = await begun(4);
  await wait(sim, 110_000);
  const before = written(sim, 'results');
  const id = one(sim, [], 200, { vcpus: 8, expectedS: 3 });
  await until(sim, () => job(sim, id).toldFinal === 'done', 400_000);
  assert.ok(written(sim, 'results') - before >= 3, `${written(sim, 'results') - before}`);
});

test('a submission that the budget refuses for a moment is accepted; in an outage it is refused at once', async () => {
  const sim = await begun(4, GROWN);
  const { budget } = sim.state;
  for (let i = 0; i < 5; i++) {
    sim.state.budget = { ...budget, writeRps: 0.01 };
    sim.world.after(100, () => {
      sim.state.budget = budget;
    });
    const r = await submitTo(sim, 'c-0', { nameId: `wk-moment${i}` });
    assert.equal(r.kind, 'accepted');
    await wait(sim, 2000);
  }
  sim.state.setOutage(true);
  const start = sim.world.now;
  const r = await submitTo(sim, 'c-0', { nameId: 'wk-outage' });
  assert.equal(r.kind, 'later');
  assert.ok(sim.world.now - start < 200);
});
