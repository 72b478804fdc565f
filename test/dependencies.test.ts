/**
 * Dependent jobs in a simulated cluster. Guards against controllers that answer a submission differently, and against
 * dependents that start too early, never start, or outlive a cancelled dependency. Such faults come about while
 * dependencies end or are cancelled during the submission, while a controller's view lags, and after restarts, upgrades
 * and lowered limits of the state service. The invariants are checked after each step.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { jobId } from '../src/core/model/ids.js';
import { key } from '../src/core/records/keys.js';
import { jsonBytes } from '../src/core/records/stored-records.js';
import {
  submitAccepted,
  waitForAnswer,
  findAt,
  isCancelledUnstarted,
  runWarmUp,
  submitLongRunning,
  submitSmall,
  submitTo,
} from './sim/pipeline-helpers.js';
import { scheduleRollingUpgrade } from './sim/rolling-upgrade.js';
import { advance, advanceUntil, jobOf, restartAllControllers } from './sim/run-helpers.js';
import { GROWN, SMALL, Simulation } from './sim/simulation.js';

const LOW_LIMITS = { value_kb: 2, txn_ops: 4, write_rps: 150 };

/** Restarts all controllers with settings that announce lower limits. */
function restartWithLowLimits(simulation: Simulation, limits = LOW_LIMITS): void {
  simulation.upcomingLimits = limits;
  restartAllControllers(simulation);
}

/** Makes the state service enforce the limits that the settings have announced. */
function lowerLimits(simulation: Simulation): void {
  simulation.state.valueBytes = simulation.upcomingLimits!.value_kb * 1024;
  simulation.state.budget = {
    ...simulation.size,
    txnOps: simulation.upcomingLimits!.txn_ops,
    writeRps: simulation.upcomingLimits!.write_rps,
  };
}

const controllerNames = (simulation: Simulation) => [...simulation.controllers.keys()];

describe('submission of dependent jobs', () => {
  it('a controller whose view lags accepts a dependency on a job that another controller has just accepted', async () => {
    const simulation = await runWarmUp(4);
    // Decided on the lagging view alone, the dependency would be refused as unknown.
    for (let i = 0; i < 6; i++) {
      for (const node of simulation.controllers.values()) node.watchLagMs = 0;
      simulation.controllers.get('c-1')!.watchLagMs = 400;
      const first = `wk-first${i}`;
      const result = await submitTo(simulation, 'c-0', { nameId: first, shards: 2 });
      assert.equal(result.kind, 'accepted');
      assert.equal(
        simulation.controllers.get('c-1')!.controller!.context.view.jobs.has(jobId(first)),
        false,
        'the view of c-1 does not contain the job yet',
      );
      const dependent = await submitTo(simulation, 'c-1', { nameId: `wk-next${i}`, awaits: [first] });
      assert.equal(dependent.kind, 'accepted');
    }
  });

  it('every controller answers a retried submission as known, whatever its dependencies and their states', async () => {
    const simulation = await runWarmUp(4);
    const short = await submitAccepted(simulation, []);
    const cancelled = await submitAccepted(simulation, [], 30);
    const fields = { nameId: 'wk-dependent', awaits: [short, cancelled] };
    assert.equal((await submitTo(simulation, 'c-0', fields)).kind, 'accepted');
    const assertKnown = async (state: string) => {
      for (const node of controllerNames(simulation))
        for (const awaits of [[short, cancelled], [], undefined, ['wk-never'], ['wk-dependent']]) {
          const result = await submitTo(simulation, node, { ...fields, awaits });
          assert.deepEqual(result, { kind: 'known', state }, `${node}: ${JSON.stringify(awaits)}`);
        }
    };
    await assertKnown('pending');
    simulation.cancel(cancelled);
    await advanceUntil(
      simulation,
      () => jobOf(simulation, cancelled).observedFinalState === 'cancelled',
      20_000,
    );
    await assertKnown('cancelled');
    restartWithLowLimits(simulation);
    await advance(simulation, 4000);
    await assertKnown('cancelled');
  });
});

