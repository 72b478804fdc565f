/** Jobs of a single small task that come by the dozen. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SMALL, quiet } from './sim/simulation.js';
import { wait } from './sim/fault-scenario.js';

test('dozens of small jobs start on one machine, by changes that the state service takes', async () => {
  const sim = await quiet(3, { ...SMALL, everyMs: 1e9, txnOps: 4 }, 5000);
  const ids = [...Array(60).keys()].map(() =>
    sim.submit({
      kind: 'sweep',
      tasks: 1,
      runMs: 20_000,
      stays: true,
      fields: { tenant: 'red', vcpus: 0.25, cards: 0, memoryGb: 0.25, vault: null },
    }),
  );
  const before = sim.state.counts.requests;
  await wait(sim, 2000);
  assert.ok(ids.every((id) => sim.fleet.submitted.get(id)!.accepted));
  assert.ok(sim.state.counts.requests - before < 200, 'those that come together share transactions');
  await wait(sim, 60_000);
  assert.equal(sim.state.tooLarge, 0, 'changes above a limit');
  assert.deepEqual(
    ids.filter((id) => sim.fleet.submitted.get(id)!.toldFinal !== 'done'),
    [],
  );
});
