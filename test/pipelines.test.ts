/**
 * Dependent jobs, and the rolling upgrade to the version that supports them. The tests guard against dependents that start
 * before all of their dependencies are done, wait without end, or are not cancelled with a dependency. This comes about when a
 * dependency ends or is cancelled while controllers restart or the state service fails. The invariants are checked after
 * each step (test/sim).
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { jobId } from '../src/core/model/ids.js';
import { key } from '../src/core/records/keys.js';
import { jsonBytes } from '../src/core/records/stored-records.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { submission } from './samples.js';
import {
  submitAccepted,
  isCancelledUnstarted,
  runWarmUp,
  submitLongRunning,
  submitSmall,
} from './sim/pipeline-helpers.js';
import { scheduleRollingUpgrade } from './sim/rolling-upgrade.js';
import { advance, advanceUntil, jobOf, restartAllControllers } from './sim/run-helpers.js';
import { GROWN, AGENT_TIMINGS, SMALL, Simulation } from './sim/simulation.js';

/** Guards against dependents that run or wait without end because a fault interrupts the cancellation of their dependency. */
describe('cancellation of a dependency', () => {
  for (const [name, injectFault] of [
    ['without faults', () => undefined],
    [
      'during a restart of all controllers',
      (simulation: Simulation) => {
        for (const node of simulation.controllers.values()) {
          node.crash();
          simulation.time.after(300, () => {
            node.start();
          });
        }
      },
    ],
    [
      'during an outage longer than the cancellation bound',
      (simulation: Simulation) => {
        simulation.state.setOutage(true);
        simulation.time.after(AGENT_TIMINGS.cancelS * 1000 * 12, () => {
          simulation.state.setOutage(false);
        });
      },
    ],
  ] as const)
    it(`cancelling a job cancels its dependents, at any depth and in any team, ${name}`, async () => {
      const simulation = await runWarmUp(4);
      const head = submitSmall(simulation, [], 30);
      await advanceUntil(simulation, () => jobOf(simulation, head).accepted, 2000);
      const chain = [head];
      for (const tenant of ['red', 'blue', 'green', 'red', 'blue']) {
        chain.push(submitSmall(simulation, [chain.at(-1)!], 2, { tenant }));
        await advanceUntil(simulation, () => jobOf(simulation, chain.at(-1)!).accepted, 2000);
      }
      simulation.cancel(head);
      await advanceUntil(simulation, () => jobOf(simulation, head).observedCancelledAt !== null, 8000);
      injectFault(simulation);
      // A job that is submitted with a cancelled dependency is accepted, and cancelled with it.
      chain.push(submitSmall(simulation, [chain.at(-1)!]));
      await advance(simulation, 15_000);
      for (const id of chain.slice(1))
        assert.ok(
          isCancelledUnstarted(simulation, id),
          `${id} is ${jobOf(simulation, id).observedFinalState}`,
        );
    });
});

/**
 * Guards against a cancellation that spreads to stages before or beside the cancelled one, and against dependents that are
 * cancelled although their dependency was done before its cancellation took effect.
 */
describe('cancellation of a stage', () => {
  it('cancelling a stage cancels the stages after it, but not those before or beside it', async () => {
    const simulation = await runWarmUp(4);
    const first = submitSmall(simulation, [], 3);
    await advanceUntil(simulation, () => jobOf(simulation, first).accepted, 2000);
    const middle = submitSmall(simulation, [first]);
    const beside = submitSmall(simulation, [first]);
    await advanceUntil(
      simulation,
      () => jobOf(simulation, middle).accepted && jobOf(simulation, beside).accepted,
      2000,
    );
    const last = submitSmall(simulation, [middle, beside]);
    await advanceUntil(simulation, () => jobOf(simulation, last).accepted, 2000);
    simulation.cancel(middle);
    await advanceUntil(
      simulation,
      () => [first, middle, beside, last].every((id) => jobOf(simulation, id).observedFinalState !== null),
      60_000,
    );
    assert.deepEqual(
      [first, middle, beside, last].map((id) => jobOf(simulation, id).observedFinalState),
      ['done', 'cancelled', 'done', 'cancelled'],
    );
  });

  it('dependents run when a cancellation is answered with done', async () => {
    const simulation = await runWarmUp(4);
    simulation.cancelAtEndProbability = 1;
    const ids: string[] = [];
    for (let i = 0; i < 8; i++) {
      const first = submitSmall(simulation, []);
      await advanceUntil(simulation, () => jobOf(simulation, first).accepted, 2000);
      ids.push(first, submitSmall(simulation, [first]));
    }
    await advanceUntil(
      simulation,
      () => ids.every((id) => jobOf(simulation, id).observedFinalState !== null),
      60_000,
    );
    let finished = 0;
    for (let i = 0; i < ids.length; i += 2) {
      if (jobOf(simulation, ids[i]!).observedFinalState === 'cancelled')
        assert.ok(isCancelledUnstarted(simulation, ids[i + 1]!));
      else finished++;
    }
    assert.ok(finished > 0, 'no job was done when its cancellation was requested');
  });
});

