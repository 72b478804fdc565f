/**
 * The share of a common budget that one process uses, in virtual time. Guards against users' requests that wait behind
 * bulk changes, and against exceeding a budget, also after it was lowered without notice.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimiter, REQUEST_PRIORITY } from '../src/io/rate-limiter.js';
import { ProcessClock, VirtualTime } from './sim/virtual-time.js';

/** A rate limiter whose shares do not shrink; of changes it may use `maxBorrowFactor` times its share. */
const fixedRateLimiter = (time: VirtualTime, maxBorrowFactor: number) =>
  new RateLimiter({
    requestRates: { max: 60, min: 60 },
    writeRates: { max: 12, min: 12 },
    maxQueued: 200,
    maxBorrowFactor,
    clock: new ProcessClock(time, 1, 0),
  });

test('reads and changes of users never wait behind bulk changes, and the budget is never exceeded', async () => {
  const time = new VirtualTime(1);
  const limiter = fixedRateLimiter(time, 1);
  // Changes granted to bulk work, and milliseconds for which each request of a user waited.
  const measured = { bulkChanges: 0, userWaitsMs: [] as number[], readWaitsMs: [] as number[] };
  // More changes than the budget allows within a minute.
  for (let i = 0; i < 100; i++)
    void limiter.acquire(REQUEST_PRIORITY.starts, 8).then(() => {
      measured.bulkChanges += 8;
    });
  const submitUserRequests = () => {
    const requestedAt = time.now;
    void limiter
      .acquire(REQUEST_PRIORITY.users, 1)
      .then(() => measured.userWaitsMs.push(time.now - requestedAt));
    void limiter
      .acquire(REQUEST_PRIORITY.users, 0)
      .then(() => measured.readWaitsMs.push(time.now - requestedAt));
    if (time.now < 29_000) time.after(500, submitUserRequests);
  };
  time.after(2000, submitUserRequests);
  await time.runUntil(30_000);
  assert.ok(measured.userWaitsMs.length >= 54 && measured.readWaitsMs.length >= 54);
  // An earlier bulk transaction may have left the budget in debt, at most once and by its own size.
  assert.ok(
    Math.max(...measured.userWaitsMs) <= 800,
    `a user's change waited ${Math.max(...measured.userWaitsMs)} ms`,
  );
  assert.ok(Math.max(...measured.readWaitsMs) <= 20, `a read waited ${Math.max(...measured.readWaitsMs)} ms`);
  const changes = measured.bulkChanges + measured.userWaitsMs.length;
  assert.ok(changes <= 12 * 31 + 8 && changes >= 12 * 28, `${changes} changes in 30 s`);
});

test('a refusal of changes delays further changes and no reads', async () => {
  const time = new VirtualTime(1);
  const limiter = fixedRateLimiter(time, 3);
  await time.runUntil(10_000);
  assert.equal(limiter.hasSpareBudget, true);
  limiter.recordRefusal(1);
  assert.equal(
    limiter.hasSpareBudget,
    false,
    'the whole budget is short, even if this process has some left',
  );
  let isReadGranted = false;
  let isWriteGranted = false;
  void limiter.acquire(REQUEST_PRIORITY.results, 6).then(() => {
    isWriteGranted = true;
  });
  void limiter.acquire(REQUEST_PRIORITY.session, 0).then(() => {
    isReadGranted = true;
  });
  await time.runUntil(time.now + 10);
  assert.deepEqual([isReadGranted, isWriteGranted], [true, false]);
  await time.runUntil(time.now + 600);
  assert.equal(isWriteGranted, true);
});

test('a rate that is lowered without notice is detected by refusals', async () => {
  const time = new VirtualTime(1);
  const high = 20;
  const low = 15;
  // Slightly below the limit, as in the client of the state service.
  const rate = { max: high * 0.95, min: low * 0.95 };
  const limiter = new RateLimiter({
    requestRates: { max: 100, min: 100 },
    writeRates: rate,
    maxQueued: 2000,
    maxBorrowFactor: 1,
    clock: new ProcessClock(time, 1, 0),
  });
  // The token bucket of the service holds one second's worth of the allowed changes.
  let allowed = high;
  let tokens = high;
  let last = 0;
  let refused = 0;
  let granted = 0;
  const send = async (): Promise<void> => {
    for (;;) {
      if (!(await limiter.acquire(REQUEST_PRIORITY.starts, 2))) return;
      tokens = Math.min(allowed, tokens + ((time.now - last) / 1000) * allowed);
      last = time.now;
      if (tokens >= 2) {
        tokens -= 2;
        granted += 2;
      } else {
        refused++;
        limiter.recordRefusal(2);
      }
    }
  };
  // Keeps virtual time running while nothing else is scheduled.
  const tick = () => {
    time.after(50, tick);
  };
  tick();
  void send();
  await time.runUntil(30_000);
  assert.ok(refused <= 2 && granted >= high * 0.95 * 29, `${refused} refused, ${granted} granted`);
  allowed = low;
  refused = granted = 0;
  await time.runUntil(90_000);
  assert.ok(
    granted >= low * 60 * 0.85,
    `${granted} granted in a minute, expected at least 85% of the lowered rate`,
  );
  assert.ok(refused <= 20, `${refused} refused in a minute`);
});
