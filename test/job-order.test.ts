/**
 * The order of the jobs of a team. Guards against small arrays that wait behind a large one in a backlog, and against
 * large arrays that starve behind small ones.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_TASKS_DONE } from '../src/core/jobs/done-tasks.js';
import { compareJobs } from '../src/core/jobs/job-order.js';
import type { JobSpec } from '../src/core/model/jobs.js';
import { wallClockMs } from '../src/core/model/time.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { submission } from './samples.js';

const spec = (fields: Record<string, unknown> = {}): JobSpec => jobFromWire(submission(fields) as never);

test('among arrays due at the same time those with fewer tasks left go first, but the delay of a large one is bounded', () => {
  const job = (id: string, tasks: number, submittedS: number, done = 0) => ({
    spec: spec({ nameId: id, shards: tasks, dueS: 200 }),
    phase: 'active' as const,
    done: { ...NO_TASKS_DONE, count: done },
    submitted: wallClockMs(submittedS * 1000),
  });
  const compare = compareJobs({ wallClock: wallClockMs(0), hasTasks: () => false, starvationMs: 60_000 });
  const order = (...jobs: ReturnType<typeof job>[]) => jobs.sort(compare).map((j) => j.spec.id);
  assert.deepEqual(order(job('wk-1', 90, 0), job('wk-2', 10, 20)), ['wk-2', 'wk-1']);
  assert.deepEqual(
    order(job('wk-2', 10, 20), job('wk-1', 90, 0, 85)),
    ['wk-1', 'wk-2'],
    'an array that is nearly done goes first',
  );
  // The delay of the largest array is bounded: small arrays that are submitted after that time go behind it.
  assert.deepEqual(order(job('wk-2', 1, 81), job('wk-1', 100_000, 0)), ['wk-1', 'wk-2']);
});

test('an overdue array with running tasks goes behind arrays of its team that have waited long without any', () => {
  const job = (id: string, tasks: number, submittedS: number, dueS: number) => ({
    spec: spec({ nameId: id, shards: tasks, dueS }),
    phase: 'active' as const,
    done: NO_TASKS_DONE,
    submitted: wallClockMs(submittedS * 1000),
  });
  const largeArray = job('wk-1', 25_000, 0, 30);
  const single = job('wk-2', 1, 20, 900);
  const firstJob = (wallS: number, running: readonly string[], other = single) => {
    const order = compareJobs({
      wallClock: wallClockMs(wallS * 1000),
      hasTasks: (id) => running.includes(id),
      starvationMs: 60_000,
    });
    return [largeArray, other].sort(order)[0]!.spec.id;
  };
  assert.equal(firstJob(50, ['wk-1']), 'wk-1', 'the array that is due first goes first');
  assert.equal(
    firstJob(120, ['wk-1']),
    'wk-2',
    'the large array is overdue in any case, and no task of the other runs',
  );
  assert.equal(firstJob(120, ['wk-1', 'wk-2']), 'wk-1');
  // An array that was submitted when the large one was almost due goes first once it has itself waited for 60 s.
  const submittedLater = job('wk-3', 1, 60, 900);
  assert.equal(firstJob(125, ['wk-1'], submittedLater), 'wk-3');
  assert.equal(firstJob(115, ['wk-1'], submittedLater), 'wk-1', 'not before it has waited for 60 s');
  assert.equal(
    firstJob(150, []),
    'wk-1',
    'no task of either runs: the array that has waited longer goes first',
  );
});
