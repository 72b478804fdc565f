/**
 * Which tasks are preempted for a job that finds no room. Guards against stopping tasks whose team is within its
 * guarantee, services, and tasks that lose more work than others would.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MachineRooms } from '../src/controller/machine-rooms.js';
import { RecordBudget } from '../src/controller/record-budget.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import { selectVictims, type PreemptionInput } from '../src/core/placement/preemption.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { machine, types } from './samples.js';
import { AMPLE_ROOM, allocated, job, teams } from './scheduling-samples.js';

const victimsFor = (
  preemptor: JobRecord,
  others: JobRecord[],
  machines: MachineRecord[],
  roomOf: PreemptionInput['roomOf'] = () => AMPLE_ROOM,
) =>
  selectVictims({
    job: preemptor.spec,
    jobs: new Map([preemptor, ...others].map((j) => [j.spec.id, j])),
    machines,
    totals: new AllocationTotals(machines, types, teams),
    teams,
    roomOf,
    isClaimed: () => false,
  });

test('tasks of equal or higher priority are not preempted, unless their team is beyond its guarantee', () => {
  const preemptor = job('wk-1', { shape: 'daemon', tier: 'standard', shards: 1 });
  const samePriority = job('wk-2', { tier: 'standard', tenant: 'blue', shards: 4 });
  // Team blue uses exactly its guarantee of 4 GPUs.
  assert.equal(
    victimsFor(preemptor, [samePriority], [machine('n-1', [allocated(samePriority, 0, 1, 2, 3)])]),
    null,
  );
  // With one more task blue is beyond its guarantee, while red uses nothing of its own yet.
  const beyondGuarantee = job('wk-3', { tier: 'production', tenant: 'blue', shards: 1 });
  const found = victimsFor(
    preemptor,
    [samePriority, beyondGuarantee],
    [machine('n-1', [allocated(samePriority, 0, 1, 2, 3)]), machine('n-2', [allocated(beyondGuarantee, 0)])],
  );
  assert.equal(found?.machine.name, 'n-1');
});

test('the victims of lower priority with the lowest preemption cost are chosen, services never', () => {
  const preemptor = job('wk-1', { shape: 'daemon', tier: 'production', shards: 1, tenant: 'red' });
  const withCheckpoints = job('wk-2', { tier: 'low', shards: 4, snapshotEveryS: 10, snapshotS: 2 });
  const withoutCheckpoints = job('wk-3', { tier: 'low', shards: 4, snapshotEveryS: 0, expectedS: 300 });
  const service = job('wk-4', { tier: 'low', shape: 'daemon', shards: 4 });
  const found = victimsFor(
    preemptor,
    [withCheckpoints, withoutCheckpoints, service],
    [
      machine('n-1', [allocated(withoutCheckpoints, 0, 1), allocated(service, 0, 1)]),
      machine('n-2', [allocated(withCheckpoints, 0, 1, 2, 3)]),
      machine('n-3', [allocated(service, 2, 3), allocated(withoutCheckpoints, 2, 3)]),
    ],
  );
  assert.equal(found?.machine.name, 'n-2');
  assert.deepEqual(
    found.victims.map((v) => v.job),
    ['wk-2'],
  );
  assert.equal(victimsFor(preemptor, [service], [machine('n-1', [allocated(service, 0, 1, 2, 3)])]), null);
});

// Such a job waited as long as the others ran: the machine seemed to have room for it (as in review/6).
test('tasks are preempted for a job that has the resources it needs, but no room in the messages about the machine', () => {
  const small = { vcpus: 0.01, cards: 0, memoryGb: 0.01 };
  const preemptor = job('wk-1', { shape: 'daemon', tier: 'production', shards: 1, ...small });
  const low = job('wk-2', { tier: 'low', shards: 751, ...small });
  const rooms = new MachineRooms(new RecordBudget(8 * 1024));
  const roomOf = (each: MachineRecord) => rooms.roomOf(each, null);
  const full = machine('n-1', [allocated(low, ...Array(751).keys())]);
  assert.ok(roomOf(full).reportBytes < 100, `the agent has ${roomOf(full).reportBytes} bytes left to report`);
  const victims = victimsFor(preemptor, [low], [full], roomOf)?.victims ?? [];
  assert.ok(victims.length > 0 && victims.length < 5, `${victims.length} tasks are stopped`);
});
