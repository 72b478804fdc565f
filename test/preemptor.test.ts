/**
 * The search for tasks to preempt, over all jobs that find no room. Guards against a controller that searches for hundreds
 * of jobs in one go, and against jobs that are never searched for since those before them use up each pass.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readOperatorSettings } from '../src/config/operator-settings.js';
import type { ControllerContext } from '../src/controller/controller-context.js';
import { RecordBudget } from '../src/controller/record-budget.js';
import { Preemptor } from '../src/controller/shard/preemptor.js';
import type { JobId } from '../src/core/model/ids.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import type { WaitReason } from '../src/core/placement/placement-types.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { machine, types } from './samples.js';
import { AMPLE_ROOM, allocated, job, teams } from './scheduling-samples.js';

/** Time that the clock of the test advances with each reading. */
const TICK_MS = 3;
const WAITING_JOBS = 40;
/** Limit of a value in the state service. */
const VALUE_BYTES = 2048;

/** A preemptor whose clock advances with each reading. */
function preemptorFor(jobs: JobRecord[], machines: MachineRecord[]): Preemptor {
  let now = 0;
  return new Preemptor(
    {
      clock: { now: () => (now += TICK_MS) },
      operator: readOperatorSettings('[placement]\npatience_s = 0.001'),
      dependencies: { current: () => ({ startable: jobs }) },
      allocations: { current: () => new AllocationTotals(machines, types, teams) },
      view: { jobs: new Map(jobs.map((each) => [each.spec.id, each])) },
      guards: { forMachine: () => [] },
      events: { isActive: false },
      log: { info: () => undefined },
      recordBudget: new RecordBudget(VALUE_BYTES),
      teams,
    } as unknown as ControllerContext,
    () => AMPLE_ROOM,
  );
}

test('a long search for victims is continued by the next passes until all jobs were searched for', () => {
  const running = job('wk-0', { shards: 4, tier: 'low' });
  const machines = [machine('n-1', [allocated(running, 0, 1, 2, 3)], 'b')];
  // The only victims are in a zone that all jobs but the last exclude.
  const inOtherZone = [...Array(WAITING_JOBS).keys()].map((i) =>
    job(`wk-${i + 1}`, { shards: 1, tier: 'production', vault: 'a' }),
  );
  const last = job('wk-last', { shards: 1, tier: 'production', vault: 'b' });
  const waiting = [...inOtherZone, last];
  const reasons = new Map<JobId, WaitReason>(waiting.map(({ spec }) => [spec.id, 'no_room']));
  const preemptor = preemptorFor([running, ...waiting], machines);
  const passes = [preemptor.preempt(reasons, machines)];
  while (passes.at(-1)!.length === 0 && passes.length < 2 * WAITING_JOBS)
    passes.push(preemptor.preempt(reasons, machines));
  assert.ok(passes.length > 2, 'the search took a single pass');
  assert.deepEqual(
    passes.at(-1)!.flatMap(({ groups }) => groups),
    ['wk-last'],
  );
  assert.equal(preemptor.hasUnsearchedJobs, false, 'the next pass begins with the first job again');
});

// The change that stopped a part of an allocation was above the limit, so that it was left out each time.
test('the change that preempts tasks can be stored, however little its record has left', () => {
  const low = job('wk-0', { shards: 480, tier: 'low', vcpus: 0.04, cards: 0, memoryGb: 0.1 });
  const record = machine('n-1', [allocated(low, ...Array(480).keys())]);
  const bytesOf = (value: unknown) => JSON.stringify(value).length;
  assert.ok(bytesOf(record) < VALUE_BYTES && bytesOf(record) > VALUE_BYTES - 200, `${bytesOf(record)} bytes`);
  const waiting = job('wk-1', { shards: 1, tier: 'production', vcpus: 2, cards: 0, memoryGb: 1 });
  const preemptor = preemptorFor([low, waiting], [record]);
  const reasons = new Map<JobId, WaitReason>([[waiting.spec.id, 'no_room']]);
  preemptor.preempt(reasons, [record]);
  const changes = preemptor.preempt(reasons, [record]);
  const values = changes.flatMap(({ operations }) => operations.map(({ value }) => value as MachineRecord));
  assert.equal(values.length, 1);
  assert.ok(bytesOf(values[0]) <= VALUE_BYTES, `the change has ${bytesOf(values[0])} bytes`);
  assert.ok(values[0]!.placed.some(({ stop }) => stop === true));
});
