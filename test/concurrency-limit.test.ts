/**
 * The adaptive limit on requests in progress. Guards against admitting more requests than the limit, and against a limit
 * that stays high under overload or low after it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConcurrencyLimit } from '../src/core/concurrency-limit.js';
import { monotonicMs } from '../src/core/model/time.js';

test('the limit on requests in progress shrinks while responses are slow and grows while they are fast', () => {
  const limiter = new ConcurrencyLimit({ min: 2, max: 50, tolerance: 4, minOverloadMs: 50 });
  let now = 0;
  const runRequests = (durationMs: number) => {
    for (let i = 0; i < 40; i++) {
      const admissible = Math.floor(limiter.limit);
      let admitted = 0;
      for (let k = 0; k < admissible + 3; k++) if (limiter.tryAcquire()) admitted++;
      assert.equal(admitted, admissible);
      assert.equal(limiter.inProgress, admissible);
      now += 300;
      for (let k = 0; k < admitted; k++) limiter.release(durationMs, monotonicMs(now));
    }
  };
  runRequests(5);
  const grownLimit = limiter.limit;
  assert.ok(grownLimit > 16);
  runRequests(900);
  assert.ok(limiter.limit < grownLimit / 2);
  assert.ok(limiter.limit >= 2);
  runRequests(5);
  assert.ok(limiter.limit > 16);
  assert.ok(limiter.refused > 0);
});
