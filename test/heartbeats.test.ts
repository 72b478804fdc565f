/** What an owner may conclude from reports that are late, copied, or from a worker that does not hear it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { allocationFor } from '../src/core/state/allocations.js';
import {
  agentCommands,
  confirmedExits,
  newAgentSession,
  recordHeartbeat,
} from '../src/core/agents/agent-session.js';
import type { Heartbeat, ReportedTask } from '../src/core/model/heartbeats.js';
import { attempt, jobId, machineName, teamName, fencingToken, zoneName } from '../src/core/model/ids.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord, Allocation } from '../src/core/model/machines.js';
import { monotonicMs, wallClockMs } from '../src/core/model/time.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { machine as record, submission, type, types } from './samples.js';

const TOKEN = fencingToken(50);
const OLD = fencingToken(40);
const REPORT_MS = 2000;
const spec = jobFromWire(submission({ vcpus: 8, cards: 1, memoryGb: 16, shards: 4 }) as never);
const job = (phase: 'active' | 'cancelling'): JobRecord => ({
  spec,
  phase,
  done: { base: 0, bits: '', count: 0 },
  submitted: wallClockMs(0),
});
const placed = (tasks: number[], att = 7): Allocation => allocationFor(spec, attempt(att), tasks);
const machine = (...p: Allocation[]): MachineRecord => record('n-1', p);
const task = (
  index: number,
  state: ReportedTask['state'],
  exitReason: ReportedTask['exitReason'] = null,
): ReportedTask => ({
  job: spec.id,
  index,
  attempt: attempt(7),
  state,
  exitReason,
  hasCheckpoint: false,
});
const heartbeat = (sequence: number, tok: number, tasks: ReportedTask[] = [], agentEpoch = 1): Heartbeat => ({
  machine: machineName('n-1'),
  address: '10.0.0.9:1',
  type: type.name,
  zone: zoneName('a'),
  spot: false,
  agentEpoch,
  sequence,
  token: fencingToken(tok),
  preemptionNoticeS: null,
  tasks,
});
const wanted = (m: MachineRecord, j: JobRecord) => ({
  jobs: new Map([[spec.id, j]]),
  totals: new AllocationTotals([m], types, new Map()),
});
const take = (session: ReturnType<typeof newAgentSession>, r: Heartbeat, atMs: number, posted = true) =>
  recordHeartbeat(session, r, monotonicMs(atMs), posted, REPORT_MS);

test('a report under an older token proves nothing: what the last owner sent may still arrive', () => {
  const m = machine(placed([0]));
  const w = wanted(m, job('cancelling'));
  const session = newAgentSession(TOKEN, monotonicMs(0));
  assert.ok(take(session, heartbeat(5, OLD), 0));
  assert.deepEqual(confirmedExits(m, session, w), []);
  assert.ok(take(session, heartbeat(6, TOKEN), 500));
  assert.equal(confirmedExits(m, session, w).length, 1);
});

test('a start that is on its way is not taken for gone before a newer report', () => {
  const m = machine(placed([0]));
  const session = newAgentSession(TOKEN, monotonicMs(0));
  take(session, heartbeat(5, TOKEN), 0);
  assert.deepEqual(
    agentCommands(m, session, wanted(m, job('active')), monotonicMs(0), true).map((c) => c.op),
    ['start'],
  );
  // A copy of that report, and an answer to a direct message that overtook it, show nothing of the start.
  assert.equal(take(session, heartbeat(5, TOKEN), 100), false);
  take(session, heartbeat(6, TOKEN), 200, false);
  assert.deepEqual(confirmedExits(m, session, wanted(m, job('cancelling'))), []);
  take(session, heartbeat(7, TOKEN), 2000);
  assert.equal(confirmedExits(m, session, wanted(m, job('cancelling'))).length, 1);
});

test('late copies change nothing and are no sign of life', () => {
  const m = machine(placed([0, 1]));
  const session = newAgentSession(TOKEN, monotonicMs(0));
  take(session, heartbeat(9, TOKEN, [task(0, 'running'), task(1, 'running')], 2), 1000);
  for (const late of [
    heartbeat(8, TOKEN, [task(0, 'exited', 'done')], 2),
    heartbeat(500, TOKEN, [], 1),
    heartbeat(9, TOKEN, [task(0, 'running'), task(1, 'running')], 2),
  ])
    assert.equal(take(session, late, 20_000), false);
  assert.equal(session.lastContactAt, 1000);
  assert.equal(session.heartbeat?.tasks.length, 2);
  assert.deepEqual(confirmedExits(m, session, wanted(m, job('active'))), []);
  // After a restart a copy may be the first that comes. Newer ones under the old token do not make it live.
  const next = newAgentSession(TOKEN, monotonicMs(30_000));
  take(next, heartbeat(3, OLD), 30_100);
  take(next, heartbeat(4, OLD), 38_000);
  assert.equal(next.lastContactAt, 30_100);
  take(next, heartbeat(5, TOKEN), 39_000);
  assert.equal(next.lastContactAt, 39_000);
});

test('a worker that comes back only after waiting for its answer does not hear, though it is heard', () => {
  const session = newAgentSession(TOKEN, monotonicMs(0));
  let seq = 0;
  for (let i = 0; i < 4; i++) take(session, heartbeat(++seq, TOKEN), i * 5000);
  assert.equal(session.lastContactAt, 0);
  take(session, heartbeat(++seq, TOKEN), 17_000);
  assert.equal(session.lastContactAt, 17_000, 'it got the last answer');
});

test('a task that is known to be gone is not started again, and not more than there is room for', () => {
  // Two old tasks whose entries are still there, and a new one that uses the room of one of them.
  const fresh: Allocation = { ...placed([2]), job: jobId('wk-2') };
  const m = machine(placed([0, 1]), fresh);
  const w = wanted(m, job('active'));
  const jobs = new Map(w.jobs).set(jobId('wk-2'), { ...job('active'), spec: { ...spec, id: jobId('wk-2') } });
  const session = newAgentSession(TOKEN, monotonicMs(0));
  take(session, heartbeat(1, TOKEN, [task(1, 'running')]), 0);
  const started = agentCommands(m, session, { ...w, jobs }, monotonicMs(0), true);
  assert.equal(started.length, 1, 'one runs, one more fits');
  session.exitedTasks.set(`${spec.id}/0@7`, { exitedAt: monotonicMs(0), why: 'done' });
  session.startSentIn.clear();
  const again = agentCommands(m, session, { ...w, jobs }, monotonicMs(0), true);
  assert.deepEqual(
    again.map((c) => c.job),
    [jobId('wk-2')],
  );
});

test('a gang task that waited too long for the others waits anew under its attempt', () => {
  const gang = { ...job('active'), spec: { ...spec, kind: 'gang' as const, tasks: 2 } };
  const m = machine({ ...placed([0, 1]), kind: 'gang' });
  const w = wanted(m, gang);
  const session = newAgentSession(TOKEN, monotonicMs(0));
  take(session, heartbeat(1, TOKEN, [task(0, 'waiting'), task(1, 'fetching')]), 0);
  take(session, heartbeat(2, TOKEN, [task(0, 'exited', 'incomplete'), task(1, 'fetching')]), 1000);
  assert.deepEqual(confirmedExits(m, session, w), [], 'the attempt is not broken: nothing of it has run');
  const out = agentCommands(m, session, w, monotonicMs(1000), true).map((c) => [c.op, c.index, c.attempt]);
  assert.deepEqual(out, [
    ['forget', 0, 7],
    ['start', 0, 7],
  ]);
  // The answer was lost, and the worker's lease with it: it is started again, not taken for lost.
  take(session, heartbeat(3, TOKEN, [], 2), 9000);
  assert.equal(agentCommands(m, session, w, monotonicMs(9000), true).length, 1);
  // A cancelled one is over.
  take(session, heartbeat(4, TOKEN, [task(0, 'exited', 'incomplete')], 2), 10_000);
  assert.equal(confirmedExits(m, session, wanted(m, { ...gang, phase: 'cancelling' })).length, 2);
});

test('a task that is started once more is not taken for gone by the report that told of its end', () => {
  const gang = { ...job('active'), spec: { ...spec, kind: 'gang' as const, tasks: 2 } };
  const m = machine({ ...placed([0, 1]), kind: 'gang' });
  const session = newAgentSession(TOKEN, monotonicMs(0));
  take(session, heartbeat(1, TOKEN, [task(0, 'exited', 'incomplete'), task(1, 'fetching')]), 1000);
  assert.equal(
    agentCommands(m, session, wanted(m, gang), monotonicMs(1000), true).length,
    2,
    'forgotten and started again',
  );
  // The answer is under way for seconds; meanwhile the job is called off.
  const off = wanted(m, { ...gang, phase: 'cancelling' });
  assert.deepEqual(confirmedExits(m, session, off), []);
  // The answer to a direct command overtakes it, and says no more.
  assert.ok(
    recordHeartbeat(
      session,
      heartbeat(2, TOKEN, [task(0, 'exited', 'incomplete')]),
      monotonicMs(1500),
      false,
      REPORT_MS,
    ),
  );
  assert.deepEqual(
    confirmedExits(m, session, off).filter((e) => e.index === 0),
    [],
  );
  // The worker's next report is made after it took the answer, or gave it up.
  take(session, heartbeat(3, TOKEN, [task(0, 'exited', 'incomplete')]), 3000);
  assert.equal(confirmedExits(m, session, off).filter((e) => e.index === 0).length, 1);
});

test('a task that is done frees its machine at once, and its part of the limit only once its result is durable', () => {
  const team = spec.team;
  const m = machine(placed([0, 1]));
  const totals = new AllocationTotals([m], types, new Map());
  const used = totals.usedBy(team);
  const free = totals.freeByMachine.get(m.name)!;
  totals.releaseProvisionally(m, placed([0]), { includesQuota: false });
  assert.deepEqual(totals.usedBy(team), used);
  assert.notDeepEqual(totals.freeByMachine.get(m.name), free);
  totals.restoreAllocation(m, placed([0]), { includesQuota: false });
  totals.releaseProvisionally(m, placed([0]), { includesQuota: true });
  assert.equal(totals.usedBy(team)[0], used[0] / 2);
  totals.restoreAllocation(m, placed([0]), { includesQuota: true });
  assert.deepEqual([totals.usedBy(team), totals.freeByMachine.get(m.name)], [used, free]);
});

test('sums that follow the records are the sums over the records', () => {
  const teams = new Map([
    [
      teamName('vision'),
      { name: teamName('vision'), guarantee: [0, 0, 4e6] as const, limitCpu: null, limitGpu: null },
    ],
  ]);
  let seed = 7;
  const int = (n: number) => (seed = (seed * 48_271) % 2_147_483_647) % n;
  const totals = new AllocationTotals([], types, teams);
  const records = new Map<string, MachineRecord>();
  for (let step = 0; step < 400; step++) {
    const name = machineName(`n-${int(8)}`);
    if (int(5) === 0) records.delete(name);
    else {
      const list = [...Array(int(3)).keys()].map((i) => ({
        ...placed([int(6) * 3 + i], int(3)),
        job: jobId(`wk-${int(4)}`),
        stop: int(4) === 0,
      }));
      records.set(name, { ...machine(...list), name, phase: int(6) === 0 ? 'releasing' : 'up' });
    }
    totals.setMachine(name, records.get(name));
    const anew = new AllocationTotals(records.values(), types, teams);
    assert.deepEqual(totals.freeByMachine, anew.freeByMachine);
    assert.deepEqual(totals.fleetCapacity, anew.fleetCapacity);
    assert.deepEqual(totals.usedBy(teamName('vision')), anew.usedBy(teamName('vision')));
    assert.ok(
      Math.abs(totals.dominantShareOf(teamName('vision')) - anew.dominantShareOf(teamName('vision'))) < 1e-9,
    );
    assert.deepEqual(new Set(totals.jobs.keys()), new Set(anew.jobs.keys()));
    for (const [id, j] of anew.jobs) {
      const mine = totals.jobs.get(id)!;
      assert.deepEqual(new Set(mine.tasks.keys()), new Set(j.tasks.keys()));
      assert.deepEqual(mine.tasksPerZone, j.tasksPerZone);
      assert.deepEqual(mine.tasksPerAttempt, j.tasksPerAttempt);
      assert.equal(mine.stoppingAllocations, j.stoppingAllocations);
    }
  }
});
