/**
 * Low-priority arrays and teams without a guarantee are preempted for jobs with a higher priority or a guarantee.
 * Otherwise those jobs would wait until long arrays end, while the cloud has no machines to rent.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nodeName, teamName } from '../src/core/model/ids.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { Allocation, MachineRecord } from '../src/core/model/machines.js';
import { selectGangVictims } from '../src/core/placement/gang-preemption.js';
import { selectVictims } from '../src/core/placement/preemption.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { machine, types } from './samples.js';
import { AMPLE_ROOM, allocated, job, scalingPlan, team, teams } from './scheduling-samples.js';

const UNGUARANTEED = 'guest';
const teamsWithUnguaranteed = new Map([...teams, [teamName(UNGUARANTEED), team(UNGUARANTEED, 0)]]);

const byId = (jobs: readonly JobRecord[]) => new Map(jobs.map((each) => [each.spec.id, each]));

test('all tasks of a team without a guarantee may be preempted for a team within its guarantee, and its share is finite', () => {
  const preemptor = job('wk-1', { shape: 'daemon', tier: 'low', shards: 1 });
  const unguaranteed = job('wk-2', { tier: 'urgent', tenant: UNGUARANTEED, shards: 4 });
  const machines = [machine('n-1', [allocated(unguaranteed, 0, 1, 2, 3)])];
  const totals = new AllocationTotals(machines, types, teamsWithUnguaranteed);
  const found = selectVictims({
    job: preemptor.spec,
    jobs: byId([preemptor, unguaranteed]),
    machines,
    totals,
    teams: teamsWithUnguaranteed,
    roomOf: () => AMPLE_ROOM,
    isClaimed: () => false,
  });
  assert.equal(found?.victims.length, 1);
  const share = totals.dominantShareOf(teamName(UNGUARANTEED));
  assert.ok(Number.isFinite(share) && share > 0);
  assert.equal(totals.dominantShareOf(teamName('red')), 0);
});

test('a gang above normal priority preempts low-priority arrays on the machines of one zone where that costs least', () => {
  const gang = job('wk-1', { shape: 'ensemble', shards: 2, tier: 'urgent', vcpus: 14, samePlace: true });
  const low = job('wk-2', { tier: 'low', tenant: 'blue', shards: 9, snapshotEveryS: 10, snapshotS: 2 });
  const withoutCheckpoints = job('wk-3', {
    tier: 'low',
    tenant: 'blue',
    shards: 9,
    snapshotEveryS: 0,
    expectedS: 600,
  });
  const normal = job('wk-4', { tier: 'standard', tenant: 'blue', shards: 9 });
  const victimCounts = (preemptor: JobRecord, machines: MachineRecord[]) =>
    selectGangVictims({
      job: preemptor.spec,
      jobs: byId([gang, low, withoutCheckpoints, normal]),
      machines,
      totals: new AllocationTotals(machines, types, teams),
      teams,
      roomOf: () => AMPLE_ROOM,
      isClaimed: () => false,
    })?.map((choice) => [choice.machine.name, choice.victims.length]);
  const machines = [
    machine('n-1', [allocated(low, 0, 1)], 'a'),
    machine('n-2', [allocated(normal, 0)], 'a'),
    machine('n-3', [allocated(withoutCheckpoints, 0, 1)], 'a'),
    machine('n-4', [allocated(low, 2, 3)], 'b'),
    machine('n-5', [], 'b'),
  ];
  assert.deepEqual(victimCounts(gang, machines), [
    ['n-5', 0],
    ['n-4', 1],
  ]);
  assert.equal(
    victimCounts(gang, machines.slice(0, 2)),
    undefined,
    'tasks of normal priority are not preempted',
  );
  const standard = job('wk-1', { shape: 'ensemble', shards: 2, tier: 'standard', vcpus: 14 });
  assert.equal(victimCounts(standard, machines), undefined, 'only a gang above normal priority preempts');
});

test('machines that run only low-priority arrays are reclaimed for priorities above normal while the cloud has no machines', () => {
  const gang = job('wk-1', { shape: 'ensemble', shards: 2, tier: 'urgent', vcpus: 14, samePlace: true });
  const low = job('wk-2', { tier: 'low', tenant: 'blue', shards: 40 });
  const normal = job('wk-3', { tier: 'standard', tenant: 'blue', shards: 40 });
  const ofOtherShard = (name: string, allocations: readonly Allocation[], zone = 'a') => ({
    ...machine(name, allocations, zone),
    owner: nodeName('c-1'),
  });
  const machines = [
    ofOtherShard('n-1', [allocated(low, 0, 1, 2, 3)]),
    ofOtherShard('n-2', [allocated(normal, 0, 1, 2, 3)]),
    ofOtherShard('n-3', [allocated(low, 4, 5, 6, 7)]),
    ofOtherShard('n-4', [allocated(low, 8, 9, 10, 11)], 'b'),
    ofOtherShard('n-5', [allocated(low, 12, 13, 14, 15)]),
  ];
  const movedMachines = (isCloudAvailable: boolean) =>
    scalingPlan([gang], machines, { isAvailable: () => isCloudAvailable }).moves.map(
      (move) => move.machine.name as string,
    );
  assert.deepEqual(movedMachines(false), ['n-1', 'n-3'], 'as many as the gang needs, in one zone');
  assert.deepEqual(movedMachines(true), [], 'machines are rented instead while the cloud has some');
});
