/** Jobs of a single small task that come by the dozen. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { advance } from './sim/run-helpers.js';
import { SMALL, runWithoutFaults } from './sim/simulation.js';

describe('jobs of a single small task', () => {
  it('dozens of small jobs start on one machine, in transactions within the limits of the state service', async () => {
    const simulation = await runWithoutFaults(3, { ...SMALL, everyMs: 1e9, txnOps: 4 }, 5000);
    const ids = [...Array(60).keys()].map(() =>
      simulation.submit({
        kind: 'sweep',
        tasks: 1,
        runMs: 20_000,
        isNeverCancelled: true,
        fields: { tenant: 'red', vcpus: 0.25, cards: 0, memoryGb: 0.25, vault: null },
      }),
    );
    const before = simulation.state.counts.requests;
    await advance(simulation, 2000);
    assert.ok(ids.every((id) => simulation.cluster.submitted.get(id)!.accepted));
    assert.ok(simulation.state.counts.requests - before < 200, 'those that come together share transactions');
    await advance(simulation, 60_000);
    assert.equal(simulation.state.oversizedTransactions, 0, 'changes above a limit');
    assert.deepEqual(
      ids.filter((id) => simulation.cluster.submitted.get(id)!.observedFinalState !== 'done'),
      [],
    );
  });
});
