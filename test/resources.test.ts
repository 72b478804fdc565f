/** Resource vectors. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { demandVector } from '../src/core/model/resources.js';

test('demands are rounded up and capacities down, so rounding never overfills a machine', () => {
  fc.assert(
    fc.property(fc.double({ min: 0.001, max: 500, noNaN: true }), (x) => {
      const demand = demandVector(x, x, x);
      assert.ok(demand[0] >= x * 1e6 - 1e-2 && demand[0] <= x * 1e6 + 1);
    }),
  );
  assert.deepEqual(demandVector(0.1 + 0.2, 1.1, 2.2), [300_000, 1_100_000, 2_200_000]);
});
