/** The part of a shared budget that one process takes, in virtual time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimiter, REQUEST_PRIORITY } from '../src/io/rate-limiter.js';
import { ProcessClock, VirtualTime } from './sim/virtual-time.js';

/** A process whose part of both budgets does not fall, and which may borrow so many times that part. */
const fixed = (world: VirtualTime, maxBorrowFactor: number) =>
  new RateLimiter({
    requestRates: { high: 60, low: 60 },
    writeRates: { high: 12, low: 12 },
    maxQueued: 200,
    maxBorrowFactor,
    clock: new ProcessClock(world, 1, 0),
  });

test('reads and changes of users never wait behind bulk changes, and the budget is never exceeded', async () => {
  const world = new VirtualTime(1);
  const limiter = fixed(world, 1);
  const took = { bulk: 0, users: [] as number[], reads: [] as number[] };
  // A wave: far more changes than the budget has for a minute.
  for (let i = 0; i < 100; i++)
    void limiter.acquire(REQUEST_PRIORITY.starts, 8).then(() => {
      took.bulk += 8;
    });
  const asks = () => {
    const at = world.now;
    void limiter.acquire(REQUEST_PRIORITY.users, 1).then(() => took.users.push(world.now - at));
    void limiter.acquire(REQUEST_PRIORITY.users, 0).then(() => took.reads.push(world.now - at));
    if (world.now < 29_000) world.after(500, asks);
  };
  world.after(2000, asks);
  await world.runUntil(30_000);
  assert.ok(took.users.length >= 54 && took.reads.length >= 54);
  // A transaction sent before may have put the budget in debt by its size, once.
  assert.ok(Math.max(...took.users) <= 800, `a user's change waited ${Math.max(...took.users)} ms`);
  assert.ok(Math.max(...took.reads) <= 20, `a read waited ${Math.max(...took.reads)} ms`);
  const changes = took.bulk + took.users.length;
  assert.ok(changes <= 12 * 31 + 8 && changes >= 12 * 28, `${changes} changes in 30 s`);
});

test('a refusal for changes stops changes and not reads', async () => {
  const world = new VirtualTime(1);
  const limiter = fixed(world, 3);
  await world.runUntil(10_000);
  assert.equal(limiter.isIdle, true);
  limiter.noteExhausted(1);
  assert.equal(limiter.isIdle, false, 'others wait for the budget, even where this process has enough');
  let read = false;
  let wrote = false;
  void limiter.acquire(REQUEST_PRIORITY.results, 6).then(() => {
    wrote = true;
  });
  void limiter.acquire(REQUEST_PRIORITY.session, 0).then(() => {
    read = true;
  });
  await world.runUntil(world.now + 10);
  assert.deepEqual([read, wrote], [true, false]);
  await world.runUntil(world.now + 600);
  assert.equal(wrote, true);
});

test('a rate that falls without notice is detected by refusals', async () => {
  const world = new VirtualTime(1);
  const high = 20;
  const low = 15;
  // A little less than all of it, as the client takes.
  const rate = { high: high * 0.95, low: low * 0.95 };
  const limiter = new RateLimiter({
    requestRates: { high: 100, low: 100 },
    writeRates: rate,
    maxQueued: 2000,
    maxBorrowFactor: 1,
    clock: new ProcessClock(world, 1, 0),
  });
  // The service's bucket: it holds a second's worth of what it allows.
  let allowed = high;
  let tokens = high;
  let last = 0;
  let refused = 0;
  let granted = 0;
  const send = async (): Promise<void> => {
    for (;;) {
      if (!(await limiter.acquire(REQUEST_PRIORITY.starts, 2))) return;
      tokens = Math.min(allowed, tokens + ((world.now - last) / 1000) * allowed);
      last = world.now;
      if (tokens >= 2) {
        tokens -= 2;
        granted += 2;
      } else {
        refused++;
        limiter.noteExhausted(2);
      }
    }
  };
  // Time goes on also while nothing waits.
  const tick = () => {
    world.after(50, tick);
  };
  tick();
  void send();
  await world.runUntil(30_000);
  assert.ok(refused <= 2 && granted >= high * 0.95 * 29, `${refused} refused, ${granted} granted`);
  allowed = low;
  refused = granted = 0;
  await world.runUntil(90_000);
  assert.ok(granted >= low * 60 * 0.85, `${granted} granted`);
  assert.ok(refused <= 20, `${refused} refused in a minute`);
});
