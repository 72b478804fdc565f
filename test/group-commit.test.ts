/** Submissions that come together share transactions; each learns what became of itself. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { revision, NO_VERSION } from '../src/core/model/ids.js';
import type { ChangeSet } from '../src/io/state/change-set.js';
import { GroupCommit } from '../src/io/state/group-commit.js';
import type { StateClient, TransactionResult } from '../src/io/state/state-client.js';

const change = (name: string) => ({
  operations: [{ key: `p/j/${name}`, value: { name } }],
  guards: [`p/j/${name}`, `f/${name}`].map((key) => ({ key, version: NO_VERSION })),
});

/** A state service that answers when it is told to, and refuses keys that exist. */
function service(settings = { operationsPerTransaction: 8, writeRps: 60, nodes: 3 }) {
  const sent: string[][] = [];
  const exists = new Set<string>();
  const rejects = new Set<string>();
  let answers: (() => void)[] = [];
  const client = {
    limits: settings,
    writesWithin: () => 0,
    transactWithRetry: ({ guards, operations }: ChangeSet) =>
      new Promise<TransactionResult>((resolve) => {
        sent.push(operations.map((o) => o.key));
        answers.push(() => {
          const failed = guards.map((g) => g.key).filter((k) => exists.has(k));
          if (operations.some((o) => rejects.has(o.key))) resolve({ kind: 'rejected' });
          else if (failed.length > 0) resolve({ kind: 'conflict', revision: revision(5), failed });
          else {
            for (const o of operations) exists.add(o.key);
            resolve({ kind: 'ok', revision: revision(6) });
          }
        });
      }),
  };
  const answer = async () => {
    while (answers.length > 0) {
      const now = answers;
      answers = [];
      for (const go of now) go();
      await new Promise((r) => setImmediate(r));
    }
  };
  return { commits: new GroupCommit(client as unknown as StateClient), sent, exists, rejects, answer };
}

test('a change that arrives alone is sent at once, those that arrive meanwhile share transactions within the limits', async () => {
  const s = service();
  const names = [...Array(20).keys()].map((i) => `wk-${i}`);
  const results = names.map((name) => s.commits.commit(name, change(name)));
  assert.equal(s.sent.length, 2, 'the first two wait for nobody');
  await s.answer();
  assert.deepEqual(new Set((await Promise.all(results)).map((r) => r.kind)), new Set(['ok']));
  assert.deepEqual(
    s.sent.map((keys) => keys.length),
    [1, 1, 8, 8, 2],
  );
});

test('a change that conflicts or is rejected does not fail the others', async () => {
  const s = service();
  s.exists.add('f/wk-3');
  s.rejects.add('p/j/wk-12');
  const results = [...Array(14).keys()].map((i) => s.commits.commit(`wk-${i}`, change(`wk-${i}`)));
  await s.answer();
  const kinds = (await Promise.all(results)).map((r) => r.kind);
  assert.equal(kinds[3], 'conflict');
  assert.equal(kinds[12], 'rejected');
  assert.ok(
    kinds.every((k, i) => k === 'ok' || i === 3 || i === 12),
    kinds.join(' '),
  );
});

test('no transaction is larger than what this controller may write within a second', async () => {
  const s = service({ operationsPerTransaction: 32, writeRps: 20, nodes: 4 });
  const results = [...Array(12).keys()].map((i) => s.commits.commit(`wk-${i}`, change(`wk-${i}`)));
  await s.answer();
  await Promise.all(results);
  assert.ok(s.sent.every((keys) => keys.length <= 5));
});

test('a change that would wait longer than its user is refused at once, and nothing is sent twice', async () => {
  const s = service({ operationsPerTransaction: 8, writeRps: 20, nodes: 4 });
  const commit = (i: number) => s.commits.commit(`wk-${i}`, change(`wk-${i}`));
  const first = [...Array(40).keys()].map(commit);
  const again = [...Array(10).keys()].map(commit);
  const refused = await Promise.race([first[39], Promise.resolve({ kind: 'waits' })]);
  assert.equal(refused?.kind, 'refused');
  await s.answer();
  const kinds = (await Promise.all([...first, ...again])).map((r) => r.kind);
  assert.equal(kinds.filter((k) => k === 'ok').length, 17 + 10, 'two at once, and three seconds of changes');
  assert.equal(new Set(s.sent.flat()).size, s.sent.flat().length);
});
