/**
 * Bursts of requests and changes. The tests guard against an exhausted request budget of the state service: without sharing,
 * each of many concurrent reads of a final state would send a request, and while changes arrive all the time, each watch
 * would be answered at once and followed by the next.
 */
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

/** A cache of final states with a client whose reads the test answers one by one, with a value and a revision. */
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
/** Resolves after all promises that are settled now have been processed. */
const flushPromises = () => new Promise((resolve) => setImmediate(resolve));

describe('reads of final states', () => {
  it('concurrent reads of one final state share a request', async () => {
    const { finalStates, pendingReads } = cacheWithPendingReads();
    const answers = [...Array(50).keys()].map(() => finalStates.read(JOB, revision(10)));
    assert.equal(pendingReads.length, 1);
    pendingReads[0]!({ value: { state: 'done', done: 3 }, revision: revision(9) });
    for (const answer of answers) assert.equal((await answer)?.state, 'done');
    assert.equal(
      (await finalStates.read(JOB, revision(99)))?.state,
      'done',
      'a final state that never changes was not cached',
    );
    assert.equal(pendingReads.length, 1);
  });

  it('an answer older than the requested revision does not show that there is no final state', async () => {
    const { finalStates, pendingReads } = cacheWithPendingReads();
    const early = finalStates.read(JOB, revision(10));
    const late = finalStates.read(JOB, revision(20));
    pendingReads[0]!({ value: undefined, revision: revision(15) });
    assert.equal(await early, undefined);
    await flushPromises();
    assert.equal(pendingReads.length, 2, 'the later read sent no request of its own');
    pendingReads[1]!({ value: { state: 'cancelled', done: 0 }, revision: revision(21) });
    assert.equal((await late)?.state, 'cancelled');
  });
});

describe('watch requests', () => {
  it('watching uses a bounded part of the requests, however many changes arrive', async () => {
    const time = new VirtualTime(1);
    const clock = new ProcessClock(time, 1, 0);
    let currentRevision = 10;
    let watchRequests = 0;
    const answer = (body: unknown): Promise<HttpResponse> =>
      new Promise((resolve) => {
        time.after(2, () => {
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
      minRps: 150,
      minWriteRps: 60,
      operationsPerTransaction: 8,
      valueBytes: 8192,
      controllerCount: 5,
    };
    const client = new StateClient({ limits, clock, transport, watchTransport });
    const view = new ClusterView();
    void new StateWatcher(client, view, { onChanged: () => undefined }).run();
    await flushPromises();
    await time.runUntil(10_000);
    assert.ok(watchRequests <= 10 * (150 / 5) * 0.35, `${watchRequests} watch requests in ten seconds`);
    assert.ok(view.revision >= currentRevision - 1, `the view is at ${view.revision} of ${currentRevision}`);
  });
});
