/** Which tasks are stopped for others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import { selectVictims } from '../src/core/placement/preemption.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { allocated, job, teams } from './planning.js';
import { machine, types } from './samples.js';

const victimsFor = (wanted: JobRecord, others: JobRecord[], machines: MachineRecord[]) =>
  selectVictims({
    job: wanted.spec,
    jobs: new Map([wanted, ...others].map((j) => [j.spec.id, j])),
    machines,
    totals: new AllocationTotals(machines, types, teams),
    teams,
    isClaimed: () => false,
  });

test('tasks of equal or higher priority are not stopped, unless they are beyond the guarantee of their team', () => {
  const wanted = job('wk-1', { shape: 'daemon', tier: 'standard', shards: 1 });
  const same = job('wk-2', { tier: 'standard', tenant: 'blue', shards: 4 });
  // Blue uses exactly its guarantee of four.
  assert.equal(victimsFor(wanted, [same], [machine('n-1', [allocated(same, 0, 1, 2, 3)])]), null);
  // With one more it is beyond it, and red has nothing yet of its own.
  const more = job('wk-3', { tier: 'production', tenant: 'blue', shards: 1 });
  const found = victimsFor(
    wanted,
    [same, more],
    [machine('n-1', [allocated(same, 0, 1, 2, 3)]), machine('n-2', [allocated(more, 0)])],
  );
  assert.equal(found?.machine.name, 'n-1');
});

test('the cheapest victims of lower priority are stopped, services never', () => {
  const wanted = job('wk-1', { shape: 'daemon', tier: 'production', shards: 1, tenant: 'red' });
  const savable = job('wk-2', { tier: 'low', shards: 4, snapshotEveryS: 10, snapshotS: 2 });
  const lost = job('wk-3', { tier: 'low', shards: 4, snapshotEveryS: 0, expectedS: 300 });
  const service = job('wk-4', { tier: 'low', shape: 'daemon', shards: 4 });
  const found = victimsFor(
    wanted,
    [savable, lost, service],
    [
      machine('n-1', [allocated(lost, 0, 1), allocated(service, 0, 1)]),
      machine('n-2', [allocated(savable, 0, 1, 2, 3)]),
      machine('n-3', [allocated(service, 2, 3), allocated(lost, 2, 3)]),
    ],
  );
  assert.equal(found?.machine.name, 'n-2');
  assert.deepEqual(
    found.victims.map((v) => v.job),
    ['wk-2'],
  );
  assert.equal(victimsFor(wanted, [service], [machine('n-1', [allocated(service, 0, 1, 2, 3)])]), null);
});
