/**
 * Plugins of the service. Guards against running code of a plugin that no operators' file enables, options
 * whose errors show only after the start, and a failing plugin that stops the others.
 */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { pino } from 'pino';
import { readOperatorSettingsFiles } from '../src/config/operator-settings.js';
import type { LoadedPlugin, RunningPlugin, PluginServices } from '../src/plugin-host/api.js';
import { PluginHost } from '../src/plugin-host/plugin-host.js';
import { platformSettings } from './samples.js';

const directory = mkdtempSync(path.join(os.tmpdir(), 'pepperbank-'));
const write = (name: string, text: string) => {
  const file = path.join(directory, name);
  writeFileSync(file, text);
  return file;
};
const config = write('platform.toml', platformSettings);

const checkConfig = (program: string, ...operators: string[]) =>
  new Promise<{ code: number; out: string; err: string }>((resolve) => {
    const args = [
      program,
      'check-config',
      '--config',
      config,
      ...operators.flatMap((o) => ['--operator', o]),
    ];
    execFile(process.execPath, args, (e, out, err) => {
      resolve({ code: e === null ? 0 : Number(e.code), out, err });
    });
  });

test("a plugin without a section is not loaded, and the operators' files in deploy/ are valid", async () => {
  const copy = path.join(directory, 'target');
  mkdirSync(copy);
  for (const file of ['main.cjs', 'app.cjs']) cpSync(path.join('target', file), path.join(copy, file));
  mkdirSync(path.join(copy, 'packages'));
  // Replacements that throw when they are loaded.
  for (const name of ['warm-standby', 'tracing'])
    writeFileSync(path.join(copy, 'packages', `${name}.cjs`), `throw new Error('${name} was read');`);
  const program = path.join(copy, 'main.cjs');
  const plain = await checkConfig(program);
  assert.deepEqual([plain.code, plain.out], [0, 'ok: c-0, 0 teams, 3 controllers\n'], plain.err);
  const enabled = await checkConfig(program, 'deploy/warm-standby.toml');
  assert.match(enabled.err, /warm-standby was read/);
  const real = await checkConfig('target/main.cjs', 'deploy/warm-standby.toml', 'deploy/tracing.toml');
  assert.deepEqual(
    [real.code, real.out],
    [0, 'ok: c-0, 0 teams, 3 controllers, packages: warm_standby, tracing\n'],
    real.err,
  );
  rmSync(copy, { recursive: true });
});

test('an unknown plugin, key or value ends the program with code 2 and names file, path and reason', async () => {
  const cases: [string, RegExp][] = [
    ['[packages.hot_standby]', /packages\.hot_standby: there is no such package/],
    ['[packages."../main"]', /packages\.\.\.\/main: there is no such package/],
    ['[packages.warm_standby]\ndegrees = 1', /packages\.warm_standby\.degrees/],
    ['[packages.warm_standby]\ndegree = 7', /packages\.warm_standby\.degree: 7, and there are 2/],
    ['[packages.tracing]', /packages\.tracing\.collector_url: neither/],
    ['packages = 3', /packages/],
    ['[placements]', /placements/],
  ];
  for (const [text, message] of cases) {
    const file = write('operator.toml', text);
    const { code, err } = await checkConfig('target/main.cjs', file);
    assert.equal(code, 2, err);
    assert.match(err, message);
    assert.ok(err.includes(file), `the file is named in: ${err}`);
  }
});

test("several operators' files are merged, a setting in two of them is an error, and errors name the file", () => {
  const files = (...texts: string[]) => texts.map((text, i) => ({ path: `${i}.toml`, text }));
  const all = readOperatorSettingsFiles(
    files('[sessions]\nttl_s = 9', '[sessions]\nrenew_every_s = 2\n[packages.a]\nx = 1', '[packages.b]'),
  );
  assert.deepEqual([all.sessions.ttl_s, all.sessions.renew_every_s], [9, 2]);
  // The TOML library creates tables without a prototype; only their contents are compared.
  assert.deepEqual(JSON.parse(JSON.stringify(all.packages)), { a: { x: 1 }, b: {} });
  assert.throws(
    () => readOperatorSettingsFiles(files('[sessions]\nttl_s = 9', '[sessions]\nttl_s = 9')),
    /1\.toml: sessions\.ttl_s: another file sets it/,
  );
  assert.throws(() => readOperatorSettingsFiles(files('', '[sessions]\nttl = 9')), /1\.toml: sessions\.ttl/);
  assert.throws(() => readOperatorSettingsFiles(files('', 'x')), /1\.toml: not TOML/);
});

test('a plugin that fails at its start or while it runs is shown in the status, and the others continue', async () => {
  const loadedPackage = (name: string, start: () => RunningPlugin): LoadedPlugin => ({
    name,
    definition: { schema: {} as never, validate: () => null, start },
    options: {},
  });
  let soundRuns = 0;
  const host = new PluginHost(
    [
      loadedPackage('broken', () => {
        throw new Error('no start');
      }),
      loadedPackage('ends', () => ({
        run: () => Promise.reject(new Error('no run')),
        status: () => ({ a: 1 }),
      })),
      loadedPackage('sound', () => ({
        run: () => {
          soundRuns++;
          return Promise.resolve();
        },
        commands: { poke: () => Promise.resolve({ status: 200, body: { ok: true } }) },
        metrics: () => Promise.resolve('x 1\n'),
      })),
    ],
    () => ({}) as PluginServices,
    pino({ level: 'silent' }),
  );
  await host.run();
  assert.equal(soundRuns, 1);
  assert.deepEqual(host.status(), {
    broken: { failed: 'no start' },
    ends: { a: 1, failed: 'no run' },
    sound: {},
  });
  assert.deepEqual(await host.command('sound', 'poke', {}), { status: 200, body: { ok: true } });
  for (const [name, command] of [
    ['sound', 'toString'],
    ['sound', 'other'],
    ['none', 'poke'],
  ])
    assert.equal(await host.command(name!, command!, {}), null);
  assert.equal(await host.metrics(), 'x 1\n');
});
