/** Rounding of resource vectors. A demand that is rounded down could allocate a machine beyond its capacity. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { demandVector } from '../src/core/model/resources.js';

test('demands are rounded up to whole micro-units, apart from rounding errors of decimal fractions', () => {
  fc.assert(
    fc.property(fc.double({ min: 0.001, max: 500, noNaN: true }), (x) => {
      const demand = demandVector(x, x, x);
      assert.ok(demand[0] >= x * 1e6 - 1e-2 && demand[0] <= x * 1e6 + 1);
    }),
  );
  assert.deepEqual(demandVector(0.1 + 0.2, 1.1, 2.2), [300_000, 1_100_000, 2_200_000]);
});
