/** Jobs that fail wherever they run are told from machines that fail whatever they run, and cost little until cancelled. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FailureTracker } from '../src/core/health/failure-tracker.js';
import { parseKey } from '../src/core/records/keys.js';
import { jobId, machineName } from '../src/core/model/ids.js';
import { monotonicMs } from '../src/core/model/time.js';
import {
  allControllers,
  runUntilBusy,
  cancelledJobs,
  currentLeader,
  faultScenario,
  advance,
} from './sim/fault-scenario.js';
import type { Simulation } from './sim/simulation.js';

const JOB = jobId('wk-1');
const machine = (i: number) => machineName(`n-${i}`);

test('a job that fails on several machines waits longer and longer, up to a bound, and condemns none of them', () => {
  const failures = new FailureTracker(() => 0.5);
  failures.recordFailure(JOB, machine(0), 'error', monotonicMs(0));
  assert.equal(failures.failuresOf(JOB), null, 'one machine may be the one at fault');
  let now = 100;
  const waits: number[] = [];
  for (let i = 1; i <= 8; i++) {
    // All tasks of one try fail, on several machines.
    for (let k = 0; k < 5; k++)
      failures.recordFailure(JOB, machine(i * 5 + k), 'error', monotonicMs(now + k));
    const { until, rounds } = failures.failuresOf(JOB)!;
    assert.equal(rounds, i);
    waits.push(until - now);
    now = until;
  }
  assert.deepEqual(waits, [5000, 10_000, 20_000, 40_000, 60_000, 60_000, 60_000, 60_000]);
  for (let i = 0; i < 50; i++) assert.equal(failures.isFaulty(machine(i)), false);
  failures.recordSuccess(JOB, machine(3));
  assert.equal(failures.failuresOf(JOB), null, 'it is sound after all');
});

test('the waits of jobs that fail alike are spread', () => {
  const untils = [0, 0.25, 0.75, 0.999].map((r) => {
    const failures = new FailureTracker(() => r);
    for (const i of [1, 2]) failures.recordFailure(JOB, machine(i), 'error', monotonicMs(0));
    return failures.failuresOf(JOB)!.until;
  });
  assert.ok(Math.min(...untils) >= 3750 && Math.max(...untils) <= 6250);
  assert.equal(new Set(untils).size, 4);
});

test('another owner goes on with the waits that its predecessor recorded', () => {
  const failures = new FailureTracker(() => 0.5);
  failures.recordFailure(JOB, machine(1), 'error', monotonicMs(0), 3);
  const { rounds, until } = failures.failuresOf(JOB)!;
  assert.equal(rounds, 4);
  assert.equal(until, 40_000);
});

test('a machine is at fault when it fails what runs elsewhere, or several jobs', () => {
  const failures = new FailureTracker(() => 0.5);
  // Many tasks of one array that nobody has seen run yet: it may be the array.
  for (let i = 0; i < 9; i++) failures.recordFailure(JOB, machine(1), 'error', monotonicMs(i));
  assert.equal(failures.isFaulty(machine(1)), false);
  failures.recordLongRun(JOB);
  assert.equal(failures.isFaulty(machine(1)), true);
  failures.recordFailure(jobId('wk-2'), machine(2), 'error', monotonicMs(20));
  assert.equal(failures.isFaulty(machine(2)), false);
  failures.recordFailure(jobId('wk-3'), machine(2), 'error', monotonicMs(30));
  assert.equal(failures.isFaulty(machine(2)), true);
  failures.recordSuccess(jobId('wk-4'), machine(2));
  assert.equal(failures.isFaulty(machine(2)), false, 'it does something well again');
});

test('what is known of a job goes with it', () => {
  const failures = new FailureTracker(() => 0.5);
  for (const i of [1, 2]) failures.recordFailure(JOB, machine(i), 'error', monotonicMs(0));
  assert.equal([...failures.failingJobs()].length, 1);
  failures.forgetJob(JOB);
  assert.equal([...failures.failingJobs()].length, 0);
});

/** Starts of tasks of the job so far. */
function countStarts(simulation: Simulation, id: string): () => number {
  let starts = 0;
  const enter = simulation.cluster.recordTaskStart.bind(simulation.cluster);
  simulation.cluster.recordTaskStart = (w, t) => {
    if (t.id === id) starts++;
    enter(w, t);
  };
  return () => starts;
}

const drained = (simulation: Simulation) =>
  [...simulation.state.rows].filter(
    ([k, r]) => parseKey(k).kind === 'machine' && (r.value as { drain?: boolean }).drain === true,
  );

for (const [kind, tasks, most] of [
  ['sweep', 12, 30],
  ['ensemble', 3, 30],
  ['daemon', 4, 30],
] as const)
  test(`a broken ${kind} is tried rarely, drains no machine, says so, and is cancelled at once`, async () => {
    const simulation = await runUntilBusy(3);
    const id = simulation.submit({
      kind,
      tasks,
      alwaysFails: true,
      isNeverCancelled: true,
      fields: { cards: 0, tier: 'urgent' },
    });
    const starts = countStarts(simulation, id);
    const before = drained(simulation).length;
    await advance(simulation, 60_000);
    assert.ok(starts() >= 3, `it was tried ${starts()} times`);
    assert.ok(starts() <= most, `it was tried ${starts()} times in a minute`);
    assert.equal(drained(simulation).length, before);
    const asked = currentLeader(simulation).controller!.jobs.find(jobId(id));
    await advance(simulation, 500);
    const found = await asked;
    assert.equal(found?.failing?.why, 'error');
    assert.ok(found.failing.rounds >= 1 && found.failing.machines.length > 0);
    // Whoever takes over goes on with its waits.
    for (const n of allControllers(simulation)) n.crash();
    await advance(simulation, 500);
    for (const n of allControllers(simulation)) n.start();
    const crashed = starts();
    await advance(simulation, 6000);
    assert.ok(starts() - crashed <= Math.max(3, tasks / 3), 'not all of it is tried again');
    simulation.cancel(id);
    await advance(simulation, 6000);
    assert.equal(simulation.cluster.submitted.get(id)!.observedFinalState, 'cancelled');
  });

faultScenario(
  'broken jobs meet an outage of the state service and a change of leader',
  async (simulation) => {
    const ids = [...Array(6).keys()].map((i) =>
      simulation.submit({
        kind: i % 2 === 0 ? 'sweep' : 'ensemble',
        tasks: 3,
        alwaysFails: true,
        isNeverCancelled: true,
        fields: { cards: 0 },
      }),
    );
    await advance(simulation, 6000);
    simulation.state.setOutage(true);
    currentLeader(simulation).crash();
    for (const id of ids.slice(0, 3)) simulation.cancel(id);
    await advance(simulation, 15_000);
    simulation.state.setOutage(false);
    for (const n of allControllers(simulation)) if (n.controller === null) n.start();
    await advance(simulation, 10_000);
    for (const id of ids.slice(3)) simulation.cancel(id);
    await advance(simulation, 10_000);
    assert.ok(cancelledJobs(simulation).length >= 6, 'all were called off');
  },
);
