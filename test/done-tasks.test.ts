/**
 * The set of done tasks of a job. An inexact set would run tasks twice or never; one without a bound would make a job's
 * record larger than the state service accepts.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  TASK_WINDOW,
  isDone,
  markDone,
  unfinishedTasks,
  NO_TASKS_DONE,
} from '../src/core/jobs/done-tasks.js';
import type { JobSpec } from '../src/core/model/jobs.js';
import { wallClockMs } from '../src/core/model/time.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { submission } from './samples.js';
import { job, scalingPlan } from './scheduling-samples.js';

const spec = (fields: Record<string, unknown> = {}): JobSpec => jobFromWire(submission(fields) as never);

test('the set contains exactly the tasks marked as done within the window, whatever their order', () => {
  fc.assert(
    fc.property(
      fc
        .integer({ min: 1, max: 400 })
        .chain((taskCount) =>
          fc.tuple(
            fc.constant(taskCount),
            fc.shuffledSubarray([...Array(taskCount).keys()]),
            fc.integer({ min: 1, max: 20 }),
          ),
        ),
      ([taskCount, order, step]) => {
        let set = NO_TASKS_DONE;
        for (let i = 0; i < order.length; i += step) set = markDone(set, order.slice(i, i + step));
        const done = new Set(order);
        assert.equal(set.count, done.size);
        for (let i = 0; i < taskCount; i++) assert.equal(isDone(set, i), done.has(i));
        const job = {
          spec: spec({ shards: taskCount }),
          phase: 'active' as const,
          done: set,
          submitted: wallClockMs(0),
        };
        assert.deepEqual(
          [...unfinishedTasks(job)],
          [...Array(taskCount).keys()].filter((i) => !done.has(i)),
        );
      },
    ),
  );
});

test("the record of a job of 100,000 tasks stays below the state service's limit", () => {
  let set = NO_TASKS_DONE;
  const job = {
    spec: spec({ shards: 100_000 }),
    phase: 'active' as const,
    done: set,
    submitted: wallClockMs(0),
  };
  const unfinished = [...unfinishedTasks(job)];
  assert.equal(unfinished.length, TASK_WINDOW);
  // Every second task is the worst case for the bitmap.
  set = markDone(
    set,
    unfinished.filter((i) => i % 2 === 1),
  );
  assert.ok(JSON.stringify({ ...job, done: set }).length < 4096);
  assert.throws(() => markDone(set, [TASK_WINDOW]));
});

// Only the results of an array need a bitmap: replicas beyond the window were never started, and a gang got machines for the
// tasks of one window only (review/4).
for (const kind of ['ensemble', 'daemon'])
  test(`all tasks of a job whose tasks do not finish one by one may be started: ${kind}`, () => {
    const record = job('wk-1', { shape: kind, shards: 100_000, vcpus: 0.01, cards: 0, memoryGb: 0.01 });
    assert.equal([...unfinishedTasks(record)].length, 100_000);
    const { rentals } = scalingPlan([record], [], { isAvailable: () => true });
    assert.ok(rentals.length >= Math.ceil((100_000 * 0.01) / 16), `${rentals.length} machines are rented`);
  });
