/**
 * Results of finished tasks. Guards against a job whose number of tasks exceeds the window of a done set and stops the
 * reconcile loop of its shard: the pass threw an error each time, so that it committed nothing for any job (review/4).
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ControllerContext } from '../src/controller/controller-context.js';
import { TaskExits, type UncommittedResults } from '../src/controller/shard/task-exits.js';
import { LARGE_BATCH_TASKS } from '../src/controller/shard/timing.js';
import type { TaskExit } from '../src/core/agents/confirmed-exits.js';
import { NO_TASKS_DONE, TASK_WINDOW, isDone } from '../src/core/jobs/done-tasks.js';
import type { DoneSet, JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { machine, types } from './samples.js';
import { allocated, job, teams } from './scheduling-samples.js';

/** The smallest number of tasks that exceeds a window. */
const TASKS = TASK_WINDOW + 8;

/** Results of a view with the job and the machines. */
function taskExitsFor(record: JobRecord, machines: MachineRecord[] = [], now = () => 0): TaskExits {
  const id = record.spec.id;
  return new TaskExits({
    view: {
      jobs: new Map([[id, record]]),
      machines: new Map(machines.map((each) => [each.name, each])),
    },
    clock: { now },
    state: { limits: { writeRps: 60, controllerCount: 3 }, hasSpareBudget: true },
    ownership: { ownsTeam: () => true, owns: () => true },
    allocations: { current: () => new AllocationTotals(machines, types, teams) },
    guards: { forKey: (key: string) => ({ key, version: 1 }) },
    recordBudget: { storedJob: (stored: JobRecord) => stored },
  } as unknown as ControllerContext);
}

const exitOf = (record: JobRecord, index: number): TaskExit => ({
  allocation: allocated(record, index),
  index,
  reason: 'done',
});

/** The job's done set after a pass that finds the tasks done; null if the pass finds no result of the job. */
function doneAfter(record: JobRecord, indexes: readonly number[]): DoneSet | null {
  const exits = taskExitsFor(record);
  const results: UncommittedResults = new Map();
  for (const index of indexes) exits.collectResult(exitOf(record, index), results);
  const { finishedJobs, unfinishedJobs } = exits.prepareCommits(results);
  return finishedJobs.get(record.spec.id) ?? unfinishedJobs.get(record.spec.id) ?? null;
}

describe('results of a job with more tasks than the window of a done set', () => {
  for (const tasks of [TASKS, 100_000])
    it(`a gang of ${tasks} tasks is done as a whole once one of its tasks is`, () => {
      const gang = job('wk-1', { shape: 'ensemble', shards: tasks });
      const done = doneAfter(gang, [0, tasks - 1]);
      assert.equal(done?.count, tasks);
      assert.ok(isDone(done, tasks - 1));
    });

  it('an array whose record lags behind keeps the results that lie beyond its window for a later pass', () => {
    const array = job('wk-1', { shape: 'sweep', shards: TASKS });
    assert.equal(doneAfter(array, [TASK_WINDOW]), null);
    const laterRecord = { ...array, done: { ...NO_TASKS_DONE, base: 8, count: 8 } };
    assert.equal(doneAfter(laterRecord, [TASK_WINDOW])?.count, 9);
  });

  it('an array of which tasks within and beyond the window are done records those within it', () => {
    const array = job('wk-1', { shape: 'sweep', shards: TASKS });
    assert.equal(doneAfter(array, [3, TASK_WINDOW])?.count, 1);
  });
});

// A machine whose messages have no room for further tasks stood still until a batch of results was 20 s old.
describe('results of an array whose other tasks still run', () => {
  const array = job('wk-1', { shape: 'sweep', shards: 400, vcpus: 0.01, cards: 0, memoryGb: 0.01 });
  const busy = machine('n-1', [allocated(array, ...Array(400).keys())]);

  /** Time in ms after which the results of the first `count` tasks are written. */
  const writtenAfterMs = (count: number): number => {
    let now = 0;
    const exits = taskExitsFor(array, [busy], () => now);
    for (; now < 60_000; now += 100) {
      const results: UncommittedResults = new Map();
      for (let index = 0; index < count; index++) exits.collectResult(exitOf(array, index), results);
      if (exits.prepareCommits(results).dueCommits.length > 0) return now;
    }
    return now;
  };

  it('are written soon if they are many, and later if they are few', () => {
    assert.ok(writtenAfterMs(LARGE_BATCH_TASKS) <= 1000, `${writtenAfterMs(LARGE_BATCH_TASKS)} ms`);
    assert.ok(writtenAfterMs(LARGE_BATCH_TASKS - 1) >= 10_000, `${writtenAfterMs(LARGE_BATCH_TASKS - 1)} ms`);
  });
});
