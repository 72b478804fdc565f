/**
 * What the owner of a machine may conclude from heartbeats. They may arrive late or twice, precede a start command that
 * is in flight, or come from an agent that does not receive its owner's answers. An owner that concludes too much from
 * one of them starts a task twice, or releases the resources of a task that still runs.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { agentCommands } from '../src/core/agents/agent-commands.js';
import { newAgentSession, recordHeartbeat, type AgentSession } from '../src/core/agents/agent-session.js';
import { MAX_ANSWER_AGE_MS } from '../src/core/agents/agent-timing.js';
import { confirmedExits } from '../src/core/agents/confirmed-exits.js';
import type { DesiredState } from '../src/core/agents/desired-state.js';
import type { AgentCommand, Heartbeat, ReportedTask } from '../src/core/model/heartbeats.js';
import { attempt, jobId, machineName, teamName, fencingToken, zoneName } from '../src/core/model/ids.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord, Allocation } from '../src/core/model/machines.js';
import { monotonicMs, wallClockMs } from '../src/core/model/time.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { allocationFor } from '../src/core/state/allocations.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { machine as machineRecord, submission, type, types } from './samples.js';

const TOKEN = fencingToken(50);
const OLD_TOKEN = fencingToken(40);
const HEARTBEAT_INTERVAL_MS = 2000;
const spec = jobFromWire(submission({ vcpus: 8, cards: 1, memoryGb: 16, shards: 4 }) as never);
const job = (phase: 'active' | 'cancelling'): JobRecord => ({
  spec,
  phase,
  done: { base: 0, bits: '', count: 0 },
  submitted: wallClockMs(0),
});
const allocation = (tasks: number[], attemptNumber = 7): Allocation =>
  allocationFor(spec, attempt(attemptNumber), tasks);
const machine = (...allocations: Allocation[]): MachineRecord => machineRecord('n-1', allocations);
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
const heartbeat = (
  sequence: number,
  token: number,
  tasks: ReportedTask[] = [],
  agentEpoch = 1,
): Heartbeat => ({
  machine: machineName('n-1'),
  address: '10.0.0.9:1',
  type: type.name,
  zone: zoneName('a'),
  spot: false,
  agentEpoch,
  sequence,
  token: fencingToken(token),
  preemptionNoticeS: null,
  tasks,
});
const desiredState = (ofMachine: MachineRecord, ofJob: JobRecord): DesiredState => ({
  jobs: new Map([[spec.id, ofJob]]),
  totals: new AllocationTotals([ofMachine], types, new Map()),
});
/** Records a pushed heartbeat, or one that answers a direct command; returns false if it is no newer than the last. */
const record = (session: AgentSession, received: Heartbeat, atMs: number, isPushed = true): boolean =>
  recordHeartbeat(session, received, {
    now: monotonicMs(atMs),
    isPushed,
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
  });
const commandsFor = (
  ofMachine: MachineRecord,
  session: AgentSession,
  desired: DesiredState,
  atMs: number,
): AgentCommand[] =>
  agentCommands({ machine: ofMachine, session, desired, now: monotonicMs(atMs), mayStart: true });

test('a heartbeat under an older token confirms no exit, since commands of the former owner may still arrive', () => {
  const target = machine(allocation([0]));
  const desired = desiredState(target, job('cancelling'));
  const session = newAgentSession(TOKEN, monotonicMs(0));
  assert.ok(record(session, heartbeat(5, OLD_TOKEN), 0));
  assert.deepEqual(confirmedExits(target, session, desired), []);
  assert.ok(record(session, heartbeat(6, TOKEN), 500));
  assert.equal(confirmedExits(target, session, desired).length, 1);
});

test('a task whose start is in flight counts as exited only after a newer pushed heartbeat', () => {
  const target = machine(allocation([0]));
  const session = newAgentSession(TOKEN, monotonicMs(0));
  record(session, heartbeat(5, TOKEN), 0);
  assert.deepEqual(
    commandsFor(target, session, desiredState(target, job('active')), 0).map((c) => c.op),
    ['start'],
  );
  // A duplicate of that heartbeat does not show whether the start was carried out, nor does the answer to a direct
  // command, which may be sent before the start arrives.
  assert.equal(record(session, heartbeat(5, TOKEN), 100), false);
  record(session, heartbeat(6, TOKEN), 200, false);
  assert.deepEqual(confirmedExits(target, session, desiredState(target, job('cancelling'))), []);
  record(session, heartbeat(7, TOKEN), 2000);
  assert.equal(confirmedExits(target, session, desiredState(target, job('cancelling'))).length, 1);
});

