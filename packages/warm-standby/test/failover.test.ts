/**
 * Failovers to warm standbys in simulated runs. Guards against shards that stay without a live holder until a session
 * expires, and against failovers of holders that are alive, after a short pause or a partition between two controllers.
 * Controllers are killed, paused, partitioned and drained while tasks run; the invariants are checked after each step, and
 * all jobs must finish in the end.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ViewCommittedState } from '../../../src/controller/committed-state.js';
import { attempt, jobId, machineName, nodeName } from '../../../src/core/model/ids.js';
import { LEASE_MS, faultScenario, runUntilBusy } from '../../../test/sim/fault-scenario.js';
import { waitForAnswer } from '../../../test/sim/pipeline-helpers.js';
import { advance, allControllers, currentLeader, holderOf } from '../../../test/sim/run-helpers.js';
import type { Simulation } from '../../../test/sim/simulation.js';
import type { LogEntry } from '../src/log-entries.js';
import { TOPIC, encodeAppend } from '../src/messages.js';
import {
  requestHandover,
  standbyStatusOf,
  warmStandbyPlugins,
  firstStandbyOf,
  allFailovers,
  totalCount,
} from './standby-run-helpers.js';

const nonLeaders = (simulation: Simulation) =>
  allControllers(simulation).filter((node) => node !== currentLeader(simulation));
const SEEDS = [3, 8];
/** Defines one `faultScenario` test a seed, with the plugin enabled at all controllers. */
const standbyScenario = (
  name: string,
  inject: (simulation: Simulation) => Promise<void>,
  options: object = {},
  seeds = SEEDS,
) => {
  faultScenario(name, inject, seeds, warmStandbyPlugins(options));
};

/** Lets time pass until the shard has another holder than `from`; returns the milliseconds, fails after `timeoutMs`. */
async function waitForNewHolder(
  simulation: Simulation,
  shard: string,
  from: string,
  timeoutMs: number,
): Promise<number> {
  const start = simulation.time.now;
  while (holderOf(simulation, shard) === from) {
    assert.ok(simulation.time.now - start < timeoutMs, `${from} still holds ${shard} after ${timeoutMs} ms`);
    await advance(simulation, 20);
  }
  return simulation.time.now - start;
}

describe('failover to a warm standby', () => {
  it('every shard has a warm standby in another zone, and no holder is suspected', async () => {
    const simulation = await runUntilBusy(3, undefined, warmStandbyPlugins());
    for (const node of allControllers(simulation))
      for (const s of standbyStatusOf(node).slices) {
        if (s.role === 'holder') {
          assert.equal(s.standbys.length, 1);
          assert.notEqual(simulation.controllers.get(s.standbys[0]!)!.zone, node.zone);
          assert.deepEqual(
            s.followers?.map((f) => f.status),
            ['following'],
          );
        }
        if (s.role === 'standby') assert.equal(s.warm, true, `${node.name} is not warm for ${s.slice}`);
      }
    assert.equal(totalCount(simulation, 'suspicions'), 0, 'no holder is suspected in a run without faults');
  });

  // Without a failover the shard has no live holder until the session expires and the leader assigns the shard.
  standbyScenario(
    'the shard of a killed controller fails over before its session expires',
    async (simulation) => {
      const [node] = nonLeaders(simulation);
      const expected = firstStandbyOf(simulation, node!.name);
      node!.crash();
      const tookMs = await waitForNewHolder(simulation, node!.name, node!.name, 1900);
      assert.ok(tookMs < 1900);
      assert.equal(holderOf(simulation, node!.name), expected.name);
      await advance(simulation, LEASE_MS);
      const [takeover] = standbyStatusOf(expected).takeovers;
      assert.deepEqual([takeover?.cause, takeover?.warm], ['suspicion', true]);
      assert.equal(simulation.cluster.tasksLostToLeaseExpiry, 0);
      node!.start();
    },
  );

  standbyScenario(
    'another controller leads before the session of a killed leader expires',
    async (simulation) => {
      const leader = currentLeader(simulation);
      leader.crash();
      await waitForNewHolder(simulation, leader.name, leader.name, 1900);
      await advance(simulation, 300);
      assert.notEqual(simulation.leader(), leader);
      assert.ok(simulation.leader() !== undefined, 'a controller leads');
      leader.start();
    },
  );
});

