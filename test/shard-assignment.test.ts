/**
 * Which controller holds which shard, and which shard a team belongs to. Guards against shards without a live holder,
 * whose jobs no controller schedules, and against shards that flap between holders.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { ShardRecord } from '../src/core/model/cluster.js';
import { incarnation, nodeName, teamName, type NodeName } from '../src/core/model/ids.js';
import {
  assignShardHolders,
  assignTeamsToShards,
  type LiveController,
} from '../src/core/state/shard-assignment.js';
import { team } from './scheduling-samples.js';

const SETTLED_S = 10;
const shards = ['c-0', 'c-1', 'c-2'].map(nodeName);

const controller = (name: string, state: Partial<LiveController> = {}): LiveController => ({
  node: nodeName(name),
  incarnation: incarnation(`${name}-first`),
  sessionAgeS: SETTLED_S,
  canReachAgents: true,
  ...state,
});

/** Records of shards, each held by the first incarnation of a controller. */
const heldBy = (holders: Record<string, string>): ReadonlyMap<string, ShardRecord> =>
  new Map(
    Object.entries(holders).map(([shard, holder]) => [
      shard,
      { holder: nodeName(holder), incarnation: incarnation(`${holder}-first`) },
    ]),
  );

/** The new holder of each shard whose holder changes. */
const newHolders = (
  live: readonly LiveController[],
  shardRecords: ReadonlyMap<string, ShardRecord>,
): Record<NodeName, NodeName> =>
  Object.fromEntries(
    [...assignShardHolders({ shards, live, shardRecords, returnAfterS: SETTLED_S })].map(
      ([shard, { node }]) => [shard, node],
    ),
  );

describe('shard holders', () => {
  const heldByDefault = heldBy({ 'c-0': 'c-0', 'c-1': 'c-1', 'c-2': 'c-2' });
  const all = ['c-0', 'c-1', 'c-2'].map((name) => controller(name));

  test('each controller is assigned its own shard, and nothing changes while it holds that', () => {
    assert.deepEqual(newHolders(all, new Map()), { 'c-0': 'c-0', 'c-1': 'c-1', 'c-2': 'c-2' });
    assert.deepEqual(newHolders(all, heldByDefault), {});
    assert.deepEqual(newHolders([], heldByDefault), {});
  });

  test('the shard of a controller without a session goes to the one with the fewest shards, the first by name on a tie', () => {
    assert.deepEqual(newHolders([all[1]!, all[2]!], heldByDefault), { 'c-0': 'c-1' });
    const heldByOne = heldBy({ 'c-0': 'c-0', 'c-1': 'c-1', 'c-2': 'c-1' });
    const unsettled = controller('c-2', { sessionAgeS: 0 });
    assert.deepEqual(newHolders([all[1]!, unsettled], heldByOne), { 'c-0': 'c-2' });
  });

  test('a restarted controller counts as another holder and is assigned its shard again', () => {
    const restarted = controller('c-0', { incarnation: incarnation('c-0-second'), sessionAgeS: 0 });
    assert.deepEqual(newHolders([restarted, all[1]!, all[2]!], heldByDefault), { 'c-0': 'c-0' });
  });

  test('a shard returns to its default holder once that has had its session for the settling time', () => {
    const held = heldBy({ 'c-0': 'c-1', 'c-1': 'c-1', 'c-2': 'c-2' });
    assert.deepEqual(newHolders(all, held), { 'c-0': 'c-0' });
    const unsettled = controller('c-0', { sessionAgeS: SETTLED_S - 1 });
    assert.deepEqual(newHolders([unsettled, all[1]!, all[2]!], held), {});
  });

  test('a controller that cannot reach its agents loses its shard, unless no controller can', () => {
    const disconnected = all.map((each) => ({ ...each, canReachAgents: false }));
    assert.deepEqual(newHolders([disconnected[0]!, all[1]!, all[2]!], heldByDefault), { 'c-0': 'c-1' });
    assert.deepEqual(newHolders(disconnected, heldByDefault), {});
  });
});

describe('shards of teams', () => {
  test('teams without a shard go to the one with the smallest sum of guarantees, the largest team first', () => {
    const teams = [team('red', 1), team('blue', 8), team('green', 4), team('grey', 0)];
    const teamRecords = new Map([[teamName('red'), { owner: nodeName('c-0') }]]);
    assert.deepEqual(Object.fromEntries(assignTeamsToShards({ shards, teams, teamRecords })), {
      blue: 'c-1',
      green: 'c-2',
      grey: 'c-0',
    });
  });

  test('a team whose shard no longer exists is reassigned', () => {
    const teams = [team('red', 4)];
    const teamRecords = new Map([[teamName('red'), { owner: nodeName('c-9') }]]);
    assert.deepEqual([...assignTeamsToShards({ shards, teams, teamRecords }).keys()], ['red']);
  });
});
