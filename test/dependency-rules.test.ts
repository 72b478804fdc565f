/**
 * Resolution of dependencies from records alone. Guards against jobs that start before all their dependencies are known
 * to be done, that miss the cancellation of one, or whose status depends on what a controller remembers: a controller
 * that takes over knows only the records.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  resolveDependencies,
  resolveJobDependencies,
  type DependencyInput,
} from '../src/core/jobs/dependencies.js';
import { NO_TASKS_DONE } from '../src/core/jobs/done-tasks.js';
import { jobId } from '../src/core/model/ids.js';
import type { FinalRecord, JobRecord } from '../src/core/model/jobs.js';
import { wallClockMs } from '../src/core/model/time.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { submission } from './samples.js';

const record = (
  id: string,
  needs: string[],
  fields: Record<string, unknown> = {},
  submitted = 0,
): JobRecord => ({
  spec: jobFromWire(submission({ nameId: id, awaits: needs, dueS: null, ...fields }) as never),
  phase: 'active',
  done: NO_TASKS_DONE,
  submitted: wallClockMs(submitted),
});
const input = (
  jobs: JobRecord[],
  finals: Record<string, FinalRecord> = {},
  runMs = 1000,
): DependencyInput => ({
  jobs: new Map(jobs.map((j) => [j.spec.id, j])),
  finalState: (id) => finals[id],
  hasStarted: () => false,
  runMs: () => runMs,
});
const done = (at?: number): FinalRecord => ({
  state: 'done',
  done: 1,
  ...(at === undefined ? {} : { at: wallClockMs(at) }),
});
const cancelled: FinalRecord = { state: 'cancelled', done: 0 };
const startable = (i: DependencyInput) => resolveDependencies(i).startable.map((j) => j.spec.id as string);

test('a submission whose list of dependencies is absent, null or empty has none, and repeated ids count once', () => {
  for (const awaits of [undefined, null, []])
    assert.equal('needs' in jobFromWire(submission({ awaits }) as never), false);
  assert.deepEqual(jobFromWire(submission({ awaits: ['wk-1', 'wk-2', 'wk-1'] }) as never).needs, [
    'wk-1',
    'wk-2',
  ]);
});

test('a job may start only once the final state of each of its dependencies was read as done', () => {
  const b = record('wk-b', ['wk-a', 'wk-x'], {}, 100);
  const a = record('wk-a', []);
  assert.deepEqual(startable(input([b, a], { 'wk-x': done() })), ['wk-a']);
  // A job missing from the view may be done or cancelled, or the watch has not delivered its record yet.
  assert.deepEqual(startable(input([b], { 'wk-x': done() })), []);
  assert.deepEqual(resolveJobDependencies(b, input([b], { 'wk-x': done() })), {
    kind: 'unknown',
    unread: ['wk-a'],
  });
  const i = input([b], { 'wk-a': done(900), 'wk-x': done(400) });
  assert.deepEqual(startable(i), ['wk-b']);
  // The times of the job count from the end of its last dependency.
  assert.equal(resolveDependencies(i).startable[0]!.submitted, 900);
  // Versions without dependencies wrote final states without a time.
  assert.equal(
    resolveDependencies(input([b], { 'wk-a': done(), 'wk-x': done() })).startable[0]!.submitted,
    100,
  );
});

test('a cancelled job cancels all jobs that depend on it, at any depth, and no others', () => {
  const depth = 5000;
  const chain = [...Array(depth).keys()].map((i) => record(`wk-${i + 1}`, [`wk-${i}`]));
  const unrelated = record('wk-before', []);
  const graph = resolveDependencies(input([...chain.reverse(), unrelated], { 'wk-0': cancelled }));
  const cancelledStatuses = [...graph.byJob.values()].filter((x) => x.kind === 'cancelled');
  assert.equal(cancelledStatuses.length, depth);
  assert.ok(cancelledStatuses.every((x) => x.because === 'wk-0'));
  assert.deepEqual(
    graph.startable.map((j) => j.spec.id),
    ['wk-before'],
  );
});

test('a dependency inherits the highest priority and the earliest deadline, less the run times of its dependents', () => {
  const a = record('wk-a', [], { tier: 'low' });
  const b = record('wk-b', ['wk-a'], { tier: 'low' });
  const c = record('wk-c', ['wk-b'], { tier: 'urgent', dueS: 60 }, 5000);
  const other = record('wk-d', ['wk-a'], { tier: 'standard', dueS: 30 }, 4000);
  const [first] = resolveDependencies(input([a, b, c, other], {}, 10_000)).startable;
  assert.equal(first!.spec.id, 'wk-a');
  assert.equal(first!.spec.priority, 'high');
  // For wk-d it is due at 24 s: the deadline at 34 s less a run of 10 s. For wk-c: 65 s less two runs, 45 s.
  assert.equal(first!.submitted + first!.spec.deadlineS! * 1000, 24_000);
  // Without wk-c and wk-d no job has a deadline.
  assert.equal(resolveDependencies(input([a, b], {}, 10_000)).startable[0]!.spec.deadlineS, null);
  // A job that is being cancelled passes on neither its priority nor its deadline.
  const cancelling = { ...c, phase: 'cancelling' as const };
  assert.equal(resolveDependencies(input([a, b, cancelling], {}, 10_000)).startable[0]!.spec.priority, 'low');
});

test('for any graph and any final states, the dependencies of a job determine whether it may start, waits or is cancelled', () => {
  const states = ['open', 'done', 'cancelled'] as const;
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.constantFrom(...states), fc.array(fc.nat(), { maxLength: 3 })), { maxLength: 12 }),
      fc.boolean(),
      (list, shuffled) => {
        const jobs: JobRecord[] = [];
        const finals: Record<string, FinalRecord> = {};
        const isCancelled = new Map<string, boolean>();
        list.forEach(([state, refs], i) => {
          const needs = i === 0 ? [] : [...new Set(refs.map((r) => `wk-${r % i}`))];
          const id = `wk-${i}`;
          if (state === 'open') {
            jobs.push(record(id, needs));
            isCancelled.set(
              id,
              needs.some((n) => isCancelled.get(n) === true),
            );
          } else {
            finals[id] = state === 'done' ? done() : cancelled;
            isCancelled.set(id, state === 'cancelled');
          }
        });
        if (shuffled) jobs.reverse();
        const graph = resolveDependencies(input(jobs, finals));
        const startableIds = new Set(graph.startable.map((j) => j.spec.id as string));
        for (const j of jobs) {
          const needs = j.spec.needs ?? [];
          assert.equal(
            startableIds.has(j.spec.id),
            needs.every((n) => finals[n]?.state === 'done'),
          );
          if (needs.length === 0) continue;
          assert.equal(graph.byJob.get(j.spec.id)?.kind === 'cancelled', isCancelled.get(j.spec.id));
          assert.deepEqual(resolveJobDependencies(j, input(jobs, finals)), graph.byJob.get(j.spec.id));
        }
      },
    ),
    { seed: 7 },
  );
});

test('resolving hundreds of jobs that depend on one unfinished job looks up no final state', () => {
  const dependents = [...Array(800).keys()].map((i) => record(`wk-w${i}`, ['wk-0']));
  let reads = 0;
  const i = input([record('wk-0', []), ...dependents]);
  resolveDependencies({
    ...i,
    finalState: () => {
      reads++;
      return undefined;
    },
  });
  assert.equal(reads, 0, 'the view shows that the dependency is unfinished');
  assert.deepEqual(
    resolveDependencies(i).startable.map((j) => j.spec.id),
    [jobId('wk-0')],
  );
});