describe('paused controllers', () => {
  // The controller resumes twice with its state from before the failover; it must not act on a shard that it has lost.
  standbyScenario(
    'a controller that resumes after its failover gets its shard back, with a warm standby',
    async (simulation) => {
      const [node] = nonLeaders(simulation);
      const standbyNode = firstStandbyOf(simulation, node!.name);
      node!.clock.pause();
      await waitForNewHolder(simulation, node!.name, node!.name, 1900);
      for (const ms of [100, 3000]) {
        await advance(simulation, ms);
        node!.clock.resume();
        await advance(simulation, 600);
        node!.clock.pause();
      }
      await advance(simulation, 500);
      node!.clock.resume();
      await advance(simulation, 15_000);
      assert.ok(
        standbyStatusOf(standbyNode).counts.falseTakeovers >= 1,
        'the failover of a live holder is counted as false',
      );
      assert.equal(holderOf(simulation, node!.name), node!.name, 'the resumed controller holds its shard');
      assert.ok(
        standbyStatusOf(firstStandbyOf(simulation, node!.name)).slices.some(
          (s) => s.slice === node!.name && s.warm === true,
        ),
      );
    },
  );

  standbyScenario('pauses shorter than the suspicion threshold cause no failover', async (simulation) => {
    const [node] = nonLeaders(simulation);
    for (let i = 0; i < 10; i++) {
      node!.clock.pause();
      await advance(simulation, 250);
      node!.clock.resume();
      await advance(simulation, 700);
    }
    assert.equal(totalCount(simulation, 'taken'), 0);
  });
});

describe('partitions between controllers', () => {
  // The standby no longer hears a holder that is alive; the third controller still reaches it and refutes the suspicion.
  standbyScenario('a partition between holder and standby causes no failover', async (simulation) => {
    const [node] = nonLeaders(simulation);
    const standbyNode = firstStandbyOf(simulation, node!.name);
    standbyNode.partitionedFrom.add(node!.name);
    await advance(simulation, 8000);
    assert.equal(holderOf(simulation, node!.name), node!.name);
    assert.ok(standbyStatusOf(standbyNode).counts.suspicions > 0, 'the standby suspects the holder');
    assert.ok(standbyStatusOf(standbyNode).counts.refuted > 0, 'the third controller reaches the holder');
    assert.equal(totalCount(simulation, 'taken'), 0);
    standbyNode.partitionedFrom.clear();
    await advance(simulation, 4000);
    assert.ok(
      standbyStatusOf(standbyNode).slices.some((s) => s.slice === node!.name && s.warm === true),
      'the standby has caught up',
    );
  });

  // Each controller suspects the others, but no other controller can confirm a suspicion.
  standbyScenario('a partition between all three controllers causes no failover', async (simulation) => {
    const nodes = allControllers(simulation);
    for (const node of nodes) node.unreachable.add('peers');
    await advance(simulation, 8000);
    assert.equal(totalCount(simulation, 'taken'), 0);
    for (const node of nodes) node.unreachable.delete('peers');
  });
});

describe('overlapping crashes and outages', () => {
  // No standby is left to suspect the holder.
  standbyScenario(
    'holder and standby crash together: the leader assigns the shard once the session has expired',
    async (simulation) => {
      const leader = currentLeader(simulation);
      const node =
        nonLeaders(simulation).find((n) => firstStandbyOf(simulation, n.name) !== leader) ??
        nonLeaders(simulation)[0]!;
      const standbyNode = firstStandbyOf(simulation, node.name);
      if (standbyNode === leader) return;
      node.crash();
      standbyNode.crash();
      await waitForNewHolder(simulation, node.name, node.name, 8000);
      assert.equal(holderOf(simulation, node.name), leader.name);
      node.start();
      standbyNode.start();
    },
  );

  standbyScenario(
    'the holder is killed while its standby is paused; the shard gets another holder',
    async (simulation) => {
      const [node] = nonLeaders(simulation);
      const standbyNode = firstStandbyOf(simulation, node!.name);
      standbyNode.clock.pause();
      node!.crash();
      await advance(simulation, 1200);
      standbyNode.clock.resume();
      await waitForNewHolder(simulation, node!.name, node!.name, 8000);
      node!.start();
    },
  );

  standbyScenario(
    'the holder is killed during an outage of the state service; the shard gets another holder after it',
    async (simulation) => {
      const [node] = nonLeaders(simulation);
      simulation.state.setOutage(true);
      await advance(simulation, 300);
      node!.crash();
      await advance(simulation, 3000);
      assert.equal(
        holderOf(simulation, node!.name),
        node!.name,
        'no shard changes its holder during the outage',
      );
      simulation.state.setOutage(false);
      await waitForNewHolder(simulation, node!.name, node!.name, 5000);
      node!.start();
    },
  );
});

describe('repeated failovers, and controllers without the plugin', () => {
  // Without the backoff each of the 12 pauses could move the shard away and back.
  standbyScenario(
    'the backoff spaces the failovers of a holder that is paused repeatedly',
    async (simulation) => {
      const [node] = nonLeaders(simulation);
      let holderChanges = 0;
      let lastHolder = holderOf(simulation, node!.name);
      const countChange = () => {
        const currentHolder = holderOf(simulation, node!.name);
        if (currentHolder !== lastHolder) holderChanges++;
        lastHolder = currentHolder;
      };
      for (let i = 0; i < 12; i++) {
        node!.clock.pause();
        await advance(simulation, 1100);
        countChange();
        node!.clock.resume();
        await advance(simulation, 1500);
        countChange();
      }
      assert.ok(holderChanges <= 10, `${holderChanges} changes of holder in half a minute`);
      await advance(simulation, 3000);
    },
  );

  // Controllers with and without the plugin run side by side during an upgrade.
  standbyScenario(
    'a controller without the plugin follows no shard and does not disturb the other standbys',
    async (simulation) => {
      const nodeWithoutPlugin = nonLeaders(simulation)[0]!;
      nodeWithoutPlugin.crash();
      nodeWithoutPlugin.plugins = () => [];
      nodeWithoutPlugin.start();
      await advance(simulation, 6000);
      const others = allControllers(simulation).filter((node) => node !== nodeWithoutPlugin);
      const statuses = others.flatMap((node) =>
        standbyStatusOf(node).slices.flatMap((s) => (s.followers ?? []).map((f) => [f.standby, f.status])),
      );
      for (const [name, status] of statuses)
        assert.equal(status, name === nodeWithoutPlugin.name ? 'silent' : 'following');
      nodeWithoutPlugin.crash();
      await waitForNewHolder(simulation, nodeWithoutPlugin.name, nodeWithoutPlugin.name, 8000);
      nodeWithoutPlugin.start();
    },
  );
});