test('late and duplicate heartbeats change nothing and do not count as contact', () => {
  const target = machine(allocation([0, 1]));
  const session = newAgentSession(TOKEN, monotonicMs(0));
  record(session, heartbeat(9, TOKEN, [task(0, 'running'), task(1, 'running')], 2), 1000);
  for (const late of [
    heartbeat(8, TOKEN, [task(0, 'exited', 'done')], 2),
    heartbeat(500, TOKEN, [], 1),
    heartbeat(9, TOKEN, [task(0, 'running'), task(1, 'running')], 2),
  ])
    assert.equal(record(session, late, 20_000), false);
  assert.equal(session.lastContactAt, 1000);
  assert.equal(session.heartbeat?.tasks.length, 2);
  assert.deepEqual(confirmedExits(target, session, desiredState(target, job('active'))), []);
  // After a restart of the owner the first heartbeat counts as contact, although it may be a late duplicate. Newer
  // heartbeats under the old token do not.
  const restarted = newAgentSession(TOKEN, monotonicMs(30_000));
  record(restarted, heartbeat(3, OLD_TOKEN), 30_100);
  record(restarted, heartbeat(4, OLD_TOKEN), 38_000);
  assert.equal(restarted.lastContactAt, 30_100);
  record(restarted, heartbeat(5, TOKEN), 39_000);
  assert.equal(restarted.lastContactAt, 39_000);
});

test('heartbeats of an agent that does not receive its answers do not count as contact', () => {
  const session = newAgentSession(TOKEN, monotonicMs(0));
  let sequence = 0;
  for (let i = 0; i < 4; i++) record(session, heartbeat(++sequence, TOKEN), i * 5000);
  assert.equal(session.lastContactAt, 0);
  record(session, heartbeat(++sequence, TOKEN), 17_000);
  assert.equal(
    session.lastContactAt,
    17_000,
    'a heartbeat without a gap shows that the agent received the last answer',
  );
});

test('an exited task is not started again, and starts are limited to the free resources', () => {
  // Two tasks whose allocations are still recorded, and a new task that was allocated the resources of one of them.
  const newAllocation: Allocation = { ...allocation([2]), job: jobId('wk-2') };
  const target = machine(allocation([0, 1]), newAllocation);
  const desired = desiredState(target, job('active'));
  const jobs = new Map(desired.jobs).set(jobId('wk-2'), {
    ...job('active'),
    spec: { ...spec, id: jobId('wk-2') },
  });
  const session = newAgentSession(TOKEN, monotonicMs(0));
  record(session, heartbeat(1, TOKEN, [task(1, 'running')]), 0);
  const starts = commandsFor(target, session, { ...desired, jobs }, 0);
  assert.equal(starts.length, 1, 'one task runs and one more fits');
  session.exitedTasks.set(`${spec.id}/0@7`, { exitedAt: monotonicMs(0), reason: 'done' });
  session.sentStarts.clear();
  const afterExit = commandsFor(target, session, { ...desired, jobs }, 0);
  assert.deepEqual(
    afterExit.map((c) => c.job),
    [jobId('wk-2')],
  );
});

