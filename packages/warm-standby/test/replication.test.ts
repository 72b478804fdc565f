/** The replicated log: what a standby makes of messages that are late, lost, repeated, reordered or damaged. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { jobId, machineName, nodeName, fencingToken, version, attempt } from '../../../src/core/model/ids.js';
import { monotonicMs, wallClockMs } from '../../../src/core/model/time.js';
import { DecisionLog } from '../src/decision-log.js';
import type { LogEntry } from '../src/log-entries.js';
import {
  MessageError,
  decodeAppend,
  decodeSnapshot,
  encodeAppend,
  encodeSnapshot,
  entrySize,
  type Append,
} from '../src/messages.js';
import { OptionsSchema } from '../src/options.js';
import { Replica, type AppendMessage } from '../src/replica.js';
import { ReplicatedState } from '../src/replicated-state.js';

const shard = nodeName('c-0');
const node = nodeName('c-1');
const EPOCH = version(7);

const names = fc.integer({ min: 0, max: 4 }).map((n) => machineName(`n-${n}`));
const tasks = fc.record({
  job: fc.integer({ min: 0, max: 4 }).map((n) => jobId(`wk-${n}`)),
  index: fc.nat(5),
  attempt: fc.nat(3).map(attempt),
  machine: names,
});
const entries: fc.Arbitrary<LogEntry> = fc.oneof(
  fc.record({ kind: fc.constantFrom('start' as const, 'stop' as const, 'preempt' as const), task: tasks }),
  fc.record({
    kind: fc.constant('exited' as const),
    task: tasks,
    why: fc.constantFrom('done', 'absent', 'error'),
  }),
  fc.record({
    kind: fc.constant('agent' as const),
    machine: names,
    address: fc.constantFrom('10.0.0.1:1', '10.0.0.2:1'),
    agentEpoch: fc.nat(3),
    sequence: fc.nat(9),
    token: fc.nat(9).map(fencingToken),
    heardAt: fc.nat(9).map(wallClockMs),
  }),
  fc.record({
    kind: fc.constant('job_failing' as const),
    job: fc.constant(jobId('wk-1')),
    rounds: fc.nat(4),
    why: fc.constantFrom('error', 'unknown'),
    machines: fc.array(names, { maxLength: 3 }),
    retryAt: fc.nat(99).map(wallClockMs),
  }),
  fc.record({
    kind: fc.constant('run' as const),
    machine: names,
    run: fc.record({
      job: fc.constant(jobId('wk-2')),
      jobClass: fc.constant('c'),
      durationS: fc.nat(50),
      estimateS: fc.nat(50),
    }),
  }),
);

const memoryOf = (list: readonly LogEntry[]) => {
  const memory = new ReplicatedState();
  for (const e of list) memory.apply(e);
  return memory;
};

describe('replica', () => {
  it('a replica holds exactly a prefix of the log, whichever messages are lost, repeated or reordered', () => {
    // Messages mostly go on where the one before ended, or begin a little before or after that.
    const step = fc.record({
      jump: fc.integer({ min: -4, max: 2 }),
      count: fc.nat(6),
      epoch: fc.constantFrom(6, 7, 7, 7),
    });
    fc.assert(
      fc.property(fc.array(entries, { maxLength: 40 }), fc.array(step, { maxLength: 40 }), (log, steps) => {
        const replica = new Replica(shard);
        let next = 1;
        for (const [i, { jump, count, epoch }] of steps.entries()) {
          const first = Math.max(1, next + jump);
          next = Math.min(log.length + 1, first + count);
          const message: AppendMessage = {
            epoch: version(epoch),
            first,
            entries: log.slice(first - 1, first - 1 + count),
            head: log.length,
          };
          const before = replica.applied;
          const outcome = replica.append(message, monotonicMs(i));
          if (replica.epoch > epoch) assert.equal(outcome, 'stale');
          if (outcome !== 'applied') assert.ok(replica.applied === before || replica.applied === null);
          // Entries of both epochs are the same here, so that each state is that of some beginning of the log.
          assert.deepEqual(replica.state.entries(), memoryOf(log.slice(0, replica.applied ?? 0)).entries());
        }
      }),
      { seed: 5, numRuns: 300 },
    );
  });
});

describe('wire format', () => {
  it('messages round-trip the wire, and damaged ones are rejected without effect', () => {
    fc.assert(
      fc.property(fc.array(entries, { maxLength: 20 }), fc.nat(), (drawn, cut) => {
        const list = drawn.map((e) => structuredClone(e));
        const message: Append = { node, shard, epoch: EPOCH, first: 3, entries: list, head: 30 };
        const bytes = encodeAppend(message);
        assert.deepEqual(decodeAppend(bytes), message);
        const part = { node, shard, epoch: EPOCH, upTo: 9, part: 1, parts: 3, entries: list };
        assert.deepEqual(decodeSnapshot(encodeSnapshot(part)), part);
        const damaged = bytes.slice(0, cut % bytes.length);
        try {
          const short = decodeAppend(damaged);
          // What is cut between two entries is a shorter message, not another one.
          assert.deepEqual(short.entries, list.slice(0, short.entries.length));
        } catch (e) {
          assert.ok(e instanceof MessageError, String(e));
        }
      }),
      { seed: 6, numRuns: 300 },
    );
  });

  it('a newer format is rejected as unsupported, and invalid numbers as malformed', () => {
    const message: Append = { node, shard, epoch: EPOCH, first: 1, entries: [], head: 0 };
    const newer = encodeAppend(message);
    newer[1] = 99;
    assert.throws(
      () => decodeAppend(newer),
      (e: unknown) => e instanceof MessageError && e.code === 'unsupported',
    );
    for (const wrong of [{ first: 0 }, { first: 1.5 }, { head: -1 }, { epoch: version(Number.NaN) }])
      assert.throws(
        () => decodeAppend(encodeAppend({ ...message, ...wrong })),
        (e: unknown) => e instanceof MessageError && e.code === 'malformed',
      );
    assert.throws(() => decodeAppend(new Uint8Array()), MessageError);
  });
});

describe('snapshots', () => {
  it('a standby behind the tail gets a snapshot, then continues with the tail', () => {
    const log = new DecisionLog(shard, EPOCH, 10);
    const replica = new Replica(shard);
    for (let i = 0; i < 100; i++)
      log.append({
        kind: 'agent',
        machine: machineName(`n-${i % 30}`),
        address: `a:${i}`,
        agentEpoch: 1,
        sequence: i,
        token: fencingToken(7),
        heardAt: wallClockMs(i),
      });
    assert.equal(log.after(0, 100), null, 'the tail does not reach back that far');
    assert.equal(replica.append({ epoch: EPOCH, first: 95, entries: [], head: 100 }, monotonicMs(0)), 'gap');
    assert.equal(replica.isWarm(EPOCH, 1000, 1000), false);
    const all = log.state.entries();
    const parts = [all.slice(0, 12), all.slice(12)];
    parts.forEach((part, i) => {
      const message = { epoch: EPOCH, upTo: log.head, part: i, parts: 2, entries: part };
      assert.equal(replica.snapshot(message, monotonicMs(1)), 'applied');
    });
    assert.equal(replica.applied, 100);
    assert.deepEqual(replica.state.entries(), log.state.entries());
    const next = log.after(100, 5)!;
    assert.equal(replica.append({ epoch: EPOCH, ...next, head: log.head }, monotonicMs(2)), 'applied');
    assert.equal(replica.isWarm(EPOCH, 1000, 1000), true);
    assert.equal(replica.isWarm(version(8), 1000, 1000), false, 'not for another epoch');
  });

  it('parts of two snapshots are never combined, and an old snapshot reverts nothing', () => {
    const replica = new Replica(shard);
    const part = (upTo: number, n: number) => ({ epoch: EPOCH, upTo, part: n, parts: 2, entries: [] });
    assert.equal(replica.snapshot(part(5, 0), monotonicMs(0)), 'applied');
    assert.equal(replica.snapshot(part(6, 1), monotonicMs(0)), 'gap');
    assert.equal(replica.applied, null);
    replica.snapshot(part(6, 0), monotonicMs(0));
    replica.snapshot(part(6, 1), monotonicMs(0));
    assert.equal(replica.applied, 6);
    replica.snapshot(part(5, 0), monotonicMs(0));
    replica.snapshot(part(5, 1), monotonicMs(0));
    assert.equal(replica.applied, 6);
  });
});

describe('bounds of lag and memory', () => {
  it('lag is measured in entries and in time, and a standby beyond its bounds is not warm', () => {
    const replica = new Replica(shard);
    const start: LogEntry = {
      kind: 'start',
      task: { job: jobId('wk-1'), index: 0, attempt: attempt(1), machine: machineName('n-1') },
    };
    replica.append({ epoch: EPOCH, first: 1, entries: [start], head: 1 }, monotonicMs(1000));
    assert.deepEqual(replica.lag(), { entries: 0, ms: 0 });
    replica.append({ epoch: EPOCH, first: 2, entries: [], head: 500 }, monotonicMs(4000));
    assert.deepEqual(replica.lag(), { entries: 499, ms: 3000 });
    assert.equal(replica.isWarm(EPOCH, 498, 9000), false);
    assert.equal(replica.isWarm(EPOCH, 499, 2999), false);
    assert.equal(replica.isWarm(EPOCH, 499, 3000), true);
  });

  it('removed keys are pruned, unchanged agents add no entry, and memory is bounded', () => {
    const log = new DecisionLog(shard, EPOCH, 50);
    const heard = (machine: string, at: number): LogEntry => ({
      kind: 'agent',
      machine: machineName(machine),
      address: 'a:1',
      agentEpoch: 1,
      sequence: at,
      token: fencingToken(7),
      heardAt: wallClockMs(at),
    });
    log.append(heard('n-1', 0));
    log.append(heard('n-1', 2000));
    assert.equal(log.head, 1, 'nothing new');
    log.append(heard('n-1', 12_000));
    assert.equal(log.head, 2);
    for (let i = 0; i < 5000; i++)
      log.append({
        kind: 'exited',
        task: { job: jobId('wk-1'), index: i, attempt: attempt(1), machine: machineName('n-1') },
        why: 'done',
      });
    assert.ok(log.state.entries().length <= 2001);
    log.state.prune({ hasMachine: () => false, hasJob: () => false });
    assert.deepEqual(log.state.entries(), []);
    assert.ok(entrySize(heard('n-1', 0)) < 80, 'an agent takes little of a message');
  });
});

describe('bandwidth of replication', () => {
  it('replication of 4,000 machines fits the byte budget, and a snapshot fits its messages', () => {
    const machines = 4000;
    const shards = 3;
    const { bytes_per_s: budget } = OptionsSchema.properties.replication.properties;
    const mostBytes = Number(budget.default);
    const log = new DecisionLog(shard, EPOCH, 4000);
    const heartbeat = (i: number, at: number) => {
      log.append({
        kind: 'agent',
        machine: machineName(`n-${String(i).padStart(6, '0')}`),
        address: `10.200.${i >> 8}.${i & 255}:9000`,
        agentEpoch: 1,
        sequence: at,
        token: fencingToken(123_456),
        heardAt: wallClockMs(1_700_000_000_000 + at),
      });
    };
    // Each reports every 2 s for a minute.
    for (let at = 0; at < 60_000; at += 2000) for (let i = 0; i < machines / shards; i++) heartbeat(i, at);
    const all = log.state.entries();
    const bytesEach = all.reduce((n, e) => n + entrySize(e), 0) / all.length;
    const perSecond = (log.head * bytesEach) / 60;
    assert.ok(perSecond < mostBytes / 2, `${Math.round(perSecond)} bytes a second`);
    const snapshot = bytesEach * all.length;
    assert.ok(snapshot < mostBytes * 3, `a snapshot of ${snapshot} bytes is sent within seconds`);
  });
});
