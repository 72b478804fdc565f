/** Transactions whose outcome is unknown: carried out, late, or never. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { version } from '../src/core/model/ids.js';
import { ClusterView } from '../src/core/state/cluster-view.js';
import type { HttpResponse, Transport } from '../src/io/http-client.js';
import { REQUEST_PRIORITY } from '../src/io/rate-limiter.js';
import { GUARDS_PER_OPERATION, GuardSet } from '../src/io/state/change-set.js';
import { StateClient, type StateServiceLimits } from '../src/io/state/state-client.js';
import { StateWatcher } from '../src/io/state/state-watcher.js';
import { commit, commitChangeSets } from '../src/io/state/transaction-commit.js';
import { packTransactions } from '../src/io/state/transaction-packing.js';
import { StateService } from './sim/state-service.js';
import { ProcessClock, VirtualTime } from './sim/virtual-time.js';

const BUDGET = { rps: 500, writeRps: 500, txnOps: 4 };
const LIMITS: StateServiceLimits = {
  rps: BUDGET.rps,
  writeRps: BUDGET.writeRps,
  lowRps: BUDGET.rps,
  lowWriteRps: BUDGET.writeRps,
  operationsPerTransaction: BUDGET.txnOps,
  valueBytes: 8192,
  nodes: 1,
};

/** A client of the stand-in whose first transaction with changes gets no answer, and whose watch is held up. */
function setUp(fate: 'applied' | 'late' | 'lost' | 'refused') {
  const world = new VirtualTime(3);
  const state = new StateService(world, BUDGET);
  const clock = new ProcessClock(world, 1, 0);
  let first = true;
  let watchHeldUntil = 0;
  const transport: Transport = {
    request: (method, path, body, timeoutMs) =>
      new Promise<HttpResponse>((resolve, reject) => {
        clock.after(timeoutMs, () => {
          reject(new Error('no answer'));
        });
        const changes = ((body as { then?: unknown[] } | undefined)?.then ?? []).length > 0;
        if (path === '/txn' && changes && first) {
          first = false;
          watchHeldUntil = world.now + 9000;
          if (fate === 'refused') {
            world.after(5, () => {
              resolve({ status: 429, body: null });
            });
            return;
          }
          if (fate !== 'lost')
            world.after(fate === 'late' ? 6000 : 5, () => void state.handle(method, path, body));
          return;
        }
        world.after(5, () => {
          resolve(state.handle(method, path, body));
        });
      }),
  };
  const watchTransport: Transport = {
    request: (_method, path) =>
      new Promise<HttpResponse>((resolve) => {
        state.follow(path, (r) => {
          world.at(Math.max(world.now + 5, watchHeldUntil), () => {
            resolve(r);
          });
        });
      }),
  };
  const client = new StateClient({ limits: LIMITS, clock, transport, watchTransport });
  const view = new ClusterView();
  const follower = new StateWatcher(client, view, { onChanged: () => undefined });
  state.handle('POST', '/txn', { then: [{ write: 'p/m/n-1', value: { n: 0 } }] });
  void follower.run();
  return { world, state, client, follower, view };
}

for (const fate of ['applied', 'late', 'lost'] as const)
  test(`after a transaction without an answer (${fate}) the view holds its outcome, which cannot change any more`, async () => {
    const { world, state, client, follower, view } = setUp(fate);
    await world.runUntil(1000);
    const before = view.versionOf('p/m/n-1');
    assert.ok(before > 0);
    let outcome = null as string | null;
    const op = { key: 'p/m/n-1', value: { n: 1 } };
    void commit(
      client,
      follower,
      { guards: [{ key: op.key, version: before }], operations: [op] },
      REQUEST_PRIORITY.starts,
    ).then((r) => {
      outcome = r;
      assert.equal(view.versionOf(op.key), state.rows.get(op.key)!.revision, 'it goes on with an old view');
    });
    while (outcome === null && world.now < 60_000) await world.runUntil(world.now + 100);
    assert.equal(outcome, 'conflict');
    const value = state.rows.get(op.key)!.value;
    await world.runUntil(world.now + 20_000);
    assert.deepEqual(state.rows.get(op.key)!.value, value, 'nothing is applied after the outcome was told');
    assert.deepEqual(value, { n: fate === 'applied' ? 1 : 0 });
  });

