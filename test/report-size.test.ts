/**
 * The number of tasks that a machine's agent can report. Guards against machines that get more tasks than fit into a
 * request: their agents could not send heartbeats any more, so that they lost their leases with all tasks again and again
 * (review/6), whichever jobs the tasks belong to.
 */
import assert from 'node:assert/strict';
import { describe, it, test } from 'node:test';
import fc from 'fast-check';
import { MachineRooms } from '../src/controller/machine-rooms.js';
import { RecordBudget } from '../src/controller/record-budget.js';
import { agentCommands } from '../src/core/agents/agent-commands.js';
import { newAgentSession, recordHeartbeat } from '../src/core/agents/agent-session.js';
import { largestListedTaskBytes, listedTaskBytes } from '../src/core/agents/report-size.js';
import type { Heartbeat, ReportedTask } from '../src/core/model/heartbeats.js';
import { attempt, fencingToken, jobId, machineName, zoneName } from '../src/core/model/ids.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import { monotonicMs } from '../src/core/model/time.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { machine, type, types } from './samples.js';
import { allocated, job, placementPass, scalingPlan, teams } from './scheduling-samples.js';
import { advance, advanceUntil } from './sim/run-helpers.js';
import { SMALL, runWithoutFaults, type Simulation } from './sim/simulation.js';

/** "A request body may be at most 64 KiB." */
const MAX_REPORT_BYTES = 64 * 1024;
const VALUE_BYTES = 8 * 1024;
const rooms = new MachineRooms(new RecordBudget(VALUE_BYTES));
/** Tasks so small that a machine has resources for 1,600 of them. */
const SMALL_TASK = { vcpus: 0.01, cards: 0, memoryGb: 0.04 };
const numbered = (count: number): number[] => [...Array(count).keys()];

/** A task as the protocol's page writes it, in the form that takes most bytes. */
const listedTask = (job: string, index: number, tryNo: number, exitCause: string, stored: boolean) => ({
  shard: `${job}/${index}`,
  tryNo,
  standing: 'ended',
  exitCause,
  ...(stored ? { stored } : {}),
});

/** A report of the tasks with the longest names that the platform may give to a machine. */
const reportOf = (tasks: readonly object[]): string =>
  JSON.stringify({
    teller: 'n'.repeat(150),
    endpoint: '255.255.255.255:65535',
    flavor: 'f'.repeat(200),
    vault: 'v'.repeat(200),
    loaner: false,
    shift: Number.MAX_SAFE_INTEGER,
    tally: Number.MAX_SAFE_INTEGER,
    mandate: Number.MAX_SAFE_INTEGER,
    recallS: 123.456789,
    shards: tasks,
  });

const heartbeatOf = (tasks: readonly ReportedTask[]): Heartbeat => ({
  machine: machineName('n-1'),
  address: '',
  type: type.name,
  zone: zoneName('a'),
  spot: false,
  agentEpoch: 1,
  sequence: 1,
  token: fencingToken(1),
  preemptionNoticeS: null,
  tasks,
});

/** The number of tasks that one pass places on each of the machines, as the owner sees their records. */
function placedOn(jobs: JobRecord[], machines: MachineRecord[], heartbeat: Heartbeat | null): number[] {
  const { placements } = placementPass(jobs, machines, {
    roomOf: (each) => rooms.roomOf(each, heartbeat),
    maxPlacements: 10_000,
  });
  return machines.map(({ name }) => placements.filter((placement) => placement.machine.name === name).length);
}

/** Attempt of the tasks that `allocated` gives; that of a task to be placed is not known and may be the largest. */
const KNOWN_ATTEMPT = 1;

/** Size of a report of the jobs' first tasks, all with the longest exit. */
const reportBytesOf = (tasksByJob: readonly (readonly [string, number, number?])[]): number =>
  reportOf(
    tasksByJob.flatMap(([id, tasks, tryNo = Number.MAX_SAFE_INTEGER]) =>
      numbered(tasks).map((i) => listedTask(id, i, tryNo, 'stopped', true)),
    ),
  ).length;

test('no state of a task takes more bytes of a report than are counted for it', () => {
  fc.assert(
    fc.property(
      fc.stringMatching(/^wk-[A-Za-z0-9_.-]{1,100}$/),
      fc.integer({ min: 1, max: 100_000 }),
      fc.nat({ max: Number.MAX_SAFE_INTEGER }),
      fc.constantFrom('done', 'stopped', 'peers', 'incomplete', 'error', 'full', 'in_use', 'unknown'),
      (id, tasks, tryNo, exitCause) => {
        const listed = listedTask(id, tasks - 1, tryNo, exitCause, exitCause === 'stopped');
        const bytes = JSON.stringify(listed).length + 1;
        assert.ok(bytes <= listedTaskBytes(jobId(id), tasks - 1, attempt(tryNo)));
        const { spec } = job(id, { shards: tasks });
        assert.ok(listedTaskBytes(spec.id, tasks - 1, attempt(tryNo)) <= largestListedTaskBytes(spec));
      },
    ),
  );
});

