/** Dependent jobs: what follows from the records alone. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  resolveDependencies,
  resolveDependency,
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
  over: Record<string, unknown> = {},
  submitted = 0,
): JobRecord => ({
  spec: jobFromWire(submission({ nameId: id, awaits: needs, dueS: null, ...over }) as never),
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

test('no needs, an empty list and null are the same; repeated ids count once', () => {
  for (const awaits of [undefined, null, []])
    assert.equal('needs' in jobFromWire(submission({ awaits }) as never), false);
  assert.deepEqual(jobFromWire(submission({ awaits: ['wk-1', 'wk-2', 'wk-1'] }) as never).needs, [
    'wk-1',
    'wk-2',
  ]);
});

test('a job may start once the final state of each that it needs was read as done, and not before', () => {
  const b = record('wk-b', ['wk-a', 'wk-x'], {}, 100);
  const a = record('wk-a', []);
  assert.deepEqual(startable(input([b, a], { 'wk-x': done() })), ['wk-a']);
  // A job that is not in the view may be over in any way, or its record may be on its way.
  assert.deepEqual(startable(input([b], { 'wk-x': done() })), []);
  assert.deepEqual(resolveDependency(b, input([b], { 'wk-x': done() })), {
    kind: 'unknown',
    unread: ['wk-a'],
  });
  const i = input([b], { 'wk-a': done(900), 'wk-x': done(400) });
  assert.deepEqual(startable(i), ['wk-b']);
  // Its own times count from then.
  assert.equal(resolveDependencies(i).startable[0]!.submitted, 900);
  // Versions before pipelines wrote no time.
  assert.equal(
    resolveDependencies(input([b], { 'wk-a': done(), 'wk-x': done() })).startable[0]!.submitted,
    100,
  );
});

test('a cancelled job withdraws all that depend on it, through any depth, and none that it depends on', () => {
  const depth = 5000;
  const chain = [...Array(depth).keys()].map((i) => record(`wk-${i + 1}`, [`wk-${i}`]));
  const before = record('wk-before', []);
  const graph = resolveDependencies(input([...chain.reverse(), before], { 'wk-0': cancelled }));
  const withdrawn = [...graph.byJob.values()].filter((x) => x.kind === 'withdrawn');
  assert.equal(withdrawn.length, depth);
  assert.ok(withdrawn.every((x) => x.because === 'wk-0'));
  assert.deepEqual(
    graph.startable.map((j) => j.spec.id),
    ['wk-before'],
  );
});

test('a needed job inherits the highest priority and the earliest finish, less what lies between', () => {
  const a = record('wk-a', [], { tier: 'low' });
  const b = record('wk-b', ['wk-a'], { tier: 'low' });
  const c = record('wk-c', ['wk-b'], { tier: 'urgent', dueS: 60 }, 5000);
  const other = record('wk-d', ['wk-a'], { tier: 'standard', dueS: 30 }, 4000);
  const [first] = resolveDependencies(input([a, b, c, other], {}, 10_000)).startable;
  assert.equal(first!.spec.id, 'wk-a');
  assert.equal(first!.spec.priority, 'high');
  // By wk-d's deadline: 34 s less its own 10 s; by wk-c's: 65 s less 20 s.
  assert.equal(first!.submitted + first!.spec.deadlineS! * 1000, 24_000);
  // Without the last job nobody has a deadline.
  assert.equal(resolveDependencies(input([a, b], {}, 10_000)).startable[0]!.spec.deadlineS, null);
  // A cancelled job passes nothing on.
  const off = { ...c, phase: 'cancelling' as const };
  assert.equal(resolveDependencies(input([a, b, off], {}, 10_000)).startable[0]!.spec.priority, 'low');
});

test('for any graph and any final states: whether a job may start, waits or is withdrawn follows from its dependencies', () => {
  const states = ['open', 'done', 'cancelled'] as const;
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.constantFrom(...states), fc.array(fc.nat(), { maxLength: 3 })), { maxLength: 12 }),
      fc.boolean(),
      (list, shuffled) => {
        const jobs: JobRecord[] = [];
        const finals: Record<string, FinalRecord> = {};
        const isWithdrawn = new Map<string, boolean>();
        list.forEach(([state, refs], i) => {
          const needs = i === 0 ? [] : [...new Set(refs.map((r) => `wk-${r % i}`))];
          const id = `wk-${i}`;
          if (state === 'open') {
            jobs.push(record(id, needs));
            isWithdrawn.set(
              id,
              needs.some((n) => isWithdrawn.get(n) === true),
            );
          } else {
            finals[id] = state === 'done' ? done() : cancelled;
            isWithdrawn.set(id, state === 'cancelled');
          }
        });
        if (shuffled) jobs.reverse();
        const graph = resolveDependencies(input(jobs, finals));
        const may = new Set(graph.startable.map((j) => j.spec.id as string));
        for (const j of jobs) {
          const needs = j.spec.needs ?? [];
          assert.equal(
            may.has(j.spec.id),
            needs.every((n) => finals[n]?.state === 'done'),
          );
          if (needs.length === 0) continue;
          assert.equal(graph.byJob.get(j.spec.id)?.kind === 'withdrawn', isWithdrawn.get(j.spec.id));
          assert.deepEqual(resolveDependency(j, input(jobs, finals)), graph.byJob.get(j.spec.id));
        }
      },
    ),
    { seed: 7 },
  );
});

test('hundreds of jobs that depend on one cost no read of a final state', () => {
  const wide = [...Array(800).keys()].map((i) => record(`wk-w${i}`, ['wk-0']));
  let reads = 0;
  const i = input([record('wk-0', []), ...wide]);
  resolveDependencies({
    ...i,
    finalState: () => {
      reads++;
      return undefined;
    },
  });
  assert.equal(reads, 0, 'unfinished jobs are in the view');
  assert.deepEqual(
    resolveDependencies(i).startable.map((j) => j.spec.id),
    [jobId('wk-0')],
  );
});
