/**
 * Controllers with warm standbys among stand-ins, in virtual time: killed, paused, cut off and handed over with work under
 * way. The rules are checked after each step, and in the end no job is lost.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { attempt, jobId, machineName, nodeName } from '../../../src/core/model/ids.js';
import { answered } from '../../../test/sim/pipeline-helpers.js';
import { ViewCommittedFacts } from '../../../src/controller/committed-facts.js';
import { advance, allControllers, currentLeader } from '../../../test/sim/run-helpers.js';
import type { SimulatedController } from '../../../test/sim/simulated-controller.js';
import {
  LEASE_MS,
  expectAllJobsFinish,
  faultScenario,
  runUntilBusy,
} from '../../../test/sim/fault-scenario.js';
import { injectFaults } from '../../../test/sim/faults.js';
import type { Simulation } from '../../../test/sim/simulation.js';
import type { LogEntry } from '../src/log-entries.js';
import { TOPIC, encodeAppend } from '../src/messages.js';
import { holderOf, shown, standby, standbyOf, takeovers, total } from './standbys.js';

const owners = (simulation: Simulation) =>
  allControllers(simulation).filter((n) => n !== currentLeader(simulation));
const SEEDS = [3, 8];
const play = (
  name: string,
  what: (simulation: Simulation) => Promise<void>,
  options: object = {},
  seeds = SEEDS,
) => {
  faultScenario(name, what, seeds, standby(options));
};

/** Waits until the slice has another holder than the one given; how long that took. */
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

