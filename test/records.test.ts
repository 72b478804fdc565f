/**
 * Records near the size limit on values of the state service, and records of the version without dependencies. Guards
 * against records that the service rejects whenever they are written, and against misreading a running cluster's
 * records after an upgrade.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { agentCommands } from '../src/core/agents/agent-commands.js';
import { newAgentSession, recordHeartbeat } from '../src/core/agents/agent-session.js';
import { confirmedExits } from '../src/core/agents/confirmed-exits.js';
import { resolveDependencies } from '../src/core/jobs/dependencies.js';
import { markDone } from '../src/core/jobs/done-tasks.js';
import { attempt, jobId, machineName, teamName, version } from '../src/core/model/ids.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import { monotonicMs } from '../src/core/model/time.js';
import { key } from '../src/core/records/keys.js';
import {
  TASK_INDEX_BYTES,
  jsonBytes,
  allocationBytes,
  splitBySize,
  shrinkMachineRecord,
} from '../src/core/records/stored-records.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { markStopping, allocationFor, addAllocation } from '../src/core/state/allocations.js';
import { ClusterView } from '../src/core/state/cluster-view.js';
import { heartbeatFromWire } from '../src/io/agents/agent-messages.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { machine, submission, type, types } from './samples.js';

/** Records as the version without dependencies wrote them, byte for byte. */
const PREVIOUS_JOB =
  '{"spec":{"id":"wk-000001","class":"sweep","team":"red","kind":"array","priority":"normal","tasks":4,' +
  '"demand":[1000000,2000000,0],"image":"img-1","imageGb":1,"types":null,"zone":null,"oneZone":false,"spread":false,' +
  '"spot":true,"estimateS":10,"checkpointS":0,"saveS":0,"deadlineS":null},"phase":"active",' +
  '"done":{"base":0,"bits":"AQ==","count":1},"submitted":1700000000000}';
const PREVIOUS_MACHINE =
  '{"name":"n-000001","type":"m","zone":"a","spot":false,"owner":"c-0","floor":7,"phase":"up","placed":[' +
  [1, 2, 3]
    .map(
      (i) =>
        `{"job":"wk-000001","team":"red","kind":"array","priority":"normal","demand":[1000000,2000000,0],"attempt":${40 + i},"tasks":[${i}]}`,
    )
    .join() +
  '],"since":1700000000000,"address":"10.1.0.1:9000","images":["img-1"],"heard":9}';

const viewOf = (rows: Record<string, string>) => {
  const view = new ClusterView();
  let lastVersion = 10;
  for (const [recordKey, text] of Object.entries(rows))
    view.apply({ key: recordKey, value: JSON.parse(text) as unknown, version: version(++lastVersion) });
  return view;
};

test('records of the previous version are read: jobs have no dependencies, each task has its own allocation', () => {
  const id = jobId('wk-000001');
  const view = viewOf({
    [key.job(id)]: PREVIOUS_JOB,
    [key.machine(machineName('n-000001'))]: PREVIOUS_MACHINE,
    [key.shard('c-0')]: '{"holder":"c-0","incarnation":"x"}',
  });
  const totals = new AllocationTotals(view.machines.values(), types, new Map());
  assert.equal(totals.allocationsByJob.get(id)?.tasks.size, 3);
  const graph = resolveDependencies({
    jobs: view.jobs,
    finalState: () => undefined,
    hasStarted: () => true,
    runMs: () => 0,
  });
  assert.equal(graph.startable[0], view.jobs.get(id), 'the record is used unchanged');
  // A final state without a time suffices for a job to start.
  const next = {
    ...view.jobs.get(id)!,
    spec: { ...view.jobs.get(id)!.spec, id: jobId('wk-2'), needs: [jobId('wk-0')] },
  };
  const nextGraph = resolveDependencies({
    jobs: new Map([[next.spec.id, next]]),
    finalState: () => JSON.parse('{"state":"done","done":1}') as never,
    hasStarted: () => false,
    runMs: () => 0,
  });
  assert.equal(nextGraph.startable.length, 1);
  // When the previous version writes new results, it copies the fields that it does not know.
  const rewritten = JSON.parse(JSON.stringify({ ...next, done: markDone(next.done, [2]) })) as typeof next;
  assert.deepEqual(rewritten.spec.needs, ['wk-0']);
});

