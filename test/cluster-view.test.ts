/**
 * The view of the state service's records. A new holder of a shard that acted before its view contains the last starts
 * of the former holder would start those tasks again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { incarnation, revision, version } from '../src/core/model/ids.js';
import { key } from '../src/core/records/keys.js';
import { ClusterView } from '../src/core/state/cluster-view.js';

test('a shard that a process has acquired counts as held once its view contains all earlier commits', () => {
  const view = new ClusterView();
  view.advanceTo(revision(10));
  const shard = key.shard('c-1');
  view.apply({ key: shard, value: { holder: 'c-0', incarnation: 'me' }, version: version(20) });
  assert.equal(
    view.isHeldBy('c-1', incarnation('me')),
    false,
    'a start by its former holder may be at revision 19',
  );
  view.advanceTo(revision(20));
  assert.equal(view.isHeldBy('c-1', incarnation('me')), true);
  assert.equal(view.isHeldBy('c-1', incarnation('another')), false);
});
