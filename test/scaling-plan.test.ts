/** Which machines a scaling plan rents, moves and releases. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nodeName } from '../src/core/model/ids.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import type { ScalingInput } from '../src/core/scaling/scaling-types.js';
import { allocated, job, scalingPlan } from './planning.js';
import { machine } from './samples.js';

test('machines reserved for a gang are not released, and one without contact to its owner does not change shard', () => {
  const gang = job('wk-1', { shape: 'ensemble', shards: 3, tier: 'urgent', vcpus: 14, samePlace: true });
  const own = [machine('n-1', []), machine('n-2', [])];
  assert.deepEqual(scalingPlan([gang], own).releases, []);
  assert.equal(scalingPlan([], own).releases.length, 2);
  const other = { ...machine('n-3', []), owner: nodeName('c-1') };
  assert.deepEqual(
    scalingPlan([gang], [...own, other]).moves.map((record) => record.machine.name),
    ['n-3'],
  );
  assert.deepEqual(
    scalingPlan([gang], [...own, other], { isMovable: (record) => record.owner === 'c-0' }).moves,
    [],
  );
});

test('the plan for a grown fleet rents what is missing, once, and reads each machine a few times only', () => {
  const full = job('wk-0', { shards: 4000, tenant: 'blue' });
  let reads = 0;
  const fleet = [...Array(600).keys()].map((i) => {
    const record = machine(
      `n-${i}`,
      [allocated(full, ...[0, 1, 2, 3].map((k) => i * 4 + k))],
      i % 2 === 0 ? 'a' : 'b',
    );
    return new Proxy(record, {
      get: (target, name) => {
        if (name === 'phase') reads++;
        return target[name as keyof MachineRecord];
      },
    });
  });
  const waiting = [...Array(300).keys()].map((i) => job(`wk-${i + 1}`, { shards: 10 }));
  const plan = scalingPlan(waiting, fleet, { isAvailable: () => true });
  assert.equal(plan.rentals.length, 750, 'four tasks a machine');
  assert.deepEqual(plan.moves, []);
  // Full machines are excluded once, not for each job or task.
  assert.ok(reads < 600 * 5, `${reads} reads`);
});

test('without capacity for all, shards are rebalanced by weight, a few machines at a time, and stay so', () => {
  const blue = job('wk-0', { shards: 4000, tenant: 'blue' });
  const red = job('wk-1', { shards: 4000 });
  const service = job('wk-2', { shards: 4, tenant: 'blue', shape: 'daemon' });
  // As in a burst: blue came first, has all of a fleet of 900, and keeps it busy with its pending jobs.
  let fleet: MachineRecord[] = [...Array(900).keys()].map((i) => ({
    ...machine(`n-${i}`, [allocated(i === 0 ? service : blue, ...[0, 1, 2, 3].map((k) => i * 4 + k))]),
    owner: nodeName('c-1'),
  }));
  const count = () => fleet.filter((record) => record.owner === 'c-0').length;
  const step = (jobs: JobRecord[], over: Partial<ScalingInput> = {}) => {
    const { moves } = scalingPlan(jobs, fleet, over);
    const to = new Map(moves.map((record) => [record.machine.name, record.to]));
    assert.equal(to.size, moves.length);
    fleet = fleet.map((record) => ({ ...record, owner: to.get(record.name) ?? record.owner }));
    return moves.length;
  };
  assert.equal(step([blue]), 0, 'nobody else waits');
  assert.equal(step([blue, red], { isAvailable: () => true }), 0, 'more can be rented');
  let plans = 0;
  for (let n = step([blue, red]); n > 0; n = step([blue, red])) {
    assert.ok(n <= 2, `${n} moves in one plan`);
    assert.ok(++plans < 240, 'it never converges');
  }
  // Teams of equal weight and without an end to their work: half each, within what is not worth a move.
  assert.ok(Math.abs(count() - 450) <= 2, `${count()} of 900`);
  assert.equal(fleet[0]!.owner, 'c-1', 'a service has its machine for long');
});
