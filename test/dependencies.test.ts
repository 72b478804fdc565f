/**
 * Answers to submissions of dependent jobs, and the states of those jobs, while their dependencies change. The invariants
 * are checked after each step.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { jobId } from '../src/core/model/ids.js';
import { key } from '../src/core/records/keys.js';
import { jsonBytes } from '../src/core/records/stored-records.js';
import {
  submitAccepted,
  answered,
  findAt,
  isCancelledUnstarted,
  runQuietly,
  submitRunning,
  submitSmall,
  submitTo,
} from './sim/pipeline-helpers.js';
import { scheduleRollingUpgrade } from './sim/rolling-upgrade.js';
import { advance, advanceUntil, job, restartAllControllers } from './sim/run-helpers.js';
import { GROWN, SMALL, Simulation } from './sim/simulation.js';

const LOW_LIMITS = { value_kb: 2, txn_ops: 4, write_rps: 150 };

/** Restarts all controllers with settings that announce lower limits. */
function restartWithLowLimits(simulation: Simulation, next = LOW_LIMITS): void {
  simulation.upcomingLimits = next;
  restartAllControllers(simulation);
}
function lowerLimits(simulation: Simulation): void {
  simulation.state.valueBytes = simulation.upcomingLimits!.value_kb * 1024;
  simulation.state.budget = {
    ...simulation.size,
    txnOps: simulation.upcomingLimits!.txn_ops,
    writeRps: simulation.upcomingLimits!.write_rps,
  };
}
const controllers = (simulation: Simulation) => [...simulation.controllers.keys()];

describe('submission of dependent jobs', () => {
  it('a dependency on a job that another controller has just accepted is accepted at a lagging controller', async () => {
    const simulation = await runQuietly(4);
    for (let i = 0; i < 6; i++) {
      for (const node of simulation.controllers.values()) node.watchLagMs = 0;
      simulation.controllers.get('c-1')!.watchLagMs = 400;
      const first = `wk-first${i}`;
      const result = await submitTo(simulation, 'c-0', { nameId: first, shards: 2 });
      assert.equal(result.kind, 'accepted');
      assert.equal(
        simulation.controllers.get('c-1')!.controller!.context.view.jobs.has(jobId(first)),
        false,
        'the view is behind',
      );
      const next = await submitTo(simulation, 'c-1', { nameId: `wk-next${i}`, awaits: [first] });
      assert.equal(next.kind, 'accepted');
    }
  });

  it('a retried submission is known at every controller, whatever its dependencies and their states', async () => {
    const simulation = await runQuietly(4);
    const quick = await submitAccepted(simulation, []);
    const off = await submitAccepted(simulation, [], 30);
    const fields = { nameId: 'wk-dependent', awaits: [quick, off] };
    assert.equal((await submitTo(simulation, 'c-0', fields)).kind, 'accepted');
    const repeats = async (state: string) => {
      for (const node of controllers(simulation))
        for (const awaits of [[quick, off], [], undefined, ['wk-never'], ['wk-dependent']]) {
          const result = await submitTo(simulation, node, { ...fields, awaits });
          assert.deepEqual(result, { kind: 'known', state }, `${node}: ${JSON.stringify(awaits)}`);
        }
    };
    await repeats('pending');
    simulation.cancel(off);
    await advanceUntil(simulation, () => job(simulation, off).observedFinalState === 'cancelled', 20_000);
    await repeats('cancelled');
    restartWithLowLimits(simulation);
    await advance(simulation, 4000);
    await repeats('cancelled');
  });
});

