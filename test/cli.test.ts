/**
 * The client commands of the built program against the real HTTP server with a stub of the job service. Guards against
 * output or exit codes that do not match the server's answer, on which operators' scripts rely.
 */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { pino } from 'pino';
import type { JobService } from '../src/controller/api/job-service.js';
import type { HeartbeatRouter } from '../src/controller/heartbeats/heartbeat-router.js';
import { buildServer } from '../src/io/users/http-server.js';
import { submission } from './samples.js';

const runCli = (...args: string[]) =>
  new Promise<{ code: number; out: string; err: string }>((resolve) => {
    execFile(process.execPath, ['target/main.cjs', ...args], (e, out, err) => {
      resolve({ code: e === null ? 0 : Number(e.code), out, err });
    });
  });

test('submit, show, cancel and status print the answer, and the exit code shows whether they succeeded', async () => {
  const known = new Set<string>();
  const jobs = {
    submit: (spec: { id: string }) => {
      known.add(spec.id);
      return Promise.resolve({ kind: 'accepted', state: 'pending' });
    },
    find: (id: string) =>
      Promise.resolve(known.has(id) ? { state: 'running', done: 1, running: 2 } : undefined),
    cancel: (id: string) =>
      Promise.resolve(known.has(id) ? { kind: 'final', state: 'cancelled' } : { kind: 'not_found' }),
  };
  const app = buildServer({
    log: pino({ level: 'silent' }),
    jobs: jobs as unknown as JobService,
    heartbeats: {} as unknown as HeartbeatRouter,
    isHealthy: () => true,
    status: () => ({ leader: 'c-0' }),
    maxConnections: 20,
    minInProgress: 4,
    maxInProgress: 20,
  });
  await app.listen({ host: '127.0.0.1', port: 0 });
  const address = ['--address', `127.0.0.1:${(app.server.address() as AddressInfo).port}`];
  const file = path.join(mkdtempSync(path.join(os.tmpdir(), 'pepperbank-')), 'job.json');
  writeFileSync(file, JSON.stringify(submission()));
  try {
    const submitted = await runCli('submit', ...address, file);
    assert.deepEqual(
      [submitted.code, JSON.parse(submitted.out)],
      [0, { nameId: 'wk-000412', standing: 'pending' }],
    );
    const shown = await runCli('show', ...address, 'wk-000412');
    assert.deepEqual(JSON.parse(shown.out), {
      nameId: 'wk-000412',
      standing: 'running',
      done: 1,
      running: 2,
    });
    const cancelled = await runCli('cancel', ...address, 'wk-000412');
    assert.deepEqual(
      [cancelled.code, (JSON.parse(cancelled.out) as { standing: string }).standing],
      [0, 'withdrawn'],
    );
    assert.match((await runCli('status', ...address)).out, /"leader": "c-0"/);
    const unknown = await runCli('show', ...address, 'wk-9');
    assert.deepEqual([unknown.code, unknown.err.includes('404')], [1, true]);
    writeFileSync(file, 'no json');
    assert.equal((await runCli('submit', ...address, file)).code, 2);
  } finally {
    await app.close();
  }
  assert.equal((await runCli('show', ...address, 'wk-1')).code, 1, 'the server no longer listens');
});
