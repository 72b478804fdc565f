/**
 * Simulated runs with warm standbys: controllers are killed, paused, partitioned and drained with work under way. The
 * invariants are checked after each step, and in the end no job is lost.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ViewCommittedFacts } from '../../../src/controller/committed-facts.js';
import { attempt, jobId, machineName, nodeName } from '../../../src/core/model/ids.js';
import { LEASE_MS, faultScenario, runUntilBusy } from '../../../test/sim/fault-scenario.js';
import { answered } from '../../../test/sim/pipeline-helpers.js';
import { advance, allControllers, currentLeader, holderOf } from '../../../test/sim/run-helpers.js';
import type { Simulation } from '../../../test/sim/simulation.js';
import type { LogEntry } from '../src/log-entries.js';
import { TOPIC, encodeAppend } from '../src/messages.js';
import { handover, shown, standby, standbyOf, takeovers, total } from './standbys.js';

const owners = (simulation: Simulation) =>
  allControllers(simulation).filter((node) => node !== currentLeader(simulation));
const SEEDS = [3, 8];
const play = (
  name: string,
  what: (simulation: Simulation) => Promise<void>,
  options: object = {},
  seeds = SEEDS,
) => {
  faultScenario(name, what, seeds, standby(options));
};

/** Waits until the shard has another holder than the one given; returns how long that took. */
async function untilTaken(
  simulation: Simulation,
  shard: string,
  from: string,
  mostMs: number,
): Promise<number> {
  const start = simulation.time.now;
  while (holderOf(simulation, shard) === from) {
    assert.ok(simulation.time.now - start < mostMs, `${shard} is still with ${from} after ${mostMs} ms`);
    await advance(simulation, 20);
  }
  return simulation.time.now - start;
}

describe('failover to a warm standby', () => {
  it('every shard has a warm standby in another zone, with little lag', async () => {
    const simulation = await runUntilBusy(3, undefined, standby());
    for (const node of allControllers(simulation))
      for (const s of shown(node).slices) {
        if (s.role === 'holder') {
          assert.equal(s.standbys.length, 1);
          assert.notEqual(simulation.controllers.get(s.standbys[0]!)!.zone, node.zone);
          assert.deepEqual(
            s.followers?.map((f) => f.status),
            ['following'],
          );
        }
        if (s.role === 'standby') assert.equal(s.warm, true, `${node.name} is warm for ${s.slice}`);
      }
    assert.equal(total(simulation, 'suspicions'), 0, 'nobody is suspected while nothing is wrong');
  });

  play('the shard of a killed controller fails over before its session expires', async (simulation) => {
    const [node] = owners(simulation);
    const expected = standbyOf(simulation, node!.name);
    node!.crash();
    const tookMs = await untilTaken(simulation, node!.name, node!.name, 1900);
    assert.ok(tookMs < 1900);
    assert.equal(holderOf(simulation, node!.name), expected.name);
    await advance(simulation, LEASE_MS);
    const [takeover] = shown(expected).takeovers;
    assert.deepEqual([takeover?.cause, takeover?.warm], ['suspicion', true]);
    assert.equal(simulation.cluster.tasksLostToLeaseExpiry, 0);
    node!.start();
  });

  play('another controller leads before the session of a killed leader expires', async (simulation) => {
    const leader = currentLeader(simulation);
    leader.crash();
    await untilTaken(simulation, leader.name, leader.name, 1900);
    await advance(simulation, 300);
    assert.notEqual(simulation.leader(), leader);
    assert.ok(simulation.leader() !== undefined, 'somebody leads');
    leader.start();
  });
});