test('every slice has a warm standby in another zone, that follows it closely', async () => {
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

play('a killed controller has its slice taken over before its session ends', async (simulation) => {
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

play('the leader is killed: another one leads before its session ends', async (simulation) => {
  const leader = currentLeader(simulation);
  leader.crash();
  await untilTaken(simulation, leader.name, leader.name, 1900);
  await advance(simulation, 300);
  assert.notEqual(simulation.leader(), leader);
  assert.ok(simulation.leader() !== undefined, 'somebody leads');
  leader.start();
});

play(
  'a paused controller wakes up after its slice was taken, follows, and gets it back',
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
    assert.equal(holderOf(simulation, node!.name), node!.name, 'it has its slice back');
    assert.ok(
      shown(standbyOf(simulation, node!.name)).slices.some((s) => s.slice === node!.name && s.warm === true),
    );
  },
);

play('a pause shorter than the suspicion moves nothing', async (simulation) => {
  const [node] = owners(simulation);
  for (let i = 0; i < 10; i++) {
    node!.clock.pause();
    await advance(simulation, 250);
    node!.clock.resume();
    await advance(simulation, 700);
  }
  assert.equal(total(simulation, 'taken'), 0);
});

play('a cut between holder and standby is not taken for death', async (simulation) => {
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

play('a network split three ways confirms nothing', async (simulation) => {
  const nodes = allControllers(simulation);
  for (const n of nodes) n.unreachable.add('peers');
  await advance(simulation, 8000);
  assert.equal(total(simulation, 'taken'), 0);
  for (const n of nodes) n.unreachable.delete('peers');
});

play(
  'holder and standby crash together: the leader assigns the slice once the session is over',
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

play('the standby is paused when the holder is killed, and wakes up in the middle', async (simulation) => {
  const [node] = owners(simulation);
  const follower = standbyOf(simulation, node!.name);
  follower.clock.pause();
  node!.crash();
  await advance(simulation, 1200);
  follower.clock.resume();
  await untilTaken(simulation, node!.name, node!.name, 8000);
  node!.start();
});

play('the state service is away when the holder dies', async (simulation) => {
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

play('takeovers of a holder that freezes again and again are spaced', async (simulation) => {
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

play('a controller without the package is no standby, and harms none', async (simulation) => {
  const old = owners(simulation)[0]!;
  old.crash();
  old.packages = () => [];
  old.start();
  await advance(simulation, 6000);
  const others = allControllers(simulation).filter((n) => n !== old);
  const statuses = others.flatMap((n) =>
    shown(n).slices.flatMap((s) => (s.followers ?? []).map((f) => [f.standby, f.status])),
  );
  for (const [name, status] of statuses) assert.equal(status, name === old.name ? 'silent' : 'following');
  old.crash();
  await untilTaken(simulation, old.name, old.name, 8000);
  old.start();
});

const handover = (node: SimulatedController, body: object = {}) =>
  new Promise<{ status: number; body: { handedOver: { slice: string; to: string }[]; refused: unknown[] } }>(
    (resolve, reject) => {
      node.clock.run(() => {
        node.controller!.packages!.command('warm_standby', 'handover', body).then((r) => {
          resolve(r as never);
        }, reject);
      });
    },
  );

/** The longest that a handover takes in these runs. */
const HANDOVER_MS = 10_000;

play(
  'a planned handover goes to the warm standby at once, and comes back after the restart',
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

play('what was logged and never committed is not carried out after a takeover', async (simulation) => {
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
  // The stand-ins for the workers fail the run where a job is started that nobody submitted.
  await advance(simulation, LEASE_MS);
  assert.ok(shown(taker).takeovers.some((t) => t.slice === shard && t.uncommittedEnds >= 10));
  node!.start();
});

/** Faults in a row, of one controller each; several may be under way at once. */
const faults = fc.array(
  fc.record({
    kind: fc.constantFrom('kill', 'pause', 'cut_peers', 'cut_state', 'cut_off', 'handover'),
    node: fc.nat(2),
    afterMs: fc.integer({ min: 0, max: 3000 }),
    forMs: fc.integer({ min: 50, max: 9000 }),
  }),
  { minLength: 1, maxLength: 6 },
);

function beginFault(node: SimulatedController, kind: string): () => void {
  const cut = (...from: ('state' | 'workers' | 'peers')[]) => {
    for (const x of from) node.unreachable.add(x);
    return () => {
      for (const x of from) node.unreachable.delete(x);
    };
  };
  switch (kind) {
    case 'kill':
      if (node.controller === null) return () => undefined;
      node.crash();
      return () => {
        if (node.controller === null) node.start();
      };
    case 'pause':
      node.clock.pause();
      return () => {
        node.clock.resume();
      };
    case 'cut_peers':
      return cut('peers');
    case 'cut_state':
      return cut('state');
    case 'cut_off':
      return cut('state', 'workers', 'peers');
    default:
      if (node.controller !== null) void handover(node).catch(() => undefined);
      return () => undefined;
  }
}

test('whatever faults follow one another, no rule is broken and no job lost', async () => {
  await fc.assert(
    fc.asyncProperty(faults, async (list) => {
      const simulation = await runUntilBusy(5, undefined, standby({ degree: 2 }));
      const ended: (() => void)[] = [];
      for (const { kind, node, afterMs, forMs } of list) {
        await advance(simulation, afterMs);
        const end = beginFault(allControllers(simulation)[node]!, kind);
        ended.push(end);
        simulation.time.after(forMs, end);
      }
      await advance(simulation, 9000);
      for (const end of ended) end();
      for (const n of allControllers(simulation)) {
        n.clock.resume();
        n.unreachable.clear();
        if (n.controller === null) n.start();
      }
      await expectAllJobsFinish(simulation);
    }),
    { seed: 11, numRuns: 6, endOnFailure: true },
  );
});

test('random troubles, several at once, with standbys: no rule is broken and no job lost', async () => {
  for (const seed of [21, 22, 23, 24]) {
    const simulation = await runUntilBusy(seed, undefined, standby({ degree: 2 }));
    try {
      simulation.isSmooth = false;
      injectFaults(simulation, 60_000);
      await simulation.time.runUntil(64_000);
      await advance(simulation, 22_000);
      await expectAllJobsFinish(simulation);
    } catch (e) {
      if (e instanceof Error)
        e.message = `seed ${seed} at ${simulation.time.now.toFixed(0)} ms: ${e.message}`;
      throw e;
    }
  }
});