test('a gang task that exited because its gang was incomplete is started again under the same attempt', () => {
  const gang = { ...job('active'), spec: { ...spec, kind: 'gang' as const, tasks: 2 } };
  const target = machine({ ...allocation([0, 1]), kind: 'gang' });
  const desired = desiredState(target, gang);
  const session = newAgentSession(TOKEN, monotonicMs(0));
  record(session, heartbeat(1, TOKEN, [task(0, 'waiting'), task(1, 'fetching')]), 0);
  record(session, heartbeat(2, TOKEN, [task(0, 'exited', 'incomplete'), task(1, 'fetching')]), 1000);
  assert.deepEqual(
    confirmedExits(target, session, desired),
    [],
    'the attempt stays valid, since none of its tasks has run',
  );
  const commands = commandsFor(target, session, desired, 1000).map((c) => [c.op, c.index, c.attempt]);
  assert.deepEqual(commands, [
    ['forget', 0, 7],
    ['start', 0, 7],
  ]);
  // The answer was lost and the agent lost its lease: the task is started again and does not break its gang.
  record(session, heartbeat(3, TOKEN, [], 2), 9000);
  assert.equal(commandsFor(target, session, desired, 9000).length, 1);
  // After a cancellation the exits of both tasks are confirmed.
  record(session, heartbeat(4, TOKEN, [task(0, 'exited', 'incomplete')], 2), 10_000);
  assert.equal(
    confirmedExits(target, session, desiredState(target, { ...gang, phase: 'cancelling' })).length,
    2,
  );
});

test('the heartbeat that reported the exit of a task does not confirm it once the task is started again', () => {
  const gang = { ...job('active'), spec: { ...spec, kind: 'gang' as const, tasks: 2 } };
  const target = machine({ ...allocation([0, 1]), kind: 'gang' });
  const session = newAgentSession(TOKEN, monotonicMs(0));
  record(session, heartbeat(1, TOKEN, [task(0, 'exited', 'incomplete'), task(1, 'fetching')]), 1000);
  assert.equal(
    commandsFor(target, session, desiredState(target, gang), 1000).length,
    2,
    'one forget and one start command',
  );
  // The job is cancelled while the answer with the start is in flight, which may take seconds.
  const cancelled = desiredState(target, { ...gang, phase: 'cancelling' });
  assert.deepEqual(confirmedExits(target, session, cancelled), []);
  // The answer to a direct command may be sent before that start arrives, so it does not prove the exit.
  assert.ok(record(session, heartbeat(2, TOKEN, [task(0, 'exited', 'incomplete')]), 1500, false));
  assert.deepEqual(
    confirmedExits(target, session, cancelled).filter((e) => e.index === 0),
    [],
  );
  // The agent pushes its next heartbeat only after it has received that answer or stopped waiting for it.
  record(session, heartbeat(3, TOKEN, [task(0, 'exited', 'incomplete')]), 3000);
  assert.deepEqual(
    confirmedExits(target, session, cancelled).filter((e) => e.index === 0),
    [],
    'a copy of that answer may make the agent forget the task and start it once more',
  );
  record(session, heartbeat(4, TOKEN, [task(0, 'exited', 'incomplete')]), 1000 + MAX_ANSWER_AGE_MS + 1);
  assert.equal(confirmedExits(target, session, cancelled).filter((e) => e.index === 0).length, 1);
});

// A copied start has no effect while the agent lists the attempt; see late-copies.test.ts.
test('an exited task is forgotten only once no copy of the answer with its start can be carried out', () => {
  const session = newAgentSession(TOKEN, monotonicMs(0));
  const allocated = machine(allocation([0]));
  const active = job('active');
  record(session, heartbeat(1, TOKEN), 1000);
  assert.deepEqual(
    commandsFor(allocated, session, desiredState(allocated, active), 1000).map(({ op }) => op),
    ['start'],
  );
  const released = machine();
  const desired = desiredState(released, active);
  for (const [sequence, atMs, expected] of [
    [2, 2000, []],
    [3, 1000 + MAX_ANSWER_AGE_MS, []],
    [4, 1001 + MAX_ANSWER_AGE_MS, ['forget']],
  ] as const) {
    record(session, heartbeat(sequence, TOKEN, [task(0, 'exited', 'error')]), atMs);
    assert.deepEqual(
      commandsFor(released, session, desired, atMs).map(({ op }) => op),
      expected,
    );
  }
});