describe('dependent jobs under lower limits of the state service', () => {
  it('a job accepted under higher limits stays known under lower ones', async () => {
    const simulation = await runQuietly(4);
    // Larger than the values to come, with what its user may list.
    const flavors = ['m', ...[...Array(40).keys()].map((i) => `another-type-with-a-rather-long-name-${i}`)];
    const ids = ['wk-large1', 'wk-large2'];
    for (const nameId of ids)
      assert.equal((await submitTo(simulation, 'c-0', { nameId, flavors })).kind, 'accepted');
    const isDone = (id: string) => simulation.state.rows.has(key.final(jobId(id)));
    await advanceUntil(simulation, () => ids.every(isDone), 30_000);
    restartWithLowLimits(simulation);
    lowerLimits(simulation);
    await advance(simulation, 4000);
    for (const node of controllers(simulation))
      assert.deepEqual(await submitTo(simulation, node, { nameId: ids[0], flavors }), {
        kind: 'known',
        state: 'done',
      });
    // A job that was not accepted before can't be stored any more.
    const refused = await submitTo(simulation, 'c-0', { nameId: 'wk-large3', flavors });
    assert.deepEqual(refused, { kind: 'impossible', why: 'too_large' });
    assert.equal(simulation.state.oversizedTransactions, 0);
  });
});

describe('dependencies that end or are cancelled', () => {
  for (const seed of [3, 11])
    it(`dependencies end or are cancelled while dependents are submitted, seed ${seed}`, async () => {
      const simulation = await runQuietly(seed);
      simulation.isSmooth = false;
      simulation.cancelAtEndProbability = 0.4;
      const pairs: [string, string][] = [];
      for (let i = 0; i < 25; i++) {
        const first = await submitAccepted(simulation, [], simulation.time.int(1, 2), {}, 15_000);
        await advance(simulation, simulation.time.int(0, 6000));
        const cancelFirst = () => {
          simulation.cancel(first);
        };
        if (simulation.time.happens(0.5)) simulation.time.after(simulation.time.int(0, 400), cancelFirst);
        pairs.push([first, submitSmall(simulation, [first])]);
        await advance(simulation, simulation.time.int(0, 300));
      }
      const over = (id: string) => job(simulation, id).observedFinalState !== null;
      await advanceUntil(simulation, () => pairs.every(([first, next]) => over(first) && over(next)), 90_000);
      for (const [first, next] of pairs)
        assert.equal(
          job(simulation, next).observedFinalState,
          job(simulation, first).observedFinalState,
          `${next} after ${first}`,
        );
      const kinds = new Set(pairs.map(([first]) => job(simulation, first).observedFinalState));
      assert.equal(kinds.size, 2, 'some were done, some cancelled');
    });

  it('a dependent is cancelled with one dependency while another still runs', async () => {
    const simulation = await runQuietly(4);
    const long = await submitRunning(simulation, 60_000, { tenant: 'red' });
    const off = await submitAccepted(simulation, [], 30, { tenant: 'red' });
    // Of another owner than the cancelled job, whose final state it has to read.
    const next = await submitAccepted(simulation, [long, off], 1, { tenant: 'blue' });
    const last = await submitAccepted(simulation, [next], 1, { tenant: 'green' });
    simulation.cancel(off);
    const stored = (id: string) => simulation.state.rows.has(key.job(jobId(id)));
    await advanceUntil(simulation, () => !stored(next) && !stored(last), 12_000);
    assert.ok(
      isCancelledUnstarted(simulation, off) || job(simulation, off).observedFinalState === 'cancelled',
    );
    assert.equal(job(simulation, long).observedFinalState, null, 'it still runs');
    assert.ok(stored(long));
  });
});