/** Guards against accepted jobs that can never run, since they depend on a job that does not exist or does not end. */
describe('validation of dependencies', () => {
  it('a job may depend on accepted jobs only, not on itself or services; finished dependencies are dropped', async () => {
    const simulation = await runWarmUp(4);
    const service = simulation.submit({
      kind: 'daemon',
      isNeverCancelled: true,
      tasks: 1,
      fields: { cards: 0 },
    });
    const finished = submitSmall(simulation, []);
    await advanceUntil(
      simulation,
      () => jobOf(simulation, finished).observedFinalState !== null && jobOf(simulation, service).accepted,
      40_000,
    );
    const { controller } = simulation.controllers.get('c-1')!;
    const submit = (nameId: string, awaits: string[]) =>
      controller!.jobs.submit(jobFromWire(submission({ nameId, awaits, tenant: 'red', cards: 0 }) as never));
    for (const awaits of [['wk-none'], ['wk-x1'], [finished, 'wk-none'], [service]]) {
      const [result] = await Promise.all([submit('wk-x1', awaits), advance(simulation, 3000)]);
      assert.equal(result.kind, 'impossible', awaits.join());
    }
    const next = submitSmall(simulation, [finished], 30);
    await advanceUntil(simulation, () => jobOf(simulation, next).accepted, 3000);
    const stored = simulation.state.rows.get(key.job(jobId(next)))?.value as
      { spec: { needs?: unknown } } | undefined;
    assert.equal(stored?.spec.needs, undefined, 'a finished dependency was stored');
    // A retried submission is known even if its dependencies are invalid.
    const [retried] = await Promise.all([submit(next, ['wk-none']), advance(simulation, 1000)]);
    assert.equal(retried.kind, 'known');
    // During an outage of the state service, controllers cannot know whether a dependency was accepted.
    simulation.state.setOutage(true);
    await advance(simulation, 3000);
    const [later] = await Promise.all([submit('wk-x3', ['wk-none']), advance(simulation, 100)]);
    assert.equal(later.kind, 'later');
  });
});

/**
 * Guards against hundreds of dependents that start or are cancelled too slowly after their dependency, and against urgent
 * stages that wait because the stages before them have a low priority.
 */
describe('scheduling of pipelines', () => {
  it('hundreds of dependents run when a job is done, and are cancelled when it is cancelled', async () => {
    for (const isCancelled of [false, true]) {
      const simulation = await runWarmUp(4, GROWN);
      // The job to be cancelled must still run when all dependents are accepted.
      const head = isCancelled
        ? await submitLongRunning(simulation, 120_000)
        : await submitAccepted(simulation, [], 60, {}, 5000);
      const dependents = [...Array(250).keys()].map(() =>
        submitSmall(simulation, [head], 1, { tier: 'production' }),
      );
      await advanceUntil(simulation, () => dependents.every((id) => jobOf(simulation, id).accepted), 60_000);
      if (isCancelled) simulation.cancel(head);
      await advanceUntil(simulation, () => jobOf(simulation, head).observedFinalState !== null, 60_000);
      if (isCancelled) {
        assert.equal(jobOf(simulation, head).observedFinalState, 'cancelled');
        // The cancellation of dependents is reported at once, and recorded in batches.
        await advanceUntil(
          simulation,
          () => dependents.every((id) => isCancelledUnstarted(simulation, id)),
          8000,
        );
        await advanceUntil(
          simulation,
          () => dependents.every((id) => simulation.state.rows.has(key.final(jobId(id)))),
          90_000,
        );
      } else
        await advanceUntil(
          simulation,
          () => dependents.every((id) => jobOf(simulation, id).observedFinalState === 'done'),
          150_000,
        );
    }
  });

  it('all stages of a pipeline inherit the priority of its last stage', async () => {
    const simulation = await runWarmUp(4);
    // More work of the standard priority than the team may run at once.
    for (let i = 0; i < 12; i++)
      simulation.submit({
        kind: 'sweep',
        tasks: 6,
        fields: { tenant: 'blue', tier: 'standard', cards: 2, vcpus: 4 },
      });
    await advance(simulation, 2000);
    const first = submitSmall(simulation, [], 2, { tenant: 'blue', cards: 1, tier: 'low' });
    await advanceUntil(simulation, () => jobOf(simulation, first).accepted, 2000);
    const last = submitSmall(simulation, [first], 1, { tenant: 'blue', cards: 1, tier: 'urgent', dueS: 30 });
    await advanceUntil(simulation, () => jobOf(simulation, last).observedFinalState === 'done', 45_000);
  });
});

