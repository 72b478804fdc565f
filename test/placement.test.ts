/** Which tasks a pass places, and which machines it reserves. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Team } from '../src/core/model/cluster.js';
import { attempt, teamName, type TeamName } from '../src/core/model/ids.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import { wallClockMs } from '../src/core/model/time.js';
import type { PlacementInput } from '../src/core/placement/placement-types.js';
import { placeTasks } from '../src/core/placement/placement.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { allocated, job, scalingPlan, team, teams } from './planning.js';
import { machine, types } from './samples.js';

/** One placement pass; no image is cached, no machine avoided and no record near its size limit. */
const placementPass = (
  jobs: JobRecord[],
  machines: MachineRecord[],
  overrides: Partial<PlacementInput> = {},
  knownTeams: ReadonlyMap<TeamName, Team> = teams,
) => {
  let lastAttempt = 1;
  return placeTasks({
    jobs,
    machines,
    totals: new AllocationTotals(machines, types, knownTeams),
    newAttempt: () => attempt(++lastAttempt),
    fetchRank: () => 2,
    isAvoided: () => false,
    recordBytesLeft: () => 6000,
    maxPlacements: 50,
    maxMachines: 50,
    order: { wallClock: wallClockMs(0), starvationMs: 60_000 },
    preferPartlyUsedMachines: true,
    leavesWholeMachinesToGangs: () => false,
    mayReserve: () => true,
    isStarving: () => false,
    isFailingEverywhere: () => false,
    fitnessTolerance: 0.25,
    ...overrides,
  });
};

test('the tasks of an array share machines that fit equally well, so that few records are written', () => {
  const busy = job('wk-1', { shards: 9, tenant: 'blue', cards: 4, vcpus: 4 });
  const shard = [0, 1, 2, 3, 4, 5].map((i) => machine(`n-${i}`, [allocated(busy, i)]));
  const array = job('wk-2', { shards: 12, cards: 0, vcpus: 1, memoryGb: 6 });
  const cached = (m: MachineRecord) => (m.name === 'n-4' || m.name === 'n-5' ? 0 : 2);
  const usedMachines = (fetchRank: PlacementInput['fetchRank'], wanted = array) =>
    new Set(
      placementPass([wanted], shard, { fitnessTolerance: 0.6, fetchRank }).placements.map(
        (p) => p.machine.name as string,
      ),
    );
  // Eight of them fit on one of the machines, and all have the image.
  assert.equal(usedMachines(() => 0).size, 2);
  // A cached image comes before a record that is written anyway.
  assert.deepEqual([...usedMachines(cached)].sort(), ['n-4', 'n-5']);
  // Replicas are kept apart: the failure of one machine must not end several of them.
  const service = job('wk-3', { shape: 'daemon', shards: 4, cards: 0, vcpus: 1, memoryGb: 6 });
  assert.equal(usedMachines(() => 0, service).size, 4);
});

test('an empty machine is used only when no partly used one fits, so that gangs find whole ones', () => {
  const busy = job('wk-1', { shards: 9, tenant: 'blue' });
  const small = job('wk-2', { shards: 4 });
  const shard = [machine('n-1', []), machine('n-2', [allocated(busy, 0)])];
  const place = (jobs: JobRecord[]) => placementPass(jobs, shard).placements;
  assert.deepEqual(
    place([small]).map((p) => p.machine.name),
    ['n-2', 'n-2', 'n-2', 'n-1'],
  );
  const gang = job('wk-3', { shape: 'ensemble', shards: 4, tier: 'urgent' });
  assert.equal(new Set(place([gang]).map((p) => p.attempt)).size, 1, 'one attempt for the whole gang');
  assert.equal(
    place([job('wk-4', { shape: 'ensemble', shards: 8 })]).length,
    0,
    'a gang goes whole or not at all',
  );
});

test('the waiting team with the lowest weighted share is served first', () => {
  const red = job('wk-1', { shards: 6, tenant: 'red' });
  const blue = job('wk-2', { shards: 6, tenant: 'blue' });
  const shard = [machine('n-1', [allocated(blue, 0)]), machine('n-2', [])];
  const { placements } = placementPass([red, blue], shard, {
    maxPlacements: 4,
    preferPartlyUsedMachines: false,
    fitnessTolerance: 0,
  });
  assert.deepEqual(
    placements.map((p) => p.job.team),
    ['red', 'blue', 'red', 'blue'],
  );
  for (const p of placements) assert.ok(p.share >= 0);
});