test('tasks that share an allocation are stopped, confirmed as exited and started individually', () => {
  const spec = jobFromWire(submission({ vcpus: 1, cards: 0, memoryGb: 1, shards: 3 }) as never);
  const job = {
    spec,
    phase: 'active' as const,
    done: { base: 0, bits: '', count: 0 },
    submitted: 0 as never,
  };
  const shared = allocationFor(spec, attempt(9), [0, 1, 2]);
  const record: MachineRecord = machine('n-1', markStopping([shared], [{ ...shared, tasks: [1] }]));
  assert.deepEqual(
    record.placed.map((p) => [p.tasks, p.stop]),
    [
      [[0, 2], undefined],
      [[1], true],
    ],
  );
  const session = newAgentSession(5 as never, monotonicMs(0));
  const heartbeat = heartbeatFromWire({
    teller: 'n-1',
    flavor: 'm',
    vault: 'a',
    shift: 1,
    tally: 1,
    mandate: 5,
    shards: [
      { shard: `${spec.id}/0`, tryNo: 9, standing: 'ended', exitCause: 'done' },
      { shard: `${spec.id}/1`, tryNo: 9, standing: 'running' },
    ],
  })!;
  recordHeartbeat(session, heartbeat, { now: monotonicMs(10), isPushed: true, heartbeatIntervalMs: 2000 });
  const desired = {
    jobs: new Map([[spec.id, job]]),
    totals: new AllocationTotals([record], types, new Map()),
  };
  assert.deepEqual(
    confirmedExits(record, session, desired).map((e) => [e.index, e.reason]),
    [[0, 'done']],
  );
  assert.deepEqual(
    agentCommands({ machine: record, session, desired, now: monotonicMs(10), mayStart: true }).map((c) => [
      c.op,
      c.index,
    ]),
    [
      ['stop', 1],
      ['start', 2],
    ],
  );
});

test('the estimated sizes of an allocation and of a task are never less than what they add to a record', () => {
  for (const id of ['wk-1', `wk-${'x'.repeat(100)}`])
    for (const tenant of ['a', 'ä'.repeat(100)]) {
      const spec = jobFromWire(
        submission({
          nameId: id,
          tenant,
          shards: 100_000,
          vcpus: 1e9,
          cards: 1e9,
          memoryGb: 1e9,
          tier: 'production',
        }) as never,
      );
      const startAttempt = attempt(2 ** 52);
      const empty = machine('n-1', []);
      const one = addAllocation([], allocationFor(spec, startAttempt, [99_999]));
      const two = addAllocation(one, allocationFor(spec, startAttempt, [99_998]));
      const size = (placed: MachineRecord['placed']) => jsonBytes({ ...empty, placed });
      assert.ok(size(one) - size([]) <= allocationBytes(spec) + TASK_INDEX_BYTES);
      assert.ok(size(two) - size(one) <= TASK_INDEX_BYTES);
    }
});

test('a machine record above the limit is stored without its images, and during release with merged allocations', () => {
  const spec = jobFromWire(submission() as never);
  const record: MachineRecord = {
    ...machine(
      'n-1',
      [...Array(12).keys()].map((i) => allocationFor(spec, attempt(i + 1), [i])),
    ),
    images: [...Array(30).keys()].map((i) => `image-${i}`),
  };
  const bytesWithoutImages = jsonBytes({ ...record, images: undefined });
  assert.equal(shrinkMachineRecord(record, bytesWithoutImages)?.images, undefined);
  assert.ok(jsonBytes(shrinkMachineRecord(record, bytesWithoutImages)) <= bytesWithoutImages);
  assert.equal(
    shrinkMachineRecord(record, bytesWithoutImages - 1),
    null,
    'the record cannot be written until some tasks have ended',
  );
  const shrunk = shrinkMachineRecord({ ...record, phase: 'releasing' }, 700);
  assert.deepEqual(
    shrunk?.placed.flatMap((p) => p.tasks),
    [...Array(12).keys()],
  );
  // Merging does not change the totals.
  const usedIn = (x: MachineRecord) => new AllocationTotals([x], types, new Map()).usedBy(teamName('vision'));
  assert.deepEqual(usedIn(shrunk), usedIn(record));
});

test('a list of machine types too large for one value is stored in several and read as one', () => {
  const many = [...Array(30).keys()].map((i) => ({ ...type, name: `type-${i}` }));
  const parts = splitBySize(many, 2048);
  assert.ok(parts.length > 1 && parts.every((p) => jsonBytes(p) <= 2048));
  const view = viewOf(
    Object.fromEntries(parts.map((p, i) => [i === 0 ? key.types : key.moreTypes(i), JSON.stringify(p)])),
  );
  assert.deepEqual(new Set(view.types?.map((t) => t.name as string)), new Set(many.map((t) => t.name)));
  view.apply({ key: key.moreTypes(1), value: undefined, version: version(99) });
  assert.equal(view.types?.length, 30 - parts[1]!.length);
});