/**
 * Guards against transactions that the state service refuses repeatedly once its limits have fallen, because records
 * have grown above the new limit or controllers do not prepare for it.
 */
describe('lower limits of the state service', () => {
  it('records stay below the announced lower limit, and a machine still runs many small tasks', async () => {
    const simulation = new Simulation({ seed: 5 });
    simulation.duplicateHeartbeatProbability = 0;
    simulation.isNetworkReliable = true;
    simulation.upcomingLimits = { value_kb: 2, txn_ops: 4, write_rps: 150 };
    restartAllControllers(simulation);
    await simulation.time.runUntil(10_000);
    let largestBytes = 0;
    let maxTasks = 0;
    for (let i = 0; i < 10; i++) submitSmall(simulation, [], 40, { vcpus: 0.25, memoryGb: 0.25 });
    for (let i = 0; i < 150; i++) {
      await advance(simulation, 100);
      for (const [k, row] of simulation.state.rows)
        if (k.startsWith('p/')) largestBytes = Math.max(largestBytes, jsonBytes(row.value));
      for (const agent of simulation.cluster.liveAgents())
        maxTasks = Math.max(maxTasks, [...agent.tasks.values()].filter((t) => t.state !== 'ended').length);
    }
    assert.ok(largestBytes <= 2048, `a value of ${largestBytes} bytes, expected at most 2048`);
    assert.ok(maxTasks >= 30, `at most ${maxTasks} tasks on one machine, expected at least 30`);
  });

  it('records above the lower limit are not sent in that size, and tasks still start', async () => {
    const simulation = await runWarmUp(6, SMALL, 30_000);
    const before = simulation.cluster.tasksStarted;
    // Records as the previous version left them: larger than two KiB because of their images and allocations.
    let enlarged = 0;
    for (const [k, row] of simulation.state.rows) {
      const record = row.value as { images?: string[]; placed?: unknown[] };
      if (!k.startsWith('p/m/') || record.placed === undefined) continue;
      record.images = [...Array(90).keys()].map((i) => `an-image-with-a-long-name-${i}`);
      enlarged++;
    }
    assert.ok(enlarged >= 3);
    simulation.upcomingLimits = { value_kb: 2, txn_ops: 4, write_rps: 150 };
    simulation.state.valueBytes = 2048;
    simulation.state.budget = { ...SMALL, txnOps: 4, writeRps: 150 };
    restartAllControllers(simulation);
    await advance(simulation, 30_000);
    assert.equal(simulation.state.oversizedTransactions, 0);
    assert.ok(simulation.cluster.tasksStarted > before + 10, 'too few tasks start');
  });
});

/** Guards against a version that cannot handle what the other one has stored while both run side by side. */
describe('rolling upgrade', () => {
  it('the previous and the new version run side by side through a crash, and a pipeline finishes after the upgrade', async () => {
    for (const seed of [2, 9]) {
      const simulation = new Simulation({ seed, size: SMALL, startsWithPreviousVersion: true });
      scheduleRollingUpgrade(simulation, 20_000);
      // One controller crashes before its upgrade and restarts with the previous version.
      simulation.time.after(15_000, () => {
        simulation.controllers.get('c-2')!.crash();
        simulation.time.after(400, () => {
          simulation.controllers.get('c-2')!.start();
        });
      });
      await simulation.time.runUntil(28_750);
      assert.ok([...simulation.controllers.values()].every((node) => !node.runsPreviousVersion));
      const ids = simulation.users.submitPipeline(2, false);
      await advanceUntil(
        simulation,
        () => ids.length >= 4 && ids.every((id) => jobOf(simulation, id).observedFinalState === 'done'),
        70_000,
      );
      assert.equal(simulation.state.oversizedTransactions, 0);
    }
  });
});