describe('paused controllers', () => {
  play(
    'a paused controller resumes after a failover, follows as a standby, and gets its shard back',
    async (simulation) => {
      const [node] = owners(simulation);
      const taker = standbyOf(simulation, node!.name);
      node!.clock.pause();
      await untilTaken(simulation, node!.name, node!.name, 1900);
      for (const ms of [100, 3000]) {
        await advance(simulation, ms);
        node!.clock.resume();
        await advance(simulation, 600);
        node!.clock.pause();
      }
      await advance(simulation, 500);
      node!.clock.resume();
      await advance(simulation, 15_000);
      assert.ok(shown(taker).counts.falseTakeovers >= 1, 'it was alive, and that is counted');
      assert.equal(holderOf(simulation, node!.name), node!.name, 'it holds its shard');
      assert.ok(
        shown(standbyOf(simulation, node!.name)).slices.some(
          (s) => s.slice === node!.name && s.warm === true,
        ),
      );
    },
  );

  play('a pause shorter than the suspicion threshold moves no shard', async (simulation) => {
    const [node] = owners(simulation);
    for (let i = 0; i < 10; i++) {
      node!.clock.pause();
      await advance(simulation, 250);
      node!.clock.resume();
      await advance(simulation, 700);
    }
    assert.equal(total(simulation, 'taken'), 0);
  });
});

describe('partitions between controllers', () => {
  play('a partition between holder and standby causes no failover', async (simulation) => {
    const [node] = owners(simulation);
    const follower = standbyOf(simulation, node!.name);
    follower.partitionedFrom.add(node!.name);
    await advance(simulation, 8000);
    assert.equal(holderOf(simulation, node!.name), node!.name);
    assert.ok(shown(follower).counts.suspicions > 0, 'it was suspected');
    assert.ok(shown(follower).counts.refuted > 0, 'and the third controller reached it');
    assert.equal(total(simulation, 'taken'), 0);
    follower.partitionedFrom.clear();
    await advance(simulation, 4000);
    assert.ok(
      shown(follower).slices.some((s) => s.slice === node!.name && s.warm === true),
      'it has caught up',
    );
  });

  play('a network split three ways confirms no failure', async (simulation) => {
    const nodes = allControllers(simulation);
    for (const node of nodes) node.unreachable.add('peers');
    await advance(simulation, 8000);
    assert.equal(total(simulation, 'taken'), 0);
    for (const node of nodes) node.unreachable.delete('peers');
  });
});

describe('overlapping crashes and outages', () => {
  play(
    'holder and standby crash together: the leader assigns the shard once the session has expired',
    async (simulation) => {
      const leader = currentLeader(simulation);
      const node =
        owners(simulation).find((n) => standbyOf(simulation, n.name) !== leader) ?? owners(simulation)[0]!;
      const follower = standbyOf(simulation, node.name);
      if (follower === leader) return;
      node.crash();
      follower.crash();
      await untilTaken(simulation, node.name, node.name, 8000);
      assert.equal(holderOf(simulation, node.name), leader.name);
      node.start();
      follower.start();
    },
  );

  play(
    'the standby is paused when the holder is killed, and resumes during the failover',
    async (simulation) => {
      const [node] = owners(simulation);
      const follower = standbyOf(simulation, node!.name);
      follower.clock.pause();
      node!.crash();
      await advance(simulation, 1200);
      follower.clock.resume();
      await untilTaken(simulation, node!.name, node!.name, 8000);
      node!.start();
    },
  );

  play('the holder is killed during an outage of the state service', async (simulation) => {
    const [node] = owners(simulation);
    simulation.state.setOutage(true);
    await advance(simulation, 300);
    node!.crash();
    await advance(simulation, 3000);
    assert.equal(holderOf(simulation, node!.name), node!.name, 'nothing can be taken now');
    simulation.state.setOutage(false);
    await untilTaken(simulation, node!.name, node!.name, 5000);
    node!.start();
  });
});

