/** Which controller holds which shard, and which shard a team belongs to. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { ShardRecord } from '../src/core/model/cluster.js';
import { incarnation, nodeName, teamName, type NodeName } from '../src/core/model/ids.js';
import {
  assignShardHolders,
  assignTeamsToShards,
  type LiveController,
} from '../src/core/state/shard-assignment.js';
import { team } from './planning.js';

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

/** The new holders by shard. */
const newHolders = (
  live: readonly LiveController[],
  held: ReadonlyMap<string, ShardRecord>,
): Record<NodeName, NodeName> =>
  Object.fromEntries(
    [...assignShardHolders({ shards, live, held, settledS: SETTLED_S })].map(([shard, { node }]) => [
      shard,
      node,
    ]),
  );

describe('shard holders', () => {
  const own = heldBy({ 'c-0': 'c-0', 'c-1': 'c-1', 'c-2': 'c-2' });
  const all = ['c-0', 'c-1', 'c-2'].map((name) => controller(name));

  test('each controller gets its own shard, and nothing changes while it holds it', () => {
    assert.deepEqual(newHolders(all, new Map()), { 'c-0': 'c-0', 'c-1': 'c-1', 'c-2': 'c-2' });
    assert.deepEqual(newHolders(all, own), {});
    assert.deepEqual(newHolders([], own), {});
  });

  test('the shard of a controller without a session goes to the one that holds fewest, else by name', () => {
    assert.deepEqual(newHolders([all[1]!, all[2]!], own), { 'c-0': 'c-1' });
    const heldByOne = heldBy({ 'c-0': 'c-0', 'c-1': 'c-1', 'c-2': 'c-1' });
    const young = controller('c-2', { sessionAgeS: 0 });
    assert.deepEqual(newHolders([all[1]!, young], heldByOne), { 'c-0': 'c-2' });
  });

  test('a restarted controller is another holder and gets its shard anew', () => {
    const restarted = controller('c-0', { incarnation: incarnation('c-0-second'), sessionAgeS: 0 });
    assert.deepEqual(newHolders([restarted, all[1]!, all[2]!], own), { 'c-0': 'c-0' });
  });

  test('a shard returns to its own controller once that has settled', () => {
    const held = heldBy({ 'c-0': 'c-1', 'c-1': 'c-1', 'c-2': 'c-2' });
    assert.deepEqual(newHolders(all, held), { 'c-0': 'c-0' });
    const young = controller('c-0', { sessionAgeS: SETTLED_S - 1 });
    assert.deepEqual(newHolders([young, all[1]!, all[2]!], held), {});
  });

  test('a controller that does not reach its agents loses its shard, unless none reaches them', () => {
    const cutOff = all.map((each) => ({ ...each, canReachAgents: false }));
    assert.deepEqual(newHolders([cutOff[0]!, all[1]!, all[2]!], own), { 'c-0': 'c-1' });
    assert.deepEqual(newHolders(cutOff, own), {});
  });
});

describe('shards of teams', () => {
  test('teams without a shard go to the one with the smallest guarantees, the largest team first', () => {
    const teams = [team('red', 1), team('blue', 8), team('green', 4), team('grey', 0)];
    const assigned = new Map([[teamName('red'), { owner: nodeName('c-0') }]]);
    assert.deepEqual(Object.fromEntries(assignTeamsToShards({ shards, teams, assigned })), {
      blue: 'c-1',
      green: 'c-2',
      grey: 'c-0',
    });
  });

  test('a team whose shard does not exist any more is assigned anew', () => {
    const teams = [team('red', 4)];
    const assigned = new Map([[teamName('red'), { owner: nodeName('c-9') }]]);
    assert.deepEqual([...assignTeamsToShards({ shards, teams, assigned }).keys()], ['red']);
  });
});
