/**
 * Replication of the decision log. Guards against a replica whose state is that of no prefix of its holder's log, after
 * messages that are late, lost, repeated, reordered or damaged; against a standby that counts as warm beyond its bounds of
 * lag; and against logs and messages that grow without bound.
 */
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

const machineNames = fc.integer({ min: 0, max: 4 }).map((n) => machineName(`n-${n}`));
const tasks = fc.record({
  job: fc.integer({ min: 0, max: 4 }).map((n) => jobId(`wk-${n}`)),
  index: fc.nat(5),
  attempt: fc.nat(3).map(attempt),
  machine: machineNames,
});
const logEntries: fc.Arbitrary<LogEntry> = fc.oneof(
  fc.record({ kind: fc.constantFrom('start' as const, 'stop' as const, 'preempt' as const), task: tasks }),
  fc.record({
    kind: fc.constant('exited' as const),
    task: tasks,
    why: fc.constantFrom('done', 'absent', 'error'),
  }),
  fc.record({
    kind: fc.constant('agent' as const),
    machine: machineNames,
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
    machines: fc.array(machineNames, { maxLength: 3 }),
    retryAt: fc.nat(99).map(wallClockMs),
  }),
  fc.record({
    kind: fc.constant('run' as const),
    machine: machineNames,
    run: fc.record({
      job: fc.constant(jobId('wk-2')),
      jobClass: fc.constant('c'),
      durationS: fc.nat(50),
      estimateS: fc.nat(50),
    }),
  }),
);

const stateOf = (entries: readonly LogEntry[]) => {
  const state = new ReplicatedState();
  for (const e of entries) state.apply(e);
  return state;
};

describe('replica', () => {
  it('a replica holds exactly a prefix of the log, whichever messages are lost, repeated or reordered', () => {
    // A message begins where the one before ended, up to 4 entries before that (repeated) or up to 2 after (lost).
    const step = fc.record({
      offset: fc.integer({ min: -4, max: 2 }),
      count: fc.nat(6),
      epoch: fc.constantFrom(6, 7, 7, 7),
    });
    fc.assert(
      fc.property(
        fc.array(logEntries, { maxLength: 40 }),
        fc.array(step, { maxLength: 40 }),
        (log, steps) => {
          const replica = new Replica(shard);
          let next = 1;
          for (const [i, { offset, count, epoch }] of steps.entries()) {
            const first = Math.max(1, next + offset);
            next = Math.min(log.length + 1, first + count);
            const message: AppendMessage = {
              epoch: version(epoch),
              first,
              entries: log.slice(first - 1, first - 1 + count),
              head: log.length,
            };
            const appliedBefore = replica.applied;
            const outcome = replica.append(message, monotonicMs(i));
            if (replica.epoch > epoch) assert.equal(outcome, 'stale');
            if (outcome !== 'applied')
              assert.ok(replica.applied === appliedBefore || replica.applied === null);
            // Both epochs have the same entries here, so each state must be that of a prefix of the log.
            assert.deepEqual(replica.state.entries(), stateOf(log.slice(0, replica.applied ?? 0)).entries());
          }
        },
      ),
      { seed: 5, numRuns: 300 },
    );
  });
});