describe('repeated failovers, and controllers without the package', () => {
  play('failovers of a holder that is paused repeatedly are spaced', async (simulation) => {
    const [node] = owners(simulation);
    let moves = 0;
    let before = holderOf(simulation, node!.name);
    const count = () => {
      const now = holderOf(simulation, node!.name);
      if (now !== before) moves++;
      before = now;
    };
    for (let i = 0; i < 12; i++) {
      node!.clock.pause();
      await advance(simulation, 1100);
      count();
      node!.clock.resume();
      await advance(simulation, 1500);
      count();
    }
    assert.ok(moves <= 10, `${moves} changes of holder in half a minute`);
    await advance(simulation, 3000);
  });

  play('a controller without the package is no standby and harms none', async (simulation) => {
    const old = owners(simulation)[0]!;
    old.crash();
    old.packages = () => [];
    old.start();
    await advance(simulation, 6000);
    const others = allControllers(simulation).filter((node) => node !== old);
    const statuses = others.flatMap((node) =>
      shown(node).slices.flatMap((s) => (s.followers ?? []).map((f) => [f.standby, f.status])),
    );
    for (const [name, status] of statuses) assert.equal(status, name === old.name ? 'silent' : 'following');
    old.crash();
    await untilTaken(simulation, old.name, old.name, 8000);
    old.start();
  });
});

/** The longest that a handover takes in these runs. */
const HANDOVER_MS = 10_000;

describe('handover', () => {
  play(
    'a planned handover moves the shard to the warm standby at once, and back after the restart',
    async (simulation) => {
      for (const node of [owners(simulation)[0]!, currentLeader(simulation)]) {
        const to = standbyOf(simulation, node.name);
        const answer = await answered(simulation, handover(node), HANDOVER_MS);
        assert.equal(answer.status, 200, JSON.stringify(answer.body));
        assert.equal(holderOf(simulation, node.name), to.name);
        await advance(simulation, 500);
        assert.notEqual(simulation.leader(), node, 'it does not lead any more');
        assert.equal(holderOf(simulation, node.name), to.name, 'the leader does not give it back');
        node.crash();
        node.start();
        await advance(simulation, 9000);
        assert.equal(holderOf(simulation, node.name), node.name, 'it is back where it belongs');
        assert.equal(simulation.cluster.tasksLostToLeaseExpiry, 0);
      }
      const causes = new Set(takeovers(simulation).map((t) => t.cause));
      assert.ok(causes.has('handover'));
    },
  );

  play('a handover is refused with its reason where no standby is ready', async (simulation) => {
    const [node] = owners(simulation);
    const follower = standbyOf(simulation, node!.name);
    follower.unreachable.add('peers');
    const answer = await answered(simulation, handover(node!), HANDOVER_MS);
    assert.equal(answer.status, 409);
    assert.equal(holderOf(simulation, node!.name), node!.name, 'it keeps what it holds');
    assert.match(JSON.stringify(answer.body.refused), /does not (keep up|answer)/);
    follower.unreachable.clear();
    assert.equal((await answered(simulation, handover(node!, { to: 'nobody' }), HANDOVER_MS)).status, 400);
    assert.equal((await answered(simulation, handover(node!, { too: 1 }), HANDOVER_MS)).status, 400);
  });
});

describe('uncommitted log entries', () => {
  play('log entries that were never committed are not applied after a failover', async (simulation) => {
    const [node] = owners(simulation);
    const taker = standbyOf(simulation, node!.name);
    const shard = nodeName(node!.name);
    const { epoch } = new ViewCommittedFacts(taker.controller!.context).shard(shard)!;
    const machine = [...simulation.cluster.machines.keys()].map(machineName);
    const { applied } = shown(taker).slices.find((s) => s.slice === shard)!;
    const task = (index: number) => ({
      job: jobId('wk-never-submitted'),
      index,
      attempt: attempt(1),
      machine: machine[index % machine.length]!,
    });
    const entries: LogEntry[] = [...Array(10).keys()].flatMap((i) => [
      { kind: 'start', task: task(i) },
      { kind: 'exited', task: task(i), why: 'done' },
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
    await taker.controller!.channel.answer(TOPIC.append, payload, '10.0.0.1');
    await untilTaken(simulation, shard, shard, 4000);
    // The simulated agents fail the run where a job is started that nobody submitted.
    await advance(simulation, LEASE_MS);
    assert.ok(shown(taker).takeovers.some((t) => t.slice === shard && t.uncommittedEnds >= 10));
    node!.start();
  });
});