/** Longest duration of a handover in these runs. */
const HANDOVER_TIMEOUT_MS = 10_000;

describe('handover', () => {
  // The leader would assign the shard back to a controller whose session is not marked as draining.
  standbyScenario(
    'a planned handover moves the shard to the warm standby at once, and it returns after the restart',
    async (simulation) => {
      for (const node of [nonLeaders(simulation)[0]!, currentLeader(simulation)]) {
        const to = firstStandbyOf(simulation, node.name);
        const answer = await waitForAnswer(simulation, requestHandover(node), HANDOVER_TIMEOUT_MS);
        assert.equal(answer.status, 200, JSON.stringify(answer.body));
        assert.equal(holderOf(simulation, node.name), to.name);
        await advance(simulation, 500);
        assert.notEqual(simulation.leader(), node, 'the controller no longer leads');
        assert.equal(
          holderOf(simulation, node.name),
          to.name,
          'the leader does not assign the shard back before the restart',
        );
        node.crash();
        node.start();
        await advance(simulation, 9000);
        assert.equal(holderOf(simulation, node.name), node.name, 'the shard is back with its own controller');
        assert.equal(simulation.cluster.tasksLostToLeaseExpiry, 0);
      }
      const causes = new Set(allFailovers(simulation).map((t) => t.cause));
      assert.ok(causes.has('handover'));
    },
  );

  standbyScenario(
    'a handover is refused with its reason if no standby is ready or the request is invalid',
    async (simulation) => {
      const [node] = nonLeaders(simulation);
      const standbyNode = firstStandbyOf(simulation, node!.name);
      standbyNode.unreachable.add('peers');
      const answer = await waitForAnswer(simulation, requestHandover(node!), HANDOVER_TIMEOUT_MS);
      assert.equal(answer.status, 409);
      assert.equal(holderOf(simulation, node!.name), node!.name, 'the controller keeps its shard');
      assert.match(JSON.stringify(answer.body.refused), /does not (keep up|answer)/);
      standbyNode.unreachable.clear();
      assert.equal(
        (await waitForAnswer(simulation, requestHandover(node!, { to: 'nobody' }), HANDOVER_TIMEOUT_MS))
          .status,
        400,
      );
      assert.equal(
        (await waitForAnswer(simulation, requestHandover(node!, { too: 1 }), HANDOVER_TIMEOUT_MS)).status,
        400,
      );
    },
  );
});

describe('uncommitted log entries', () => {
  // A replica may have entries whose transactions were never committed: only the state service says what runs where.
  standbyScenario(
    'log entries that were never committed start no task after a failover',
    async (simulation) => {
      const [node] = nonLeaders(simulation);
      const standbyNode = firstStandbyOf(simulation, node!.name);
      const shard = nodeName(node!.name);
      const { epoch } = new ViewCommittedState(standbyNode.controller!.context).shard(shard)!;
      const machineNames = [...simulation.cluster.machines.keys()].map(machineName);
      const { applied } = standbyStatusOf(standbyNode).slices.find((s) => s.slice === shard)!;
      const taskAt = (index: number) => ({
        job: jobId('wk-never-submitted'),
        index,
        attempt: attempt(1),
        machine: machineNames[index % machineNames.length]!,
      });
      const entries: LogEntry[] = [...Array(10).keys()].flatMap((i) => [
        { kind: 'start', task: taskAt(i) },
        { kind: 'exited', task: taskAt(i), why: 'done' },
      ]);
      node!.crash();
      const payload = encodeAppend({
        node: shard,
        shard,
        epoch,
        first: applied! + 1,
        entries,
        head: applied! + 20,
      });
      await standbyNode.controller!.channel.answer(TOPIC.append, payload, '10.0.0.1');
      await waitForNewHolder(simulation, shard, shard, 4000);
      // The simulated agents fail the run if a task of a job that was never submitted is started.
      await advance(simulation, LEASE_MS);
      assert.ok(
        standbyStatusOf(standbyNode).takeovers.some((t) => t.slice === shard && t.uncommittedEnds >= 10),
      );
      node!.start();
    },
  );
});
