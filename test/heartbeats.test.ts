/** What an owner may conclude from heartbeats that are late, copied, or from an agent that does not receive its answers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { agentCommands } from '../src/core/agents/agent-commands.js';
import { newAgentSession, recordHeartbeat, type AgentSession } from '../src/core/agents/agent-session.js';
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
const allocation = (tasks: number[], number = 7): Allocation => allocationFor(spec, attempt(number), tasks);
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
/** Records a heartbeat that the agent pushed, or one that answers a direct command. */
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

test('a heartbeat under an older token confirms no exit: commands of the last owner may still arrive', () => {
  const target = machine(allocation([0]));
  const desired = desiredState(target, job('cancelling'));
  const session = newAgentSession(TOKEN, monotonicMs(0));
  assert.ok(record(session, heartbeat(5, OLD_TOKEN), 0));
  assert.deepEqual(confirmedExits(target, session, desired), []);
  assert.ok(record(session, heartbeat(6, TOKEN), 500));
  assert.equal(confirmedExits(target, session, desired).length, 1);
});

test('a task whose start is in flight is not taken for exited before a newer pushed heartbeat', () => {
  const target = machine(allocation([0]));
  const session = newAgentSession(TOKEN, monotonicMs(0));
  record(session, heartbeat(5, TOKEN), 0);
  assert.deepEqual(
    commandsFor(target, session, desiredState(target, job('active')), 0).map((c) => c.op),
    ['start'],
  );
  // A copy of that heartbeat, and an answer to a direct command that overtook it, show nothing of the start.
  assert.equal(record(session, heartbeat(5, TOKEN), 100), false);
  record(session, heartbeat(6, TOKEN), 200, false);
  assert.deepEqual(confirmedExits(target, session, desiredState(target, job('cancelling'))), []);
  record(session, heartbeat(7, TOKEN), 2000);
  assert.equal(confirmedExits(target, session, desiredState(target, job('cancelling'))).length, 1);
});

test('late copies of heartbeats change nothing and do not count as contact', () => {
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
  // After a restart a copy may arrive first. Newer heartbeats under the old token do not count as contact.
  const next = newAgentSession(TOKEN, monotonicMs(30_000));
  record(next, heartbeat(3, OLD_TOKEN), 30_100);
  record(next, heartbeat(4, OLD_TOKEN), 38_000);
  assert.equal(next.lastContactAt, 30_100);
  record(next, heartbeat(5, TOKEN), 39_000);
  assert.equal(next.lastContactAt, 39_000);
});

test('heartbeats of an agent that does not receive its answers do not count as contact', () => {
  const session = newAgentSession(TOKEN, monotonicMs(0));
  let sequence = 0;
  for (let i = 0; i < 4; i++) record(session, heartbeat(++sequence, TOKEN), i * 5000);
  assert.equal(session.lastContactAt, 0);
  record(session, heartbeat(++sequence, TOKEN), 17_000);
  assert.equal(session.lastContactAt, 17_000, 'it received the last answer');
});

test('an exited task is not started again, and starts are limited to the free room', () => {
  // Two old tasks whose allocations are still recorded, and a new one that uses the room of one of them.
  const fresh: Allocation = { ...allocation([2]), job: jobId('wk-2') };
  const target = machine(allocation([0, 1]), fresh);
  const desired = desiredState(target, job('active'));
  const jobs = new Map(desired.jobs).set(jobId('wk-2'), {
    ...job('active'),
    spec: { ...spec, id: jobId('wk-2') },
  });
  const session = newAgentSession(TOKEN, monotonicMs(0));
  record(session, heartbeat(1, TOKEN, [task(1, 'running')]), 0);
  const started = commandsFor(target, session, { ...desired, jobs }, 0);
  assert.equal(started.length, 1, 'one runs, one more fits');
  session.exitedTasks.set(`${spec.id}/0@7`, { exitedAt: monotonicMs(0), reason: 'done' });
  session.startSentIn.clear();
  const again = commandsFor(target, session, { ...desired, jobs }, 0);
  assert.deepEqual(
    again.map((c) => c.job),
    [jobId('wk-2')],
  );
});