describe('jobs with hundreds of dependencies', () => {
  it('a record with hundreds of dependencies stays below the lower limit', async () => {
    const simulation = await runQuietly(4, GROWN);
    restartWithLowLimits(simulation, { ...LOW_LIMITS, write_rps: GROWN.writeRps });
    await advance(simulation, 4000);
    const many = [...Array(300).keys()].map(() =>
      submitSmall(simulation, [], 1, { vcpus: 0.25, memoryGb: 0.25 }),
    );
    // Finished dependencies are dropped, so all of them must still be open.
    const first = await submitRunning(simulation, 100_000);
    await advanceUntil(simulation, () => many.every((id) => job(simulation, id).accepted), 60_000);
    const waiting = [...Array(300).keys()].map(() =>
      submitSmall(simulation, [first], 1, { vcpus: 0.25, memoryGb: 0.25 }),
    );
    await advanceUntil(simulation, () => waiting.every((id) => job(simulation, id).accepted), 90_000);
    const last = await submitAccepted(simulation, [...many, ...waiting, first], 1, {}, 20_000);
    const record = simulation.state.rows.get(key.job(jobId(last)))!.value;
    assert.ok(jsonBytes(record) <= 2048, `${jsonBytes(record)} bytes`);
    // The other controllers learn of it by their watches, which leave most of the requests to others.
    await advance(simulation, 500);
    for (const node of simulation.controllers.values()) {
      const needs = node.controller!.context.view.jobs.get(jobId(last))?.spec.needs ?? [];
      assert.ok(needs.length > 300, `${needs.length} of them are kept`);
    }
    await advanceUntil(simulation, () => job(simulation, last).observedFinalState === 'done', 240_000);
  });
});

describe('a restart with pending dependents', () => {
  it('a restart with hundreds of pending dependents reads each final state once and changes nothing', async () => {
    const simulation = await runQuietly(4, GROWN);
    const heads: string[] = [];
    for (let i = 0; i < 20; i++) heads.push(await submitAccepted(simulation, [], 1, { vcpus: 0.25 }, 10_000));
    const long = await submitRunning(simulation, 200_000);
    const waiting = [...Array(300).keys()].map((i) =>
      submitSmall(simulation, [long, heads[i % heads.length]!]),
    );
    await advanceUntil(simulation, () => waiting.every((id) => job(simulation, id).accepted), 60_000);
    await advanceUntil(
      simulation,
      () => heads.every((id) => job(simulation, id).observedFinalState === 'done'),
      60_000,
    );
    const waits = (id: string) => simulation.state.rows.has(key.job(jobId(id)));
    assert.ok(waiting.filter(waits).length === 300);
    for (const node of simulation.controllers.values()) node.crash();
    await advance(simulation, 500);
    for (const node of simulation.controllers.values()) node.start();
    await advance(simulation, 6000);
    const reads = [...simulation.controllers.values()].map(
      ({ controller }) => controller!.context.finalStates.reads,
    );
    for (const count of reads) assert.ok(count <= 60, `${count} final states read`);
    assert.equal(waiting.filter(waits).length, 300, 'they are still pending');
    assert.equal(waiting.filter((id) => job(simulation, id).doneTasks.size > 0).length, 0);
  });
});

describe('status of dependents', () => {
  it('job status shows the inherited priority and the cancelled dependency, at every controller and permanently', async () => {
    const simulation = await runQuietly(4);
    const first = await submitRunning(simulation, 60_000, { tier: 'low' });
    const middle = await submitAccepted(simulation, [first], 1, { tier: 'low' });
    const last = await submitAccepted(simulation, [middle], 1, { tier: 'urgent', dueS: 90, expectedS: 10 });
    for (const node of controllers(simulation)) {
      const shown = await findAt(simulation, node, middle);
      assert.deepEqual(shown?.needs, [first]);
      assert.equal(shown.inherited?.priority, 'high');
      // By the deadline of the last, less its own run.
      assert.ok(shown.inherited.dueInS! < 80 && shown.inherited.dueInS! > 40, `${shown.inherited.dueInS}`);
    }
    assert.equal(
      (await findAt(simulation, 'c-0', last))?.inherited,
      undefined,
      'its own urgency is no inheritance',
    );
    simulation.cancel(first);
    await advanceUntil(simulation, () => job(simulation, first).observedFinalState === 'cancelled', 20_000);
    const late = await submitAccepted(simulation, [last]);
    const shows = async (state: string) => {
      for (const node of controllers(simulation))
        for (const id of [middle, last, late]) {
          const shown = await findAt(simulation, node, id);
          assert.deepEqual([shown?.state, shown?.because], ['cancelled', first], `${id} at ${node} ${state}`);
        }
      assert.equal((await findAt(simulation, 'c-0', first))?.because, undefined, 'its own user cancelled it');
    };
    await shows('at once');
    await advanceUntil(
      simulation,
      () => [middle, last].every((id) => simulation.state.rows.has(key.final(jobId(id)))),
      10_000,
    );
    restartWithLowLimits(simulation);
    await advance(simulation, 4000);
    await shows('after a restart of all');
  });
});

