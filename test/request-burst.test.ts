/** Storms of questions: what is asked together shares requests, and waiting for changes leaves requests to others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FinalStateCache } from '../src/controller/final-state-cache.js';
import { jobId, revision, version, type Revision } from '../src/core/model/ids.js';
import { ClusterView } from '../src/core/state/cluster-view.js';
import { StateClient } from '../src/io/state/state-client.js';
import { StateWatcher } from '../src/io/state/state-watcher.js';
import type { HttpResponse, Transport } from '../src/io/http-client.js';
import { ProcessClock, VirtualTime } from './sim/virtual-time.js';

const JOB = jobId('wk-1');

/** A client whose reads are answered one by one, with the value and the revision given. */
function reads() {
  const waiting: ((answer: { value: unknown; rev: Revision }) => void)[] = [];
  const get = () =>
    new Promise((resolve) => {
      waiting.push((answer) => {
        resolve({ ...answer, version: version(0) });
      });
    });
  return { finals: new FinalStateCache({ get } as unknown as StateClient), waiting };
}
const settled = () => new Promise((r) => setImmediate(r));

test('questions about one job that come together share a read', async () => {
  const { finals, waiting } = reads();
  const answers = [...Array(50).keys()].map(() => finals.read(JOB, revision(10)));
  assert.equal(waiting.length, 1);
  waiting[0]!({ value: { state: 'done', done: 3 }, rev: revision(9) });
  for (const answer of answers) assert.equal((await answer)?.state, 'done');
  assert.equal((await finals.read(JOB, revision(99)))?.state, 'done', 'a final state is for ever');
  assert.equal(waiting.length, 1);
});

test('an answer from before the question, that there is no final state, is not taken for it', async () => {
  const { finals, waiting } = reads();
  const early = finals.read(JOB, revision(10));
  const late = finals.read(JOB, revision(20));
  waiting[0]!({ value: undefined, rev: revision(15) });
  assert.equal(await early, undefined);
  await settled();
  assert.equal(waiting.length, 2, 'the later one is read anew');
  waiting[1]!({ value: { state: 'cancelled', done: 0 }, rev: revision(21) });
  assert.equal((await late)?.state, 'cancelled');
});

test('waiting for changes takes a bounded part of the requests, however many changes come', async () => {
  const world = new VirtualTime(1);
  const clock = new ProcessClock(world, 1, 0);
  let rev = 10;
  let follows = 0;
  const answer = (body: unknown): Promise<HttpResponse> =>
    new Promise((resolve) => {
      world.after(2, () => {
        resolve({ status: 200, body });
      });
    });
  const http: Transport = { request: () => answer({ rows: [], hasNext: false, ledgerRev: rev }) };
  const watch: Transport = {
    request: () => {
      follows++;
      rev++;
      return answer({
        ledgerRev: rev,
        events: [{ write: 'p/m/n-1', value: { name: 'n-1' }, entryRev: rev }],
      });
    },
  };
  const settings = {
    rps: 150,
    writeRps: 60,
    lowRps: 150,
    lowWriteRps: 60,
    operationsPerTransaction: 8,
    valueBytes: 8192,
    nodes: 5,
  };
  const client = new StateClient(settings, clock, http, watch);
  const view = new ClusterView();
  void new StateWatcher(client, view, () => undefined).run();
  await settled();
  await world.runUntil(10_000);
  assert.ok(follows <= 10 * (150 / 5) * 0.35, `${follows} waits in ten seconds`);
  assert.ok(view.revision >= rev - 1, `the view is at ${view.revision} of ${rev}`);
});