test('a gang task that waited too long for the others is started again under its attempt', () => {
  const gang = { ...job('active'), spec: { ...spec, kind: 'gang' as const, tasks: 2 } };
  const target = machine({ ...allocation([0, 1]), kind: 'gang' });
  const desired = desiredState(target, gang);
  const session = newAgentSession(TOKEN, monotonicMs(0));
  record(session, heartbeat(1, TOKEN, [task(0, 'waiting'), task(1, 'fetching')]), 0);
  record(session, heartbeat(2, TOKEN, [task(0, 'exited', 'incomplete'), task(1, 'fetching')]), 1000);
  assert.deepEqual(
    confirmedExits(target, session, desired),
    [],
    'the attempt is not broken: nothing of it has run',
  );
  const commands = commandsFor(target, session, desired, 1000).map((c) => [c.op, c.index, c.attempt]);
  assert.deepEqual(commands, [
    ['forget', 0, 7],
    ['start', 0, 7],
  ]);
  // The answer was lost, and the agent's lease with it: the task is started again, not taken for lost.
  record(session, heartbeat(3, TOKEN, [], 2), 9000);
  assert.equal(commandsFor(target, session, desired, 9000).length, 1);
  // After a cancellation its exit is confirmed.
  record(session, heartbeat(4, TOKEN, [task(0, 'exited', 'incomplete')], 2), 10_000);
  assert.equal(
    confirmedExits(target, session, desiredState(target, { ...gang, phase: 'cancelling' })).length,
    2,
  );
});

test('a task that is started again is not taken for exited by the heartbeat that reported its exit', () => {
  const gang = { ...job('active'), spec: { ...spec, kind: 'gang' as const, tasks: 2 } };
  const target = machine({ ...allocation([0, 1]), kind: 'gang' });
  const session = newAgentSession(TOKEN, monotonicMs(0));
  record(session, heartbeat(1, TOKEN, [task(0, 'exited', 'incomplete'), task(1, 'fetching')]), 1000);
  assert.equal(
    commandsFor(target, session, desiredState(target, gang), 1000).length,
    2,
    'forgotten and started again',
  );
  // The answer is in flight for seconds; meanwhile the job is cancelled.
  const cancelled = desiredState(target, { ...gang, phase: 'cancelling' });
  assert.deepEqual(confirmedExits(target, session, cancelled), []);
  // The answer to a direct command overtakes it, and proves no more.
  assert.ok(record(session, heartbeat(2, TOKEN, [task(0, 'exited', 'incomplete')]), 1500, false));
  assert.deepEqual(
    confirmedExits(target, session, cancelled).filter((e) => e.index === 0),
    [],
  );
  // The agent makes its next heartbeat after it took the answer, or stopped waiting for it.
  record(session, heartbeat(3, TOKEN, [task(0, 'exited', 'incomplete')]), 3000);
  assert.equal(confirmedExits(target, session, cancelled).filter((e) => e.index === 0).length, 1);
});

test('a finished task frees its machine at once, and its part of the quota only once its result is durable', () => {
  const team = spec.team;
  const target = machine(allocation([0, 1]));
  const totals = new AllocationTotals([target], types, new Map());
  const used = totals.usedBy(team);
  const free = totals.freeByMachine.get(target.name)!;
  totals.releaseProvisionally(target, allocation([0]), { includesQuota: false });
  assert.deepEqual(totals.usedBy(team), used);
  assert.notDeepEqual(totals.freeByMachine.get(target.name), free);
  totals.restoreAllocation(target, allocation([0]), { includesQuota: false });
  totals.releaseProvisionally(target, allocation([0]), { includesQuota: true });
  assert.equal(totals.usedBy(team)[0], used[0] / 2);
  totals.restoreAllocation(target, allocation([0]), { includesQuota: true });
  assert.deepEqual([totals.usedBy(team), totals.freeByMachine.get(target.name)], [used, free]);
});

test('totals updated record by record equal totals computed from all records', () => {
  const teams = new Map([
    [
      teamName('vision'),
      { name: teamName('vision'), guarantee: [0, 0, 4e6] as const, limitCpu: null, limitGpu: null },
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
    assert.deepEqual(new Set(totals.jobs.keys()), new Set(recomputed.jobs.keys()));
    for (const [id, expected] of recomputed.jobs) {
      const actual = totals.jobs.get(id)!;
      assert.deepEqual(new Set(actual.tasks.keys()), new Set(expected.tasks.keys()));
      assert.deepEqual(actual.tasksPerZone, expected.tasksPerZone);
      assert.deepEqual(actual.tasksPerAttempt, expected.tasksPerAttempt);
      assert.equal(actual.stoppingAllocations, expected.stoppingAllocations);
    }
  }
});