describe('dependent jobs under lower limits of the state service', () => {
  it('a job accepted under higher limits of the state service is still known under lower ones', async () => {
    const simulation = await runWarmUp(4);
    // With this list of machine types the record is larger than the lower limit on values.
    const flavors = ['m', ...[...Array(40).keys()].map((i) => `another-type-with-a-rather-long-name-${i}`)];
    const ids = ['wk-large1', 'wk-large2'];
    for (const nameId of ids)
      assert.equal((await submitTo(simulation, 'c-0', { nameId, flavors })).kind, 'accepted');
    const isDone = (id: string) => simulation.state.rows.has(key.final(jobId(id)));
    await advanceUntil(simulation, () => ids.every(isDone), 30_000);
    restartWithLowLimits(simulation);
    lowerLimits(simulation);
    await advance(simulation, 4000);
    for (const node of controllerNames(simulation))
      assert.deepEqual(await submitTo(simulation, node, { nameId: ids[0], flavors }), {
        kind: 'known',
        state: 'done',
      });
    // A new job of this size cannot be stored under the lower limit.
    const refused = await submitTo(simulation, 'c-0', { nameId: 'wk-large3', flavors });
    assert.deepEqual(refused, { kind: 'impossible', why: 'too_large' });
    assert.equal(simulation.state.oversizedTransactions, 0);
  });
});

describe('dependencies that end or are cancelled', () => {
  for (const seed of [3, 11])
    it(`a dependent ends as its dependency does, even if that ends during the submission, seed ${seed}`, async () => {
      const simulation = await runWarmUp(seed);
      simulation.isNetworkReliable = false;
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
      const isFinal = (id: string) => jobOf(simulation, id).observedFinalState !== null;
      await advanceUntil(
        simulation,
        () => pairs.every(([first, next]) => isFinal(first) && isFinal(next)),
        90_000,
      );
      for (const [first, next] of pairs)
        assert.equal(
          jobOf(simulation, next).observedFinalState,
          jobOf(simulation, first).observedFinalState,
          `${next} after ${first}`,
        );
      const finalStates = new Set(pairs.map(([first]) => jobOf(simulation, first).observedFinalState));
      assert.equal(finalStates.size, 2, 'some dependencies were done and others cancelled');
    });

  it('a dependent is cancelled with one of its dependencies while another still runs', async () => {
    const simulation = await runWarmUp(4);
    const long = await submitLongRunning(simulation, 60_000, { tenant: 'red' });
    const cancelled = await submitAccepted(simulation, [], 30, { tenant: 'red' });
    // Another controller schedules this team and has to read the final state of the cancelled job.
    const dependent = await submitAccepted(simulation, [long, cancelled], 1, { tenant: 'blue' });
    const last = await submitAccepted(simulation, [dependent], 1, { tenant: 'green' });
    simulation.cancel(cancelled);
    const stored = (id: string) => simulation.state.rows.has(key.job(jobId(id)));
    await advanceUntil(simulation, () => !stored(dependent) && !stored(last), 12_000);
    assert.ok(
      isCancelledUnstarted(simulation, cancelled) ||
        jobOf(simulation, cancelled).observedFinalState === 'cancelled',
    );
    assert.equal(jobOf(simulation, long).observedFinalState, null, 'the other dependency still runs');
    assert.ok(stored(long));
  });
});

