/**
 * Dozens of jobs of a single small task that are submitted together and fit on one machine. A transaction for each
 * would use up the request rate of the state service, and one for all would exceed its limit on operations.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { advance } from './sim/run-helpers.js';
import { SMALL, runWithoutFaults } from './sim/simulation.js';

describe('jobs of a single small task', () => {
  it('dozens of small jobs that fit on one machine share transactions within the limits of the state service and finish', async () => {
    const simulation = await runWithoutFaults(3, { ...SMALL, submitIntervalMs: 1e9, txnOps: 4 }, 5000);
    const ids = [...Array(60).keys()].map(() =>
      simulation.submit({
        kind: 'sweep',
        tasks: 1,
        runMs: 20_000,
        isNeverCancelled: true,
        fields: { tenant: 'red', vcpus: 0.25, cards: 0, memoryGb: 0.25, vault: null },
      }),
    );
    const requestsBefore = simulation.state.counts.requests;
    await advance(simulation, 2000);
    assert.ok(ids.every((id) => simulation.cluster.submitted.get(id)!.accepted));
    assert.ok(
      simulation.state.counts.requests - requestsBefore < 200,
      'submissions that arrive together must share transactions',
    );
    await advance(simulation, 60_000);
    assert.equal(
      simulation.state.oversizedTransactions,
      0,
      'transactions above a limit of the state service',
    );
    assert.deepEqual(
      ids.filter((id) => simulation.cluster.submitted.get(id)!.observedFinalState !== 'done'),
      [],
    );
  });
});
