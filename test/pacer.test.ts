// The part of a shared budget that one process takes, in virtual time.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Pacer, URGENT } from '../src/io/pacer.js';
import { ProcessClock, World } from './sim/world.js';

test('reads and users never wait behind bulk changes, and nothing goes beyond the budget', async () => {
  const world = new World(1);
  const pacer = new Pacer(
    { high: 60, low: 60 },
    { high: 12, low: 12 },
    200,
    1,
    new ProcessClock(world, 1, 0),
  );
  const took = { bulk: 0, users: [] as number[], reads: [] as number[] };
  // A wave: far more changes than the budget has for a minute.
  for (let i = 0; i < 100; i++)
    void pacer.take(URGENT.starts, 8).then(() => {
      took.bulk += 8;
    });
  const asks = () => {
    const at = world.now;
    void pacer.take(URGENT.users, 1).then(() => took.users.push(world.now - at));
    void pacer.take(URGENT.users, 0).then(() => took.reads.push(world.now - at));
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
  const world = new World(1);
  const pacer = new Pacer(
    { high: 60, low: 60 },
    { high: 12, low: 12 },
    200,
    3,
    new ProcessClock(world, 1, 0),
  );
  await world.runUntil(10_000);
  assert.equal(pacer.idle, true);
  pacer.drained(1);
  assert.equal(pacer.idle, false, 'others wait for the budget, even where this process has enough');
  let read = false;
  let wrote = false;
  void pacer.take(URGENT.results, 6).then(() => {
    wrote = true;
  });
  void pacer.take(URGENT.session, 0).then(() => {
    read = true;
  });
  await world.runUntil(world.now + 10);
  assert.deepEqual([read, wrote], [true, false]);
  await world.runUntil(world.now + 600);
  assert.equal(wrote, true);
});