test('transactions are packed up to every limit, in order, with the versions of their change sets', () => {
  const groups = [...Array(23).keys()].map((i) => ({
    operations: [{ key: `p/m/${i}`, value: { text: 'x'.repeat(i === 5 ? 59_000 : 10) } }],
    guards: [
      { key: `p/m/${i}`, version: version(i + 1) },
      { key: `p/o/${i % 2}`, version: version(9) },
    ],
  }));
  const view = new ClusterView();
  const write = (k: string, v: number) => view.apply({ key: k, value: {}, version: version(v) });
  groups.forEach((g) => {
    for (const { key: k, version: v } of g.guards) write(k, v);
  });
  const txns = [
    ...packTransactions(
      groups,
      [{ key: 'p/leader', version: version(1) }],
      { operationsPerTransaction: 8, valueBytes: 65_536 },
      view,
    ),
  ];
  assert.deepEqual(
    txns.flatMap((t) => t.operations),
    groups.flatMap((g) => g.operations),
  );
  for (const t of txns) {
    assert.ok(t.operations.length <= 8 && t.guards.length <= 32);
    assert.ok(JSON.stringify({ ops: t.operations, guards: t.guards }).length < 64 * 1024);
    for (const o of t.operations)
      assert.ok(t.guards.some((g) => g.key === o.key && g.version === Number(o.key.slice(4)) + 1));
    assert.ok(t.guards.some((g) => g.key === 'p/leader'));
  }
  assert.ok(txns.length <= 5);
});

test('a change set that became outdated while it waited is not sent and uses no request', async () => {
  const { world, state, client, follower, view } = setUp('lost');
  await world.runUntil(1000);
  const groups = [...Array(6).keys()].map((i) => ({
    operations: [{ key: `p/m/${i}`, value: { i } }],
    guards: [{ key: `p/m/${i}`, version: version(0) }],
  }));
  const txns = packTransactions(groups, [], { operationsPerTransaction: 2, valueBytes: 8192 }, view);
  const sent: string[] = [];
  for (const t of txns) {
    sent.push(...t.operations.map((o) => o.key));
    view.apply({ key: 'p/m/3', value: {}, version: version(500) });
  }
  assert.deepEqual(sent, ['p/m/0', 'p/m/1', 'p/m/2', 'p/m/4', 'p/m/5']);
  // Overtaken while the budget made it wait.
  const before = state.counts.requests;
  const guard = { key: 'p/m/3', version: version(0) };
  const outcome = await commit(
    client,
    follower,
    { guards: [guard], operations: [{ key: guard.key, value: {} }] },
    REQUEST_PRIORITY.starts,
  );
  assert.equal(outcome, 'conflict');
  await world.runUntil(world.now + 5000);
  assert.equal(state.counts.requests, before, 'no request was made for it');
});

test('a plan continues after a conflict or a refusal for the budget; after its deadline the rest is left out', async () => {
  const { world, state, client, follower } = setUp('refused');
  await world.runUntil(1000);
  const groups = [...Array(12).keys()].map((i) => ({
    operations: [{ key: `p/m/${i}`, value: { i } }],
    guards: [{ key: `p/m/${i}`, version: version(0) }],
  }));
  const written = () => [...state.rows.keys()].filter((k) => /^p.m.\d+$/.test(k)).length;
  let all = null as boolean | null;
  void commitChangeSets(client, follower, groups, REQUEST_PRIORITY.starts).then((r) => {
    all = r;
  });
  await world.runUntil(world.now + 2);
  // Another process is there first, and the watch does not tell of it in time.
  state.handle('POST', '/txn', { then: [{ write: 'p/m/5', value: {} }] });
  while (all === null && world.now < 20_000) await world.runUntil(world.now + 50);
  assert.equal(all, false, 'something was left out');
  // Four to a transaction: the one with the overtaken change fails as a whole, the others go on.
  assert.equal(written(), 12 - 3);
  const rest = [...Array(40).keys()].map((i) => ({
    operations: [{ key: `p/m/${100 + i}`, value: { i } }],
    guards: [{ key: `p/m/${100 + i}`, version: version(0) }],
  }));
  let some = null as boolean | null;
  void commitChangeSets(client, follower, rest, REQUEST_PRIORITY.starts, 25).then((r) => {
    some = r;
  });
  while (some === null && world.now < 40_000) await world.runUntil(world.now + 50);
  assert.equal(some, false);
  assert.ok(written() > 9 && written() < 9 + 40, `${written()} written`);
});

