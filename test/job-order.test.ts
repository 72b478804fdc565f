/** The order of the jobs of a team. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_TASKS_DONE } from '../src/core/jobs/done-tasks.js';
import { compareJobs } from '../src/core/jobs/job-order.js';
import type { JobSpec } from '../src/core/model/jobs.js';
import { wallClockMs } from '../src/core/model/time.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { submission } from './samples.js';

const spec = (fields: Record<string, unknown> = {}): JobSpec => jobFromWire(submission(fields) as never);

test('among arrays due at the same time those with fewer tasks left go first, but a large one is never delayed for long', () => {
  const job = (id: string, tasks: number, submittedS: number, done = 0) => ({
    spec: spec({ nameId: id, shards: tasks, dueS: 200 }),
    phase: 'active' as const,
    done: { ...NO_TASKS_DONE, count: done },
    submitted: wallClockMs(submittedS * 1000),
  });
  const before = compareJobs({ wallClock: wallClockMs(0), hasTasks: () => false, starvationMs: 60_000 });
  const order = (...jobs: ReturnType<typeof job>[]) => jobs.sort(before).map((j) => j.spec.id);
  assert.deepEqual(order(job('wk-1', 90, 0), job('wk-2', 10, 20)), ['wk-2', 'wk-1']);
  assert.deepEqual(order(job('wk-2', 10, 20), job('wk-1', 90, 0, 85)), ['wk-1', 'wk-2'], 'nearly done');
  // Small ones that are submitted later do not delay the largest for ever.
  assert.deepEqual(order(job('wk-2', 1, 81), job('wk-1', 100_000, 0)), ['wk-1', 'wk-2']);
});

test('an overdue large array gives way to jobs of its team that have waited for long without running', () => {
  const job = (id: string, tasks: number, submittedS: number, dueS: number) => ({
    spec: spec({ nameId: id, shards: tasks, dueS }),
    phase: 'active' as const,
    done: NO_TASKS_DONE,
    submitted: wallClockMs(submittedS * 1000),
  });
  const largeArray = job('wk-1', 25_000, 0, 30);
  const single = job('wk-2', 1, 20, 900);
  const first = (wallS: number, running: readonly string[], other = single) => {
    const order = compareJobs({
      wallClock: wallClockMs(wallS * 1000),
      hasTasks: (id) => running.includes(id),
      starvationMs: 60_000,
    });
    return [largeArray, other].sort(order)[0]!.spec.id;
  };
  assert.equal(first(50, ['wk-1']), 'wk-1', 'by due time');
  assert.equal(
    first(120, ['wk-1']),
    'wk-2',
    'the large one is late in any case, and no task of the other runs',
  );
  assert.equal(first(120, ['wk-1', 'wk-2']), 'wk-1');
  // It was submitted when the large one was almost due, and has waited as long as any.
  const later = job('wk-3', 1, 60, 900);
  assert.equal(first(125, ['wk-1'], later), 'wk-3');
  assert.equal(first(115, ['wk-1'], later), 'wk-1', 'not before it has waited');
  assert.equal(first(150, []), 'wk-1', 'neither runs: the one that has waited longer');
});