describe('jobs with hundreds of dependencies', () => {
  it('the record of a job with hundreds of dependencies stays within the lower limit on values', async () => {
    const simulation = await runWarmUp(4, GROWN);
    restartWithLowLimits(simulation, { ...LOW_LIMITS, write_rps: GROWN.writeRps });
    await advance(simulation, 4000);
    const many = [...Array(300).keys()].map(() =>
      submitSmall(simulation, [], 1, { vcpus: 0.25, memoryGb: 0.25 }),
    );
    // Records omit finished dependencies: the jobs that depend on this long one stay unfinished while it runs.
    const first = await submitLongRunning(simulation, 100_000);
    await advanceUntil(simulation, () => many.every((id) => jobOf(simulation, id).accepted), 60_000);
    const waiting = [...Array(300).keys()].map(() =>
      submitSmall(simulation, [first], 1, { vcpus: 0.25, memoryGb: 0.25 }),
    );
    await advanceUntil(simulation, () => waiting.every((id) => jobOf(simulation, id).accepted), 90_000);
    const last = await submitAccepted(simulation, [...many, ...waiting, first], 1, {}, 20_000);
    const record = simulation.state.rows.get(key.job(jobId(last)))!.value;
    assert.ok(jsonBytes(record) <= 2048, `the record has ${jsonBytes(record)} bytes, expected at most 2048`);
    // The other controllers receive the record by their watches, whose rate is limited in favour of other requests.
    await advance(simulation, 500);
    for (const node of simulation.controllers.values()) {
      const needs = node.controller!.context.view.jobs.get(jobId(last))?.spec.needs ?? [];
      assert.ok(needs.length > 300, `${needs.length} dependencies in the view`);
    }
    await advanceUntil(simulation, () => jobOf(simulation, last).observedFinalState === 'done', 240_000);
  });
});

describe('a restart with pending dependents', () => {
  it('a restart with hundreds of pending dependents causes few reads of final states and changes no job', async () => {
    const simulation = await runWarmUp(4, GROWN);
    const dependencies: string[] = [];
    for (let i = 0; i < 20; i++)
      dependencies.push(await submitAccepted(simulation, [], 1, { vcpus: 0.25 }, 10_000));
    const long = await submitLongRunning(simulation, 200_000);
    const waiting = [...Array(300).keys()].map((i) =>
      submitSmall(simulation, [long, dependencies[i % dependencies.length]!]),
    );
    await advanceUntil(simulation, () => waiting.every((id) => jobOf(simulation, id).accepted), 60_000);
    await advanceUntil(
      simulation,
      () => dependencies.every((id) => jobOf(simulation, id).observedFinalState === 'done'),
      60_000,
    );
    const isUnfinished = (id: string) => simulation.state.rows.has(key.job(jobId(id)));
    assert.ok(waiting.filter(isUnfinished).length === 300);
    // The 300 dependents share 20 finished dependencies, whose final states must not be read once per dependent.
    for (const node of simulation.controllers.values()) node.crash();
    await advance(simulation, 500);
    for (const node of simulation.controllers.values()) node.start();
    await advance(simulation, 6000);
    const reads = [...simulation.controllers.values()].map(
      ({ controller }) => controller!.context.finalStates.reads,
    );
    for (const count of reads)
      assert.ok(count <= 60, `${count} final states read by a controller, expected at most 60`);
    assert.equal(waiting.filter(isUnfinished).length, 300, 'all dependents are still pending');
    assert.equal(waiting.filter((id) => jobOf(simulation, id).doneTasks.size > 0).length, 0);
  });
});

describe('status of dependents', () => {
  it('every controller shows inherited urgency and the cancelled dependency of a job, also after a restart', async () => {
    const simulation = await runWarmUp(4);
    const first = await submitLongRunning(simulation, 60_000, { tier: 'low' });
    const middle = await submitAccepted(simulation, [first], 1, { tier: 'low' });
    const last = await submitAccepted(simulation, [middle], 1, { tier: 'urgent', dueS: 90, expectedS: 10 });
    for (const node of controllerNames(simulation)) {
      const shown = await findAt(simulation, node, middle);
      assert.deepEqual(shown?.needs, [first]);
      assert.equal(shown.inherited?.priority, 'high');
      // The deadline of the last job less its own run time.
      assert.ok(
        shown.inherited.dueInS! < 80 && shown.inherited.dueInS! > 40,
        `due in ${shown.inherited.dueInS} s, expected between 40 and 80`,
      );
    }
    assert.equal(
      (await findAt(simulation, 'c-0', last))?.inherited,
      undefined,
      'a job does not inherit its own urgency',
    );
    simulation.cancel(first);
    await advanceUntil(simulation, () => jobOf(simulation, first).observedFinalState === 'cancelled', 20_000);
    const late = await submitAccepted(simulation, [last]);
    const assertShown = async (when: string) => {
      for (const node of controllerNames(simulation))
        for (const id of [middle, last, late]) {
          const shown = await findAt(simulation, node, id);
          assert.deepEqual([shown?.state, shown?.because], ['cancelled', first], `${id} at ${node} ${when}`);
        }
      assert.equal(
        (await findAt(simulation, 'c-0', first))?.because,
        undefined,
        'a job that its user cancelled shows no cancelled dependency',
      );
    };
    await assertShown('before the restart');
    await advanceUntil(
      simulation,
      () => [middle, last].every((id) => simulation.state.rows.has(key.final(jobId(id)))),
      10_000,
    );
    restartWithLowLimits(simulation);
    await advance(simulation, 4000);
    await assertShown('after the restart');
  });
});

