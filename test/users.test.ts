/** The HTTP contract towards users and workers, through the real server with a stand-in behind it. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { pino } from 'pino';
import type { JobService } from '../src/controller/api/job-service.js';
import type { HeartbeatRouter } from '../src/controller/heartbeats/heartbeat-router.js';
import { UnavailableError } from '../src/core/errors.js';
import { fencingToken } from '../src/core/model/ids.js';
import type { SubmissionResult } from '../src/core/model/job-results.js';
import { buildServer } from '../src/io/users/http-server.js';
import { submission } from './samples.js';

const server = (over: Partial<Record<keyof JobService, unknown>> = {}, most = 50) => {
  const seen: string[] = [];
  const jobs = {
    submit: (spec: { id: string }) => {
      seen.push(spec.id);
      return Promise.resolve<SubmissionResult>({ kind: 'accepted', state: 'pending' });
    },
    find: () => Promise.resolve(undefined),
    cancel: () => Promise.resolve({ kind: 'not_found' }),
    ...over,
  };
  const reports = { answer: () => ({ kind: 'ok', token: fencingToken(7), commands: [] }) };
  const app = buildServer({
    log: pino({ level: 'silent' }),
    jobs: jobs as unknown as JobService,
    heartbeats: reports as unknown as HeartbeatRouter,
    isHealthy: () => true,
    status: () => ({}),
    maxConnections: 10,
    minInProgress: 1,
    maxInProgress: most,
  });
  return { app, seen };
};
const post = (app: ReturnType<typeof server>['app'], url: string, payload: unknown) =>
  app.inject({
    method: 'POST',
    url,
    headers: { 'content-type': 'application/json' },
    payload: typeof payload === 'string' ? payload : JSON.stringify(payload),
  });

test('a valid submission is accepted, with unknown fields and without nullable ones', async () => {
  const { app, seen } = server();
  const bare = submission({ more: { any: 1 }, flavors: undefined, vault: undefined, dueS: undefined });
  const r = await post(app, '/v1/jobs', bare);
  assert.equal(r.statusCode, 201);
  assert.deepEqual(r.json(), { nameId: 'wk-000412', standing: 'pending' });
  assert.deepEqual(seen, ['wk-000412']);
});

test("the README's example is a valid submission, and what a job waits for is shown", async () => {
  const { app, seen } = server({
    find: () =>
      Promise.resolve({
        state: 'pending',
        done: 0,
        running: 0,
        needs: ['wk-000412'],
        inherited: { priority: 'high', dueInS: 42.5 },
      }),
  });
  const example = /\{"nameId"[^}]*\}/.exec(readFileSync('README.md', 'utf8'))?.[0];
  assert.ok(example !== undefined);
  assert.equal((await post(app, '/v1/jobs', example)).statusCode, 201);
  assert.deepEqual(seen, ['wk-000413']);
  const shown = await app.inject({ method: 'GET', url: '/v1/jobs/wk-000413' });
  assert.deepEqual(shown.json(), {
    nameId: 'wk-000413',
    standing: 'pending',
    done: 0,
    running: 0,
    awaits: ['wk-000412'],
    inherits: { tier: 'urgent', dueInS: 42.5 },
  });
});

test('malformed submissions get 400 and are not passed on', async () => {
  const { app, seen } = server();
  const bad: unknown[] = [
    'not json',
    '',
    '[]',
    '3',
    'null',
    submission({ nameId: 'x-1' }),
    submission({ nameId: 'wk-a/b' }),
    submission({ nameId: undefined }),
    submission({ shape: 'circle' }),
    submission({ tier: 'highest' }),
    submission({ shards: 0 }),
    submission({ shards: 100_001 }),
    submission({ shards: 1.5 }),
    submission({ shards: '3' }),
    submission({ vcpus: -1 }),
    submission({ cards: null }),
    submission({ memoryGb: 1e300 }),
    submission({ flavors: 'g8' }),
    submission({ flavors: [3] }),
    submission({ samePlace: 'yes' }),
    submission({ expectedS: -1 }),
    submission({ dueS: 'soon' }),
    submission({ filler: 'x'.repeat(70_000) }),
  ];
  for (const b of bad) {
    const r = await post(app, '/v1/jobs', b);
    assert.equal(r.statusCode, 400, JSON.stringify(b).slice(0, 80));
  }
  assert.deepEqual(seen, []);
});

test('each field of a submission, missing, of a wrong type or out of range, gets 400; unknown ones are ignored', async () => {
  const { app, seen } = server();
  const fields = submission({ flavors: ['g8'], vault: 'a', awaits: ['wk-1'] });
  const nullable = new Set(['flavors', 'vault', 'dueS', 'awaits']);
  const long = 'x'.repeat(201);
  const outOfRange: Record<string, unknown[]> = {
    nameId: ['', 'wk-', 'wk-a b', `wk-${long}`, 'wk-a/0', 'WK-1'],
    shards: [0, -1, 0.5, 100_001],
    flavors: [[''], [null], [3], [[]], [long]],
    awaits: [[''], [null], [3], [[]], ['x-1'], ['wk-1', 'wk-a b'], 'wk-1', { 0: 'wk-1' }],
    ...Object.fromEntries(['workload', 'tenant', 'bundle', 'vault'].map((f) => [f, ['', long]])),
    ...Object.fromEntries(['shape', 'tier'].map((f) => [f, ['', 'Sweep', 'PRODUCTION']])),
    ...Object.fromEntries(
      ['vcpus', 'cards', 'memoryGb', 'pullGb', 'expectedS', 'snapshotEveryS', 'snapshotS', 'dueS'].map(
        (f) => [f, [-0.001, 1e300]],
      ),
    ),
  };
  const status = async (over: Record<string, unknown>) =>
    (await post(app, '/v1/jobs', { ...fields, ...over })).statusCode;
  for (const [field, value] of Object.entries(fields)) {
    for (const none of [undefined, null])
      assert.equal(await status({ [field]: none }), nullable.has(field) ? 201 : 400, `${field}: ${none}`);
    const same = (x: unknown) => typeof x === typeof value && Array.isArray(x) === Array.isArray(value);
    for (const other of ['text', 7, true, { a: 1 }, [1]])
      if (!same(other))
        assert.equal(await status({ [field]: other }), 400, `${field}: ${JSON.stringify(other)}`);
    for (const bad of outOfRange[field] ?? [])
      assert.equal(await status({ [field]: bad }), 400, `${field}: ${JSON.stringify(bad)}`);
  }
  assert.equal(seen.length, 2 * nullable.size, 'what was refused reached nobody');
  assert.equal(await status({ unknown: { deep: [1] }, '': 0 }), 201);
  // Not a number, in whatever way JSON lets one say it.
  for (const raw of ['NaN', '1e999', '"8"', '08'])
    assert.equal(
      (await post(app, '/v1/jobs', JSON.stringify(fields).replace('"vcpus":8', `"vcpus":${raw}`))).statusCode,
      400,
      raw,
    );
});

test('a request that cannot be decided now gets 503 with a time to retry', async () => {
  const { app } = server({
    submit: () => Promise.resolve({ kind: 'later' }),
    find: () => Promise.reject(new UnavailableError('state')),
    cancel: () => Promise.resolve({ kind: 'later' }),
  });
  // What is malformed is so in every state of the service.
  assert.equal((await post(app, '/v1/jobs', submission({ awaits: 'wk-1' }))).statusCode, 400);
  for (const r of [
    await post(app, '/v1/jobs', submission()),
    await app.inject({ method: 'GET', url: '/v1/jobs/wk-1' }),
    await app.inject({ method: 'POST', url: '/v1/jobs/wk-1/abort' }),
  ]) {
    assert.equal(r.statusCode, 503);
    assert.equal(r.headers['retry-after'], '1');
  }
});

test('beyond the limit on requests in progress the next one is refused with 429, none waits', async () => {
  let go: (() => void) | undefined;
  const { app } = server(
    {
      submit: () =>
        new Promise((resolve) => {
          go = () => {
            resolve({ kind: 'accepted', state: 'pending' });
          };
        }),
    },
    1,
  );
  const first = post(app, '/v1/jobs', submission());
  while (go === undefined) await new Promise((r) => setImmediate(r));
  const second = await post(app, '/v1/jobs', submission({ nameId: 'wk-2' }));
  assert.equal(second.statusCode, 429);
  assert.ok(Number(second.headers['retry-after']) >= 1);
  go();
  assert.equal((await first).statusCode, 201);
});

test('slow lookups do not keep submissions out', async () => {
  let answer: (() => void) | undefined;
  const find = () =>
    new Promise((resolve) => {
      answer = () => {
        resolve(undefined);
      };
    });
  const { app, seen } = server({ find }, 1);
  const slow = app.inject({ method: 'GET', url: '/v1/jobs/wk-1' });
  // inject() begins when it is waited for.
  void slow.then(() => undefined);
  while (answer === undefined) await new Promise((r) => setImmediate(r));
  const asked = await app.inject({ method: 'GET', url: '/v1/jobs/wk-2' });
  assert.equal(asked.statusCode, 429);
  assert.ok(Number(asked.headers['retry-after']) >= 1);
  assert.equal((await post(app, '/v1/jobs', submission())).statusCode, 201);
  assert.equal(seen.length, 1);
  answer();
  await slow;
});

test('unknown jobs get 404, impossible ones 422, heartbeats an answer or 400', async () => {
  const { app } = server({ submit: () => Promise.resolve({ kind: 'impossible', why: 'unknown_team' }) });
  assert.equal((await app.inject({ method: 'GET', url: '/v1/jobs/wk-9' })).statusCode, 404);
  assert.equal((await app.inject({ method: 'GET', url: '/v1/jobs/%20' })).statusCode, 404);
  assert.equal((await post(app, '/v1/jobs', submission())).statusCode, 422);
  assert.equal((await post(app, '/v1/report', { teller: 'n-1' })).statusCode, 400);
  const heartbeat = {
    teller: 'n-1',
    flavor: 'm',
    vault: 'a',
    loaner: false,
    shift: 1,
    tally: 1,
    mandate: 0,
    shards: [],
  };
  const r = await post(app, '/v1/report', heartbeat);
  assert.deepEqual(r.json(), { mandate: 7, orders: [] });
});
