/** Background work and teams without a guarantee give way to what has priority or a guarantee. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { selectGangVictims, selectVictims } from '../src/core/placement/preemption.js';
import { nodeName, teamName } from '../src/core/model/ids.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import { job, on, planned, team, teams } from './planning.js';
import { machine, types } from './samples.js';

const GUEST = 'guest';
const withGuest = new Map([...teams, [teamName(GUEST), team(GUEST, 0)]]);

test('all that a team without a guarantee runs may be stopped for a guarantee, and shares are defined for it', () => {
  const wanted = job('wk-1', { shape: 'daemon', tier: 'low', shards: 1 });
  const guest = job('wk-2', { tier: 'urgent', tenant: GUEST, shards: 4 });
  const machines = [machine('n-1', [on(guest, 0, 1, 2, 3)])];
  const totals = new AllocationTotals(machines, types, withGuest);
  const found = selectVictims({
    job: wanted.spec,
    jobs: new Map([wanted, guest].map((j) => [j.spec.id, j])),
    machines,
    totals,
    teams: withGuest,
    isClaimed: () => false,
  });
  assert.equal(found?.victims.length, 1);
  assert.ok(
    Number.isFinite(totals.dominantShareOf(teamName(GUEST))) && totals.dominantShareOf(teamName(GUEST)) > 0,
  );
  assert.equal(totals.dominantShareOf(teamName('red')), 0);
});

test('low-priority work gives whole machines to a gang of higher priority, the cheapest of one zone', () => {
  const gang = job('wk-1', { shape: 'ensemble', shards: 2, tier: 'urgent', vcpus: 14, samePlace: true });
  const low = job('wk-2', { tier: 'low', tenant: 'blue', shards: 9, snapshotEveryS: 10, snapshotS: 2 });
  const costly = job('wk-3', { tier: 'low', tenant: 'blue', shards: 9, snapshotEveryS: 0, expectedS: 600 });
  const normal = job('wk-4', { tier: 'standard', tenant: 'blue', shards: 9 });
  const find = (wanted: JobRecord, machines: MachineRecord[]) =>
    selectGangVictims({
      job: wanted.spec,
      jobs: new Map([gang, low, costly, normal].map((j) => [j.spec.id, j])),
      machines,
      totals: new AllocationTotals(machines, types, teams),
      teams,
      isClaimed: () => false,
    })?.map((p) => [p.machine.name, p.victims.length]);
  const shard = [
    machine('n-1', [on(low, 0, 1)], 'a'),
    machine('n-2', [on(normal, 0)], 'a'),
    machine('n-3', [on(costly, 0, 1)], 'a'),
    machine('n-4', [on(low, 2, 3)], 'b'),
    machine('n-5', [], 'b'),
  ];
  assert.deepEqual(find(gang, shard), [
    ['n-5', 0],
    ['n-4', 1],
  ]);
  assert.equal(find(gang, shard.slice(0, 2)), undefined, 'work of normal priority stays');
  const standard = job('wk-1', { shape: 'ensemble', shards: 2, tier: 'standard', vcpus: 14 });
  assert.equal(find(standard, shard), undefined, 'only for what has priority');
});

test('machines with nothing but low-priority work go to where work of priority finds no room anywhere', () => {
  const gang = job('wk-1', { shape: 'ensemble', shards: 2, tier: 'urgent', vcpus: 14, samePlace: true });
  const low = job('wk-2', { tier: 'low', tenant: 'blue', shards: 40 });
  const normal = job('wk-3', { tier: 'standard', tenant: 'blue', shards: 40 });
  const other = (name: string, placed: MachineRecord['placed'], zone = 'a') => ({
    ...machine(name, placed, zone),
    owner: nodeName('c-1'),
  });
  const fleet = [
    other('n-1', [on(low, 0, 1, 2, 3)]),
    other('n-2', [on(normal, 0, 1, 2, 3)]),
    other('n-3', [on(low, 4, 5, 6, 7)]),
    other('n-4', [on(low, 8, 9, 10, 11)], 'b'),
    other('n-5', [on(low, 12, 13, 14, 15)]),
  ];
  const moves = (available: boolean) =>
    planned([gang], fleet, { isAvailable: () => available }).moves.map((m) => m.machine.name as string);
  assert.deepEqual(moves(false), ['n-1', 'n-3'], 'as many as it needs, in one zone');
  assert.deepEqual(moves(true), [], 'new ones are rented where they can be');
});