describe('scheduling of pending dependents', () => {
  it('pending dependents take no resources and no quota, and no machine is rented for them', async () => {
    const simulation = await runWarmUp(4);
    const dependency = await submitLongRunning(simulation, 60_000);
    for (let i = 0; i < 6; i++)
      await submitAccepted(simulation, [dependency], 40, {
        tenant: 'red',
        cards: 4,
        vcpus: 16,
        tier: 'production',
      });
    const { controller } = simulation.controllers.get('c-0')!;
    const startable = () => controller!.context.dependencies.current().startable;
    // Placement, preemption and the scaling plan consider startable jobs only.
    assert.ok(startable().every((j) => j.spec.needs === undefined));
    // Of the same team and of lower priority, so that it is behind them in the order of jobs; it starts at once.
    const small = await submitAccepted(simulation, [], 1, { tenant: 'red', cards: 1, tier: 'low' });
    await advanceUntil(simulation, () => jobOf(simulation, small).observedFinalState === 'done', 30_000);
    for (const node of simulation.controllers.values())
      for (const [id, j] of node.controller!.context.view.jobs)
        if (j.spec.needs !== undefined)
          assert.equal(node.controller!.shardController.waitReasons.get(id), undefined);
  });
});

describe('dependencies after a rolling upgrade', () => {
  it('jobs that the previous version accepted, finished and cancelled are valid dependencies after the upgrade', async () => {
    // The previous version writes final states without their time.
    const simulation = new Simulation({ seed: 6, size: SMALL, startsWithPreviousVersion: true });
    simulation.duplicateHeartbeatProbability = 0;
    simulation.isNetworkReliable = true;
    await simulation.time.runUntil(9000);
    const done = await submitAccepted(simulation, []);
    const cancelled = await submitAccepted(simulation, [], 20);
    simulation.cancel(cancelled);
    const finalState = (id: string) => jobOf(simulation, id).observedFinalState;
    await advanceUntil(
      simulation,
      () => finalState(done) === 'done' && finalState(cancelled) === 'cancelled',
      40_000,
    );
    const open = await submitLongRunning(simulation, 25_000);
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
    const dependent = await submitAccepted(simulation, [done, cancelled], 1, {}, 6000);
    await advanceUntil(simulation, () => isCancelledUnstarted(simulation, dependent), 6000);
    await advanceUntil(simulation, () => jobOf(simulation, after).observedFinalState === 'done', 90_000);
    assert.equal(jobOf(simulation, open).observedFinalState, 'done');
  });
});

describe('unknown dependencies', () => {
  it('a job with an unknown dependency is refused, and no controller finds it afterwards', async () => {
    const simulation = await runWarmUp(4);
    for (const node of controllerNames(simulation)) {
      const result = await submitTo(simulation, node, { nameId: 'wk-unknown-need', awaits: ['wk-never'] });
      assert.deepEqual(result, { kind: 'impossible', why: 'unknown_need' });
      assert.equal(await findAt(simulation, node, 'wk-unknown-need'), undefined);
    }
    // During an outage the dependency cannot be looked up; the user is told at once to retry later.
    simulation.state.setOutage(true);
    await advance(simulation, 3000);
    const before = simulation.time.now;
    const later = await waitForAnswer(
      simulation,
      submitTo(simulation, 'c-1', { nameId: 'wk-unknown-need', awaits: ['wk-never'] }).catch(() => ({
        kind: 'later',
      })),
    );
    assert.equal(later.kind, 'later');
    assert.ok(simulation.time.now - before < 100);
  });
});