describe('scheduling of pending dependents', () => {
  it('pending dependents take no resources and no quota, and no machine is rented for them', async () => {
    const simulation = await runQuietly(4);
    const head = await submitRunning(simulation, 60_000);
    for (let i = 0; i < 6; i++)
      await submitAccepted(simulation, [head], 40, {
        tenant: 'red',
        cards: 4,
        vcpus: 16,
        tier: 'production',
      });
    const { controller } = simulation.controllers.get('c-0')!;
    const startable = () => controller!.context.dependencies.current().startable;
    assert.ok(startable().every((j) => j.spec.needs === undefined));
    // Of the same team, of less priority, and behind them in its team's order: it goes at once.
    const small = await submitAccepted(simulation, [], 1, { tenant: 'red', cards: 1, tier: 'low' });
    await advanceUntil(simulation, () => job(simulation, small).observedFinalState === 'done', 30_000);
    for (const node of simulation.controllers.values())
      for (const [id, j] of node.controller!.context.view.jobs)
        if (j.spec.needs !== undefined)
          assert.equal(node.controller!.shardController.waitReasons.get(id), undefined);
  });
});

describe('dependencies after a rolling upgrade', () => {
  it('jobs that the previous version accepted, finished and cancelled are valid dependencies after the upgrade', async () => {
    const simulation = new Simulation({ seed: 6, size: SMALL, startsWithPreviousVersion: true });
    simulation.duplicateHeartbeatProbability = 0;
    simulation.isSmooth = true;
    await simulation.time.runUntil(9000);
    const done = await submitAccepted(simulation, []);
    const off = await submitAccepted(simulation, [], 20);
    simulation.cancel(off);
    const ended = (id: string) => job(simulation, id).observedFinalState;
    await advanceUntil(simulation, () => ended(done) === 'done' && ended(off) === 'cancelled', 40_000);
    const open = await submitRunning(simulation, 25_000);
    scheduleRollingUpgrade(simulation, 0);
    await advanceUntil(
      simulation,
      () =>
        [...simulation.controllers.values()].every(
          (node) => !node.runsPreviousVersion && node.controller !== null,
        ),
      20_000,
    );
    await advance(simulation, 3000);
    const after = await submitAccepted(simulation, [done, open], 1, {}, 6000);
    const gone = await submitAccepted(simulation, [done, off], 1, {}, 6000);
    await advanceUntil(simulation, () => isCancelledUnstarted(simulation, gone), 6000);
    await advanceUntil(simulation, () => job(simulation, after).observedFinalState === 'done', 90_000);
    assert.equal(job(simulation, open).observedFinalState, 'done');
  });
});

describe('unknown dependencies', () => {
  it('a job with unknown dependencies is refused and found at no controller', async () => {
    const simulation = await runQuietly(4);
    for (const node of controllers(simulation)) {
      const result = await submitTo(simulation, node, { nameId: 'wk-unknown-need', awaits: ['wk-never'] });
      assert.deepEqual(result, { kind: 'impossible', why: 'unknown_need' });
      assert.equal(await findAt(simulation, node, 'wk-unknown-need'), undefined);
    }
    // During an outage nothing can be decided, and the answer comes at once.
    simulation.state.setOutage(true);
    await advance(simulation, 3000);
    const before = simulation.time.now;
    const later = await answered(
      simulation,
      submitTo(simulation, 'c-1', { nameId: 'wk-unknown-need', awaits: ['wk-never'] }).catch(() => ({
        kind: 'later',
      })),
    );
    assert.equal(later.kind, 'later');
    assert.ok(simulation.time.now - before < 100);
  });
});
