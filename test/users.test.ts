/**
 * The HTTP API for users and agents, through the real server with stubs of the job service and the heartbeat router.
 * Guards against malformed requests that reach the job service, and against clients that wait for an answer while the
 * controller is overloaded or cannot reach the state service.
 */
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

const server = (overrides: Partial<Record<keyof JobService, unknown>> = {}, maxInProgress = 50) => {
  const submittedIds: string[] = [];
  const jobs = {
    submit: (spec: { id: string }) => {
      submittedIds.push(spec.id);
      return Promise.resolve<SubmissionResult>({ kind: 'accepted', state: 'pending' });
    },
    find: () => Promise.resolve(undefined),
    cancel: () => Promise.resolve({ kind: 'not_found' }),
    ...overrides,
  };
  const heartbeats = { answer: () => ({ kind: 'ok', token: fencingToken(7), commands: [] }) };
  const app = buildServer({
    log: pino({ level: 'silent' }),
    jobs: jobs as unknown as JobService,
    heartbeats: heartbeats as unknown as HeartbeatRouter,
    isHealthy: () => true,
    status: () => ({}),
    maxConnections: 10,
    minInProgress: 1,
    maxInProgress,
  });
  return { app, submittedIds };
};
const post = (app: ReturnType<typeof server>['app'], url: string, payload: unknown) =>
  app.inject({
    method: 'POST',
    url,
    headers: { 'content-type': 'application/json' },
    payload: typeof payload === 'string' ? payload : JSON.stringify(payload),
  });

test('a valid submission is accepted, with unknown fields and without nullable ones', async () => {
  const { app, submittedIds } = server();
  const minimal = submission({ more: { any: 1 }, flavors: undefined, vault: undefined, dueS: undefined });
  const response = await post(app, '/v1/jobs', minimal);
  assert.equal(response.statusCode, 201);
  assert.deepEqual(response.json(), { nameId: 'wk-000412', standing: 'pending' });
  assert.deepEqual(submittedIds, ['wk-000412']);
});

test("the README's example is a valid submission, and a lookup shows what a job waits for", async () => {
  const { app, submittedIds } = server({
    find: () =>
      Promise.resolve({
        state: 'pending',
        done: 0,
        running: 0,
        needs: ['wk-000412'],
        inherited: { priority: 'high', dueInS: 42.5 },
      }),
  });
  const readmeExample = /\{"nameId"[^}]*\}/.exec(readFileSync('README.md', 'utf8'))?.[0];
  assert.ok(readmeExample !== undefined);
  assert.equal((await post(app, '/v1/jobs', readmeExample)).statusCode, 201);
  assert.deepEqual(submittedIds, ['wk-000413']);
  const response = await app.inject({ method: 'GET', url: '/v1/jobs/wk-000413' });
  assert.deepEqual(response.json(), {
    nameId: 'wk-000413',
    standing: 'pending',
    done: 0,
    running: 0,
    awaits: ['wk-000412'],
    inherits: { tier: 'urgent', dueInS: 42.5 },
  });
});