describe('wire format', () => {
  it('messages are decoded as they were encoded, and truncated ones to a prefix of their entries or not at all', () => {
    fc.assert(
      fc.property(fc.array(logEntries, { maxLength: 20 }), fc.nat(), (generated, cutAt) => {
        const sentEntries = generated.map((e) => structuredClone(e));
        const message: Append = { node, shard, epoch: EPOCH, first: 3, entries: sentEntries, head: 30 };
        const bytes = encodeAppend(message);
        assert.deepEqual(decodeAppend(bytes), message);
        const part = { node, shard, epoch: EPOCH, upTo: 9, part: 1, parts: 3, entries: sentEntries };
        assert.deepEqual(decodeSnapshot(encodeSnapshot(part)), part);
        const truncated = bytes.slice(0, cutAt % bytes.length);
        try {
          const decoded = decodeAppend(truncated);
          // A message that is truncated between two entries is a valid message with fewer entries.
          assert.deepEqual(decoded.entries, sentEntries.slice(0, decoded.entries.length));
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
    for (const invalidFields of [{ first: 0 }, { first: 1.5 }, { head: -1 }, { epoch: version(Number.NaN) }])
      assert.throws(
        () => decodeAppend(encodeAppend({ ...message, ...invalidFields })),
        (e: unknown) => e instanceof MessageError && e.code === 'malformed',
      );
    assert.throws(() => decodeAppend(new Uint8Array()), MessageError);
  });
});

describe('snapshots', () => {
  it('a standby that is behind the tail of the log gets a snapshot, then continues with the tail', () => {
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
    assert.equal(log.after(0, 100), null, 'the tail no longer has the first entries');
    assert.equal(replica.append({ epoch: EPOCH, first: 95, entries: [], head: 100 }, monotonicMs(0)), 'gap');
    assert.equal(replica.isWarm(EPOCH, 1000, 1000), false);
    const all = log.state.entries();
    const parts = [all.slice(0, 12), all.slice(12)];
    parts.forEach((part, i) => {
      const message = { epoch: EPOCH, upTo: log.head, part: i, parts: 2, entries: part };
      assert.equal(replica.applySnapshotPart(message, monotonicMs(1)), 'applied');
    });
    assert.equal(replica.applied, 100);
    assert.deepEqual(replica.state.entries(), log.state.entries());
    const next = log.after(100, 5)!;
    assert.equal(replica.append({ epoch: EPOCH, ...next, head: log.head }, monotonicMs(2)), 'applied');
    assert.equal(replica.isWarm(EPOCH, 1000, 1000), true);
    assert.equal(replica.isWarm(version(8), 1000, 1000), false, 'a replica is warm for its own epoch only');
  });

  it('parts of two snapshots are never combined, and an old snapshot reverts nothing', () => {
    const replica = new Replica(shard);
    const part = (upTo: number, n: number) => ({ epoch: EPOCH, upTo, part: n, parts: 2, entries: [] });
    assert.equal(replica.applySnapshotPart(part(5, 0), monotonicMs(0)), 'applied');
    assert.equal(replica.applySnapshotPart(part(6, 1), monotonicMs(0)), 'gap');
    assert.equal(replica.applied, null);
    replica.applySnapshotPart(part(6, 0), monotonicMs(0));
    replica.applySnapshotPart(part(6, 1), monotonicMs(0));
    assert.equal(replica.applied, 6);
    replica.applySnapshotPart(part(5, 0), monotonicMs(0));
    replica.applySnapshotPart(part(5, 1), monotonicMs(0));
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

  it('entries of removed machines and jobs are pruned, unchanged agents add no entry, and memory is bounded', () => {
    const log = new DecisionLog(shard, EPOCH, 50);
    const agentEntry = (machine: string, at: number): LogEntry => ({
      kind: 'agent',
      machine: machineName(machine),
      address: 'a:1',
      agentEpoch: 1,
      sequence: at,
      token: fencingToken(7),
      heardAt: wallClockMs(at),
    });
    log.append(agentEntry('n-1', 0));
    log.append(agentEntry('n-1', 2000));
    assert.equal(log.head, 1, 'a heartbeat without a change adds no entry within 10 s');
    log.append(agentEntry('n-1', 12_000));
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
    assert.ok(entrySize(agentEntry('n-1', 0)) < 80, 'an entry of an agent takes less than 80 bytes');
  });
});

describe('bandwidth of replication', () => {
  it('replication of 4,000 machines takes less than half of the byte budget, and a snapshot less than 3 s of it', () => {
    const machines = 4000;
    const shards = 3;
    const { bytes_per_s: budget } = OptionsSchema.properties.replication.properties;
    const maxBytesPerSecond = Number(budget.default);
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
    // Each machine of one shard reports every 2 s for one minute.
    for (let at = 0; at < 60_000; at += 2000) for (let i = 0; i < machines / shards; i++) heartbeat(i, at);
    const all = log.state.entries();
    const bytesPerEntry = all.reduce((n, e) => n + entrySize(e), 0) / all.length;
    const bytesPerSecond = (log.head * bytesPerEntry) / 60;
    assert.ok(
      bytesPerSecond < maxBytesPerSecond / 2,
      `replication takes ${Math.round(bytesPerSecond)} of ${maxBytesPerSecond} bytes/s`,
    );
    const snapshotBytes = bytesPerEntry * all.length;
    assert.ok(
      snapshotBytes < maxBytesPerSecond * 3,
      `a snapshot of ${snapshotBytes} bytes takes 3 s or more at ${maxBytesPerSecond} bytes/s`,
    );
  });
});
