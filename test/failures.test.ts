/** Jobs that fail on every machine are distinguished from machines that fail every job, and cost little until cancelled. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FailureTracker, type TaskFailure } from '../src/core/health/failure-tracker.js';
import { jobId, machineName, type MachineName } from '../src/core/model/ids.js';
import { monotonicMs, type MonotonicMs } from '../src/core/model/time.js';
import { parseKey } from '../src/core/records/keys.js';
import { faultScenario, runUntilBusy } from './sim/fault-scenario.js';
import { advance, allControllers, cancelledJobs, currentLeader } from './sim/run-helpers.js';
import type { Simulation } from './sim/simulation.js';

const JOB = jobId('wk-1');
const machine = (i: number) => machineName(`n-${i}`);
const failure = (on: MachineName, now: MonotonicMs): TaskFailure => ({
  job: JOB,
  machine: on,
  why: 'error',
  now,
});

test('a job that fails on several machines backs off exponentially, up to a bound, and quarantines none of them', () => {
  const failures = new FailureTracker(() => 0.5);
  failures.recordFailure(failure(machine(0), monotonicMs(0)));
  assert.equal(failures.failuresOf(JOB), null, 'the machine may be faulty');
  let now = 100;
  const backoffs: number[] = [];
  for (let i = 1; i <= 8; i++) {
    // All tasks of one round fail, on several machines.
    for (let task = 0; task < 5; task++)
      failures.recordFailure(failure(machine(i * 5 + task), monotonicMs(now + task)));
    const { until, rounds } = failures.failuresOf(JOB)!;
    assert.equal(rounds, i);
    backoffs.push(until - now);
    now = until;
  }
  assert.deepEqual(backoffs, [5000, 10_000, 20_000, 40_000, 60_000, 60_000, 60_000, 60_000]);
  for (let i = 0; i < 50; i++) assert.equal(failures.isFaulty(machine(i)), false);
  failures.recordSuccess(JOB, machine(3));
  assert.equal(failures.failuresOf(JOB), null, 'it runs on some machine');
});

test('the backoffs of jobs that fail at the same time are spread', () => {
  const untils = [0, 0.25, 0.75, 0.999].map((random) => {
    const failures = new FailureTracker(() => random);
    for (const i of [1, 2]) failures.recordFailure(failure(machine(i), monotonicMs(0)));
    return failures.failuresOf(JOB)!.until;
  });
  assert.ok(Math.min(...untils) >= 3750 && Math.max(...untils) <= 6250);
  assert.equal(new Set(untils).size, 4);
});

test('another owner continues the backoff that its predecessor recorded', () => {
  const failures = new FailureTracker(() => 0.5);
  failures.recordFailure({ ...failure(machine(1), monotonicMs(0)), knownRounds: 3 });
  const { rounds, until } = failures.failuresOf(JOB)!;
  assert.equal(rounds, 4);
  assert.equal(until, 40_000);
});

test('a machine is faulty when it fails a job that runs elsewhere, or several jobs', () => {
  const failures = new FailureTracker(() => 0.5);
  // Many tasks of one array that nobody has seen run yet: it may be the array.
  for (let i = 0; i < 9; i++) failures.recordFailure(failure(machine(1), monotonicMs(i)));
  assert.equal(failures.isFaulty(machine(1)), false);
  failures.recordLongRun(JOB);
  assert.equal(failures.isFaulty(machine(1)), true);
  failures.recordFailure({ ...failure(machine(2), monotonicMs(20)), job: jobId('wk-2') });
  assert.equal(failures.isFaulty(machine(2)), false);
  failures.recordFailure({ ...failure(machine(2), monotonicMs(30)), job: jobId('wk-3') });
  assert.equal(failures.isFaulty(machine(2)), true);
  failures.recordSuccess(jobId('wk-4'), machine(2));
  assert.equal(failures.isFaulty(machine(2)), false, 'it has finished a task');
});

test('the failures of a job that is over are forgotten', () => {
  const failures = new FailureTracker(() => 0.5);
  for (const i of [1, 2]) failures.recordFailure(failure(machine(i), monotonicMs(0)));
  assert.equal([...failures.failingJobs()].length, 1);
  failures.forgetJob(JOB);
  assert.equal([...failures.failingJobs()].length, 0);
});

/** Starts of tasks of the job so far. */
function countStarts(simulation: Simulation, id: string): () => number {
  let starts = 0;
  const recordTaskStart = simulation.cluster.recordTaskStart.bind(simulation.cluster);
  simulation.cluster.recordTaskStart = (agent, task) => {
    if (task.id === id) starts++;
    recordTaskStart(agent, task);
  };
  return () => starts;
}

const drainedMachines = (simulation: Simulation) =>
  [...simulation.state.rows].filter(
    ([key, row]) => parseKey(key).kind === 'machine' && (row.value as { drain?: boolean }).drain === true,
  );

for (const [kind, tasks, maxStarts] of [
  ['sweep', 12, 30],
  ['ensemble', 3, 30],
  ['daemon', 4, 30],
] as const)
  test(`a failing ${kind} is retried rarely, drains no machine, reports its failures, and is cancelled at once`, async () => {
    const simulation = await runUntilBusy(3);
    const id = simulation.submit({
      kind,
      tasks,
      alwaysFails: true,
      isNeverCancelled: true,
      fields: { cards: 0, tier: 'urgent' },
    });
    const starts = countStarts(simulation, id);
    const drainedBefore = drainedMachines(simulation).length;
    await advance(simulation, 60_000);
    assert.ok(starts() >= 3, `it was tried ${starts()} times`);
    assert.ok(starts() <= maxStarts, `it was tried ${starts()} times in a minute`);
    assert.equal(drainedMachines(simulation).length, drainedBefore);
    const statusRequest = currentLeader(simulation).controller!.jobs.find(jobId(id));
    await advance(simulation, 500);
    const status = await statusRequest;
    assert.equal(status?.failing?.why, 'error');
    assert.ok(status.failing.rounds >= 1 && status.failing.machines.length > 0);
    // After a restart its backoff continues.
    for (const controller of allControllers(simulation)) controller.crash();
    await advance(simulation, 500);
    for (const controller of allControllers(simulation)) controller.start();
    const startsBeforeRestart = starts();
    await advance(simulation, 6000);
    assert.ok(starts() - startsBeforeRestart <= Math.max(3, tasks / 3), 'not all of it is tried again');
    simulation.cancel(id);
    await advance(simulation, 6000);
    assert.equal(simulation.cluster.submitted.get(id)!.observedFinalState, 'cancelled');
  });

faultScenario(
  'failing jobs during an outage of the state service and a change of leader',
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
    assert.ok(cancelledJobs(simulation).length >= 6, 'all were cancelled');
  },
);
