/** What a job's own constraints allow. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { allowsMachine, requiredZone, zoneChoices } from '../src/core/jobs/feasibility.js';
import { typeName, zoneName } from '../src/core/model/ids.js';
import { job } from './planning.js';

const machine = { type: typeName('m'), zone: zoneName('a'), spot: false };
const spec = (fields: Record<string, unknown>) => job('wk-1', fields).spec;

test('a job may use machines of its types, its zone and its billing kind', () => {
  assert.equal(allowsMachine(spec({}), machine), true);
  assert.equal(allowsMachine(spec({ flavors: ['m', 'l'] }), machine), true);
  assert.equal(allowsMachine(spec({ flavors: ['l'] }), machine), false);
  assert.equal(allowsMachine(spec({ vault: 'a' }), machine), true);
  assert.equal(allowsMachine(spec({ vault: 'b' }), machine), false);
  assert.equal(allowsMachine(spec({ loaner: false }), { ...machine, spot: true }), false);
  assert.equal(allowsMachine(spec({ loaner: true }), { ...machine, spot: true }), true);
  assert.equal(allowsMachine(spec({ loaner: true }), machine), true, 'spot is not required');
});

test('only a job whose tasks share a zone chooses one, and its allocated tasks decide which', () => {
  const [a, b] = [zoneName('a'), zoneName('b')];
  const oneZone = spec({ samePlace: true });
  assert.deepEqual(zoneChoices(oneZone, [b, a, b]), [a, b]);
  assert.deepEqual(zoneChoices(spec({}), [b, a, b]), [null]);
  assert.equal(requiredZone(oneZone, new Map([[a, 0] as const, [b, 2] as const])), b);
  assert.equal(requiredZone(oneZone, new Map()), null);
  assert.equal(requiredZone(spec({}), new Map([[b, 2]])), null);
});