test('a gang that waits for the quota of its team is not starved by smaller jobs behind it', () => {
  const limited = new Map([[teamName('red'), { ...team('red', 4), limitGpu: 4e6 }]]);
  const running = job('wk-1', { shards: 1 });
  const gang = job('wk-2', { shape: 'ensemble', shards: 4, tier: 'urgent' });
  const small = job('wk-3', { shards: 3, tier: 'low' });
  const shard = [machine('n-1', [allocated(running, 0)]), machine('n-2', [])];
  const place = (jobs: JobRecord[], machines: MachineRecord[]) => placementPass(jobs, machines, {}, limited);
  const result = place([running, gang, small], shard);
  assert.equal(result.placements.length, 0);
  assert.equal(result.waitReasons.get(small.spec.id), 'behind_gang');
  // A starving job starts all the same: it must not wait beside free machines.
  const late = placementPass(
    [running, gang, small],
    shard,
    { isStarving: (j) => j.spec.id === small.spec.id },
    limited,
  );
  assert.equal(late.placements.length, 3);
  // Where a service uses the quota for good, waiting would help no job.
  const service = job('wk-4', { shards: 1, shape: 'daemon' });
  assert.equal(
    place([service, gang, small], [machine('n-1', [allocated(service, 0)]), machine('n-2', [])]).placements
      .length,
    3,
  );
});

test('machines are reserved for a gang that is next in its order; only jobs of higher priority may take them', () => {
  const gang = job('wk-1', { shape: 'ensemble', shards: 3, tier: 'urgent', vcpus: 14, samePlace: true });
  const later = job('wk-2', {
    shape: 'ensemble',
    shards: 2,
    tier: 'urgent',
    vcpus: 14,
    samePlace: true,
    dueS: 5000,
  });
  const small = job('wk-3', { shards: 8, tenant: 'blue', tier: 'standard' });
  const service = job('wk-4', { shape: 'daemon', shards: 1, tier: 'production', tenant: 'blue' });
  const shard = [machine('n-1', []), machine('n-2', []), machine('n-3', [], 'b')];
  assert.equal(placementPass([gang, small], shard).waitReasons.get(gang.spec.id), 'no_room');
  const first = placementPass([gang, later], shard);
  assert.equal(first.placements.length, 0, 'two gangs never take what the first one waits for');
  const red = placementPass([gang, job('wk-5', { shards: 8, tier: 'standard' })], shard);
  assert.deepEqual(new Set(red.placements.map((p) => p.machine.name)), new Set(['n-3']));
  const prod = placementPass([gang, service], shard).placements;
  assert.equal(prod.length, 1);
  // Once its last machine is available it starts, before any other job.
  const complete = placementPass([gang, later], [...shard, machine('n-4', [])]).placements;
  assert.deepEqual(new Set(complete.map((p) => p.job.id)), new Set([gang.spec.id]));
  assert.equal(complete.length, 3);
});

test('a gang of 32 whole machines starts although smaller gangs are submitted all the time', () => {
  // Each round one machine becomes free and another small gang is submitted that would fit on it.
  const gang = job('wk-0', { shape: 'ensemble', shards: 32, tier: 'urgent', vcpus: 14, samePlace: true });
  const busy = job('wk-9', { shape: 'ensemble', shards: 40, tier: 'urgent', vcpus: 14 });
  const fleet = [...Array(40).keys()].map((i) => machine(`n-${i}`, [allocated(busy, i)]));
  const waiting = [gang];
  for (let round = 0; round < 40; round++) {
    fleet[round] = machine(`n-${round}`, []);
    waiting.push(
      job(`wk-s${round}`, { shape: 'ensemble', shards: 1, tier: 'urgent', vcpus: 14, dueS: 901 + round }),
    );
    const { placements } = placementPass(waiting, fleet);
    if (placements.some((p) => p.job.id === gang.spec.id)) {
      assert.equal(round, 31, 'as soon as there are 32');
      return;
    }
    assert.equal(placements.length, 0);
  }
  assert.fail('the gang never started');
});

test('jobs that may use spot machines leave empty on-demand ones to waiting gangs', () => {
  const array = job('wk-1', { shards: 6, loaner: true });
  const service = job('wk-9', { shape: 'daemon', shards: 9, tier: 'production' });
  const spot = { ...machine('n-3', []), spot: true };
  const shard = [machine('n-1', []), machine('n-2', [allocated(service, 0)]), spot];
  const usedMachines = (leavesWholeMachines: boolean) =>
    new Set(
      placementPass([array], shard, {
        leavesWholeMachinesToGangs: () => leavesWholeMachines,
        preferPartlyUsedMachines: false,
      }).placements.map((p) => p.machine.name),
    );
  assert.deepEqual(usedMachines(true), new Set(['n-3', 'n-2']));
  assert.ok(placementPass([array], [machine('n-1', [])], {}).placements.length > 0);
  const plan = scalingPlan([array], [machine('n-1', [])], {
    isAvailable: () => true,
    leavesWholeMachinesToGangs: () => true,
  });
  assert.deepEqual(new Set(plan.rentals.map((r) => r.spot)), new Set([true]));
  assert.equal(scalingPlan([array], [machine('n-1', [])], { isAvailable: () => true }).rentals.length, 1);
});