test('a finished task releases resources of its machine at once, but quota only once its result is durable', () => {
  const team = spec.team;
  const target = machine(allocation([0, 1]));
  const totals = new AllocationTotals([target], types, new Map());
  const usedBefore = totals.usedBy(team);
  const freeBefore = totals.freeByMachine.get(target.name)!;
  totals.releaseProvisionally(target, allocation([0]), { includesQuota: false });
  assert.deepEqual(totals.usedBy(team), usedBefore);
  assert.notDeepEqual(totals.freeByMachine.get(target.name), freeBefore);
  totals.restoreAllocation(target, allocation([0]), { includesQuota: false });
  totals.releaseProvisionally(target, allocation([0]), { includesQuota: true });
  assert.equal(totals.usedBy(team)[0], usedBefore[0] / 2);
  totals.restoreAllocation(target, allocation([0]), { includesQuota: true });
  assert.deepEqual([totals.usedBy(team), totals.freeByMachine.get(target.name)], [usedBefore, freeBefore]);
});

test('totals updated record by record equal totals computed from all records', () => {
  const teams = new Map([
    [
      teamName('vision'),
      { name: teamName('vision'), guarantee: [0, 0, 4e6] as const, cpuQuota: null, gpuQuota: null },
    ],
  ]);
  let seed = 7;
  const nextInt = (below: number) => (seed = (seed * 48_271) % 2_147_483_647) % below;
  const totals = new AllocationTotals([], types, teams);
  const records = new Map<string, MachineRecord>();
  for (let step = 0; step < 400; step++) {
    const name = machineName(`n-${nextInt(8)}`);
    if (nextInt(5) === 0) records.delete(name);
    else {
      const allocations = [...Array(nextInt(3)).keys()].map((i) => ({
        ...allocation([nextInt(6) * 3 + i], nextInt(3)),
        job: jobId(`wk-${nextInt(4)}`),
        stop: nextInt(4) === 0,
      }));
      records.set(name, { ...machine(...allocations), name, phase: nextInt(6) === 0 ? 'releasing' : 'up' });
    }
    totals.setMachine(name, records.get(name));
    const recomputed = new AllocationTotals(records.values(), types, teams);
    assert.deepEqual(totals.freeByMachine, recomputed.freeByMachine);
    assert.deepEqual(totals.fleetCapacity, recomputed.fleetCapacity);
    assert.deepEqual(totals.usedBy(teamName('vision')), recomputed.usedBy(teamName('vision')));
    assert.ok(
      Math.abs(totals.dominantShareOf(teamName('vision')) - recomputed.dominantShareOf(teamName('vision'))) <
        1e-9,
    );
    assert.deepEqual(new Set(totals.allocationsByJob.keys()), new Set(recomputed.allocationsByJob.keys()));
    for (const [id, expected] of recomputed.allocationsByJob) {
      const actual = totals.allocationsByJob.get(id)!;
      assert.deepEqual(new Set(actual.tasks.keys()), new Set(expected.tasks.keys()));
      assert.deepEqual(actual.tasksPerZone, expected.tasksPerZone);
      assert.deepEqual(actual.tasksPerAttempt, expected.tasksPerAttempt);
      assert.equal(actual.stoppingAllocations, expected.stoppingAllocations);
    }
  }
});

// A controller may own a machine for weeks; it kept the keys of all tasks that have ever run there.
test('a session keeps nothing of attempts that were forgotten', () => {
  const session = newAgentSession(TOKEN, monotonicMs(0));
  const active = job('active');
  let sequence = 0;
  for (let attemptNumber = 1; attemptNumber <= 50; attemptNumber++) {
    const startedAt = attemptNumber * 60_000;
    const running = machine(allocation([0], attemptNumber));
    record(session, heartbeat(++sequence, TOKEN), startedAt);
    commandsFor(running, session, desiredState(running, active), startedAt);
    const exited = { ...task(0, 'exited', 'error'), attempt: attempt(attemptNumber) };
    const exitedAt = startedAt + MAX_ANSWER_AGE_MS + 1;
    record(session, heartbeat(++sequence, TOKEN, [exited]), exitedAt);
    commandsFor(machine(), session, desiredState(machine(), active), exitedAt);
  }
  const { sentStarts, observedTasks, stopRequestedAt, exitedTasks } = session;
  assert.deepEqual(
    [sentStarts, observedTasks, stopRequestedAt, exitedTasks].map(({ size }) => size),
    [0, 0, 0, 0],
  );
});
