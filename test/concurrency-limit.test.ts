/** The adaptive limit on requests in progress. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConcurrencyLimit } from '../src/core/concurrency-limit.js';
import { monotonicMs } from '../src/core/model/time.js';

test('the limit on requests shrinks when answers get slow and grows when they are quick', () => {
  const a = new ConcurrencyLimit({ min: 2, max: 50, tolerance: 4, floorMs: 50 });
  let t = 0;
  const round = (ms: number) => {
    for (let i = 0; i < 40; i++) {
      const n = Math.floor(a.limit);
      let entered = 0;
      for (let k = 0; k < n + 3; k++) if (a.tryAcquire()) entered++;
      assert.equal(entered, n);
      assert.equal(a.inProgress, n);
      t += 300;
      for (let k = 0; k < entered; k++) a.release(ms, monotonicMs(t));
    }
  };
  round(5);
  const quick = a.limit;
  assert.ok(quick > 16);
  round(900);
  assert.ok(a.limit < quick / 2);
  assert.ok(a.limit >= 2);
  round(5);
  assert.ok(a.limit > 16);
  assert.ok(a.refused > 0);
});