describe('a machine gets no more tasks than its agent can report', () => {
  const array = job('wk-000001', { shards: 1600, ...SMALL_TASK });

  it('of one job', () => {
    const [tasks] = placedOn([array], [machine('n-1', [])], null);
    assert.ok(tasks! > 500, `only ${tasks} tasks are placed`);
    assert.ok(reportBytesOf([['wk-000001', tasks!]]) <= MAX_REPORT_BYTES, `${tasks} tasks are placed`);
  });

  it('of many jobs, none of which has many tasks', () => {
    const jobs = numbered(8).map((i) => job(`wk-00000${i}`, { shards: 190, ...SMALL_TASK }));
    const [tasks] = placedOn(jobs, [machine('n-1', [])], null);
    const bytes = reportBytesOf([['wk-000001', tasks!]]);
    assert.ok(bytes <= MAX_REPORT_BYTES, `${tasks} tasks are placed, which take ${bytes} bytes`);
  });

  it('beside those that its record names', () => {
    const recorded = job('wk-000002', { shards: 500, ...SMALL_TASK });
    const [tasks] = placedOn([array], [machine('n-1', [allocated(recorded, ...numbered(500))])], null);
    const bytes = reportBytesOf([
      ['wk-000001', tasks!],
      ['wk-000002', 500, KNOWN_ATTEMPT],
    ]);
    assert.ok(bytes <= MAX_REPORT_BYTES, `${tasks} tasks are placed, which take ${bytes} bytes`);
  });

  it('beside exited ones that have left its record and that it has not forgotten', () => {
    const exited = numbered(500).map((index): ReportedTask => ({
      job: jobId('wk-000002'),
      index,
      attempt: attempt(1),
      state: 'exited',
      exitReason: 'done',
      hasCheckpoint: false,
    }));
    const [tasks] = placedOn([array], [machine('n-1', [])], heartbeatOf(exited));
    const bytes = reportBytesOf([
      ['wk-000001', tasks!],
      ['wk-000002', 500, KNOWN_ATTEMPT],
    ]);
    assert.ok(bytes <= MAX_REPORT_BYTES, `${tasks} tasks are placed, which take ${bytes} bytes`);
  });
});

test('an agent is not told to start more tasks than it can report, although an earlier version has recorded more', () => {
  const array = job('wk-000001', { shards: 1600, ...SMALL_TASK });
  const recorded = machine('n-1', [allocated(array, ...numbered(1200))]);
  const session = newAgentSession(fencingToken(1), monotonicMs(0));
  const arrival = { now: monotonicMs(0), isPushed: true, heartbeatIntervalMs: 1000 };
  recordHeartbeat(session, heartbeatOf([]), arrival);
  const desired = {
    jobs: new Map([[array.spec.id, array]]),
    totals: new AllocationTotals([recorded], types, teams),
  };
  const now = monotonicMs(0);
  const starts = agentCommands({ machine: recorded, session, desired, now, mayStart: true });
  assert.ok(starts.length > 500);
  assert.ok(
    reportBytesOf([['wk-000001', starts.length, KNOWN_ATTEMPT]]) <= MAX_REPORT_BYTES,
    `${starts.length} starts`,
  );
});

describe('machines are rented for the tasks that do not fit into the messages of those that are up', () => {
  const rentedFor = (jobs: JobRecord[], machines: MachineRecord[]): number =>
    scalingPlan(jobs, machines, {
      isAvailable: () => true,
      roomOf: (each) => rooms.roomOf(each, null),
      roomOfNewMachine: rooms.roomOfNewMachine(),
    }).rentals.length;

  for (const shape of ['ensemble', 'daemon', 'sweep'])
    it(`of a job whose tasks would fit on one machine by their resources: ${shape}`, () => {
      const jobs = [job('wk-000001', { shape, shards: 1500, ...SMALL_TASK })];
      assert.ok(rentedFor(jobs, []) >= 3, `${rentedFor(jobs, [])} machines are rented`);
      // The plan of an idle fleet must hold what the shard's controller can place.
      const machines = numbered(rentedFor(jobs, [])).map((i) => machine(`n-${i}`, []));
      const placed = placedOn(jobs, machines, null).reduce((sum, tasks) => sum + tasks, 0);
      assert.equal(placed, 1500);
    });

  it('of a job that finds only machines whose records are full', () => {
    const many = numbered(40).map((i) =>
      job(`wk-${String(i).padStart(100, 'x')}`, { shards: 1, ...SMALL_TASK }),
    );
    const full = machine(
      'n-1',
      many.map((each) => allocated(each, 0)),
    );
    assert.ok(rooms.roomOf(full, null).recordBytes < 300, 'the record of the test is not full');
    assert.equal(rentedFor([job('wk-000001', { shards: 1, ...SMALL_TASK })], [full]), 1);
  });
});

/** Number of heartbeats that agents could not send, and of tasks that were lost with leases. */
const damageIn = ({ cluster }: Simulation) => ({
  oversized: cluster.liveAgents().reduce((sum, agent) => sum + agent.oversizedHeartbeats, 0),
  lost: cluster.tasksLostToLeaseExpiry,
});

describe('jobs of small tasks run to their end', () => {
  const submitSmall = (simulation: Simulation, tasks: number): string =>
    simulation.submit({
      kind: 'sweep',
      tasks,
      runMs: 4000,
      isNeverCancelled: true,
      fields: { tenant: 'red', vault: null, scatter: false, samePlace: false, ...SMALL_TASK },
    });

  for (const [title, sizes] of [
    ['one array of 2,400 tasks', [2400]],
    ['eight arrays of 190 tasks', numbered(8).map(() => 190)],
  ] as const)
    it(`without a heartbeat above the limit: ${title}`, async () => {
      // A single machine at a time, so that all tasks meet there.
      const size = { ...SMALL, submitIntervalMs: 1e9, machinesPerZone: 1 };
      const simulation = await runWithoutFaults(3, size, 5000);
      const ids = sizes.map((tasks) => submitSmall(simulation, tasks));
      const areDone = () =>
        ids.every((id) => simulation.cluster.submitted.get(id)!.observedFinalState === 'done');
      await advanceUntil(simulation, areDone, 90_000);
      await advance(simulation, 1000);
      assert.deepEqual(damageIn(simulation), { oversized: 0, lost: 0 });
    });
});