test('malformed submissions get 400 and do not reach the job service', async () => {
  const { app, submittedIds } = server();
  const malformed: unknown[] = [
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
  for (const body of malformed) {
    const response = await post(app, '/v1/jobs', body);
    assert.equal(response.statusCode, 400, JSON.stringify(body).slice(0, 80));
  }
  assert.deepEqual(submittedIds, []);
});

test('a submission gets 400 if a field is missing, of a wrong type or out of range; unknown fields are ignored', async () => {
  const { app, submittedIds } = server();
  const fields = submission({ flavors: ['g8'], vault: 'a', awaits: ['wk-1'] });
  const nullable = new Set(['flavors', 'vault', 'dueS', 'awaits']);
  const tooLong = 'x'.repeat(201);
  const outOfRange: Record<string, unknown[]> = {
    nameId: ['', 'wk-', 'wk-a b', `wk-${tooLong}`, 'wk-a/0', 'WK-1'],
    shards: [0, -1, 0.5, 100_001],
    flavors: [[''], [null], [3], [[]], [tooLong]],
    awaits: [[''], [null], [3], [[]], ['x-1'], ['wk-1', 'wk-a b'], 'wk-1', { 0: 'wk-1' }],
    ...Object.fromEntries(['workload', 'tenant', 'bundle', 'vault'].map((f) => [f, ['', tooLong]])),
    ...Object.fromEntries(['shape', 'tier'].map((f) => [f, ['', 'Sweep', 'PRODUCTION']])),
    ...Object.fromEntries(
      ['vcpus', 'cards', 'memoryGb', 'pullGb', 'expectedS', 'snapshotEveryS', 'snapshotS', 'dueS'].map(
        (f) => [f, [-0.001, 1e300]],
      ),
    ),
  };
  const status = async (overrides: Record<string, unknown>) =>
    (await post(app, '/v1/jobs', { ...fields, ...overrides })).statusCode;
  for (const [field, value] of Object.entries(fields)) {
    for (const missing of [undefined, null])
      assert.equal(
        await status({ [field]: missing }),
        nullable.has(field) ? 201 : 400,
        `${field}: ${missing}`,
      );
    const hasSameType = (x: unknown) =>
      typeof x === typeof value && Array.isArray(x) === Array.isArray(value);
    for (const otherType of ['text', 7, true, { a: 1 }, [1]])
      if (!hasSameType(otherType))
        assert.equal(await status({ [field]: otherType }), 400, `${field}: ${JSON.stringify(otherType)}`);
    for (const invalid of outOfRange[field] ?? [])
      assert.equal(await status({ [field]: invalid }), 400, `${field}: ${JSON.stringify(invalid)}`);
  }
  assert.equal(submittedIds.length, 2 * nullable.size, 'rejected submissions must not reach the job service');
  assert.equal(await status({ unknown: { deep: [1] }, '': 0 }), 201);
  // No finite number: invalid JSON tokens, a number beyond the range of a double, and a number in quotes.
  for (const rawNumber of ['NaN', '1e999', '"8"', '08'])
    assert.equal(
      (await post(app, '/v1/jobs', JSON.stringify(fields).replace('"vcpus":8', `"vcpus":${rawNumber}`)))
        .statusCode,
      400,
      rawNumber,
    );
});

test('a request that cannot be decided now gets 503 with a retry-after header', async () => {
  const { app } = server({
    submit: () => Promise.resolve({ kind: 'later' }),
    find: () => Promise.reject(new UnavailableError('state')),
    cancel: () => Promise.resolve({ kind: 'later' }),
  });
  // Whether a submission is malformed does not depend on the state service: it gets 400 in any case.
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

test('a request beyond the limit on requests in progress is rejected with 429 at once instead of waiting', async () => {
  let finishSubmit: (() => void) | undefined;
  const { app } = server(
    {
      submit: () =>
        new Promise((resolve) => {
          finishSubmit = () => {
            resolve({ kind: 'accepted', state: 'pending' });
          };
        }),
    },
    1,
  );
  const first = post(app, '/v1/jobs', submission());
  while (finishSubmit === undefined) await new Promise((r) => setImmediate(r));
  const second = await post(app, '/v1/jobs', submission({ nameId: 'wk-2' }));
  assert.equal(second.statusCode, 429);
  assert.ok(Number(second.headers['retry-after']) >= 1);
  finishSubmit();
  assert.equal((await first).statusCode, 201);
});

test('slow lookups use up only their own limit on requests in progress and do not block submissions', async () => {
  let finishLookup: (() => void) | undefined;
  const find = () =>
    new Promise((resolve) => {
      finishLookup = () => {
        resolve(undefined);
      };
    });
  const { app, submittedIds } = server({ find }, 1);
  const pending = app.inject({ method: 'GET', url: '/v1/jobs/wk-1' });
  // inject() sends the request only once `then` is called on its result.
  void pending.then(() => undefined);
  while (finishLookup === undefined) await new Promise((r) => setImmediate(r));
  const refused = await app.inject({ method: 'GET', url: '/v1/jobs/wk-2' });
  assert.equal(refused.statusCode, 429);
  assert.ok(Number(refused.headers['retry-after']) >= 1);
  assert.equal((await post(app, '/v1/jobs', submission())).statusCode, 201);
  assert.equal(submittedIds.length, 1);
  finishLookup();
  await pending;
});

test('unknown jobs get 404, jobs that can never run 422, malformed heartbeats 400 and valid ones an answer', async () => {
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
  const response = await post(app, '/v1/report', heartbeat);
  assert.deepEqual(response.json(), { mandate: 7, orders: [] });
});
