/** Request bursts: concurrent reads share requests, and watching leaves requests to others. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FinalStateCache } from '../src/controller/final-state-cache.js';
import { jobId, revision, version, type Revision } from '../src/core/model/ids.js';
import { ClusterView } from '../src/core/state/cluster-view.js';
import type { HttpResponse, Transport } from '../src/io/http-client.js';
import { StateClient } from '../src/io/state/state-client.js';
import { StateWatcher } from '../src/io/state/state-watcher.js';
import { ProcessClock, VirtualTime } from './sim/virtual-time.js';

const JOB = jobId('wk-1');

/** A cache over a client whose reads the test answers one by one, with a value and a revision. */
function cacheWithPendingReads() {
  const pendingReads: ((answer: { value: unknown; revision: Revision }) => void)[] = [];
  const get = () =>
    new Promise((resolve) => {
      pendingReads.push((answer) => {
        resolve({ ...answer, version: version(0) });
      });
    });
  return { finalStates: new FinalStateCache({ get } as unknown as StateClient), pendingReads };
}
const settled = () => new Promise((r) => setImmediate(r));

describe('reads of final states', () => {
  it('concurrent reads of one final state share a request', async () => {
    const { finalStates, pendingReads } = cacheWithPendingReads();
    const answers = [...Array(50).keys()].map(() => finalStates.read(JOB, revision(10)));
    assert.equal(pendingReads.length, 1);
    pendingReads[0]!({ value: { state: 'done', done: 3 }, revision: revision(9) });
    for (const answer of answers) assert.equal((await answer)?.state, 'done');
    assert.equal((await finalStates.read(JOB, revision(99)))?.state, 'done', 'a final state never changes');
    assert.equal(pendingReads.length, 1);
  });

  it('an answer older than the requested revision does not show that there is no final state', async () => {
    const { finalStates, pendingReads } = cacheWithPendingReads();
    const early = finalStates.read(JOB, revision(10));
    const late = finalStates.read(JOB, revision(20));
    pendingReads[0]!({ value: undefined, revision: revision(15) });
    assert.equal(await early, undefined);
    await settled();
    assert.equal(pendingReads.length, 2, 'the later read sends a request of its own');
    pendingReads[1]!({ value: { state: 'cancelled', done: 0 }, revision: revision(21) });
    assert.equal((await late)?.state, 'cancelled');
  });
});

describe('watch requests', () => {
  it('watching uses a bounded part of the requests, however many changes arrive', async () => {
    const world = new VirtualTime(1);
    const clock = new ProcessClock(world, 1, 0);
    let currentRevision = 10;
    let watchRequests = 0;
    const answer = (body: unknown): Promise<HttpResponse> =>
      new Promise((resolve) => {
        world.after(2, () => {
          resolve({ status: 200, body });
        });
      });
    const transport: Transport = {
      request: () => answer({ rows: [], hasNext: false, ledgerRev: currentRevision }),
    };
    const watchTransport: Transport = {
      request: () => {
        watchRequests++;
        currentRevision++;
        return answer({
          ledgerRev: currentRevision,
          events: [{ write: 'p/m/n-1', value: { name: 'n-1' }, entryRev: currentRevision }],
        });
      },
    };
    const limits = {
      rps: 150,
      writeRps: 60,
      lowRps: 150,
      lowWriteRps: 60,
      operationsPerTransaction: 8,
      valueBytes: 8192,
      nodes: 5,
    };
    const client = new StateClient({ limits, clock, transport, watchTransport });
    const view = new ClusterView();
    void new StateWatcher(client, view, { onChanged: () => undefined }).run();
    await settled();
    await world.runUntil(10_000);
    assert.ok(watchRequests <= 10 * (150 / 5) * 0.35, `${watchRequests} watch requests in ten seconds`);
    assert.ok(view.revision >= currentRevision - 1, `the view is at ${view.revision} of ${currentRevision}`);
  });
});