test('a change set that the service rejects does not fail the others in its transaction', async () => {
  const { world, state, client, follower } = setUp('lost');
  await world.runUntil(1000);
  // The first transaction of the stand-in gets no answer: that is another test's.
  void client.transact({ guards: [], operations: [{ key: 'x', value: {} }] }, REQUEST_PRIORITY.starts);
  await world.runUntil(4000);
  state.valueBytes = 200;
  const groups = [...Array(6).keys()].map((i) => ({
    operations: [{ key: `p/m/${i}`, value: { text: 'x'.repeat(i === 2 ? 500 : 10) } }],
    guards: [{ key: `p/m/${i}`, version: version(0) }],
  }));
  let all = null as boolean | null;
  void commitChangeSets(client, follower, groups, REQUEST_PRIORITY.starts).then((r) => {
    all = r;
  });
  while (all === null && world.now < 20_000) await world.runUntil(world.now + 50);
  assert.equal(all, false);
  assert.deepEqual(
    [...state.rows.keys()].filter((k) => /^p.m.\d+$/.test(k)).sort(),
    [0, 1, 3, 4, 5].map((i) => `p/m/${i}`),
  );
});

test('a transaction without an answer is settled with a key whose value fits the lower limit', async () => {
  const { world, state, client, follower, view } = setUp('lost');
  // Stored under the limit before, and larger than what may be written now.
  const large = { key: 'p/m/large', value: { text: 'x'.repeat(9000) } };
  state.valueBytes = 10_000;
  state.handle('POST', '/txn', {
    then: [
      { write: large.key, value: large.value },
      { write: 'p/t/red', value: {} },
    ],
  });
  await world.runUntil(1000);
  state.valueBytes = 8192;
  const guards = [large.key, 'p/t/red'].map((k) => ({ key: k, version: view.versionOf(k) }));
  assert.ok(guards.every((g) => g.version > 0));
  let outcome = null as string | null;
  const op = { key: large.key, value: { n: 1 } };
  void commit(client, follower, { guards, operations: [op] }, REQUEST_PRIORITY.starts).then((r) => {
    outcome = r;
  });
  while (outcome === null && world.now < 60_000) await world.runUntil(world.now + 100);
  assert.equal(outcome, 'conflict');
  assert.equal(state.oversizedTransactions, 0, 'nothing was sent that can only be rejected');
  assert.ok(state.rows.get('p/t/red')!.revision > guards[1]!.version, 'its guards fail from now on');
});

test('the late answer to a write does not restore a record that was removed meanwhile', () => {
  const view = new ClusterView();
  const key = 'p/j/wk-1';
  view.apply({ key, value: { n: 1 }, version: version(5) });
  view.advanceTo(9 as never);
  // Written here at 10 and removed by another controller at 12; the watch tells of both before the answer comes.
  view.apply({ key, value: { n: 2 }, version: version(10) });
  view.apply({ key, value: undefined, version: version(12) });
  view.advanceTo(12 as never);
  assert.equal(view.apply({ key, value: { n: 2 }, version: version(10) }), false);
  assert.equal(view.jobs.size, 0);
  assert.equal(view.versionOf(key), 0);
  // A removal of its own, known before the watch tells of what was written before it.
  const own = 'p/j/wk-2';
  view.apply({ key: own, value: undefined, version: version(20) });
  assert.equal(view.apply({ key: own, value: {}, version: version(15) }), false);
  // What is listed anew is taken in from the revision on that is known.
  view.resetTo([{ key: 'p/j/wk-3', value: {}, version: version(30) }], 31 as never);
  assert.deepEqual([...view.jobs.keys()], ['wk-3']);
});

test('guards of a change set are distinct, and never exceed the limit of a transaction', () => {
  const guards = new GuardSet(2 * GUARDS_PER_OPERATION);
  const guard = (key: string) => ({ key, version: version(3) });
  assert.ok(guards.add([guard('m'), guard('s')]));
  for (let i = 0; i < 6; i++) assert.ok(guards.add([guard('s'), guard(`j${i}`)]), `the ${i}th`);
  assert.equal(guards.add([guard('s'), guard('j6')]), false);
  assert.ok(guards.add([guard('s'), guard('j5')]), 'known ones cost nothing');
  assert.equal(guards.list().length, 8);
});
