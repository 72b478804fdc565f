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
import type { Node } from '../../../test/sim/simulated-controller.js';
import { LEASE_MS, all, begun, ends, leads, meeting, wait } from '../../../test/sim/fault-scenario.js';
import type { Sim } from '../../../test/sim/simulation.js';
import type { LogEntry } from '../src/entries.js';
import { TOPIC, encodeAppend } from '../src/messages.js';
import { holderOf, shown, standby, standbyOf, takeovers, total } from './standbys.js';

const owners = (sim: Sim) => all(sim).filter((n) => n !== leads(sim));
const SEEDS = [3, 8];
const play = (name: string, what: (sim: Sim) => Promise<void>, options: object = {}, seeds = SEEDS) => {
  meeting(name, what, seeds, standby(options));
};

/** Waits until the slice has another holder than the one given; how long that took. */
async function untilTaken(sim: Sim, slice: string, from: string, mostMs: number): Promise<number> {
  const start = sim.world.now;
  while (holderOf(sim, slice) === from) {
    assert.ok(sim.world.now - start < mostMs, `${slice} is still with ${from} after ${mostMs} ms`);
    await wait(sim, 20);
  }
  return sim.world.now - start;
}

test('every slice has a warm standby in another zone, that follows it closely', async () => {
  const sim = await begun(3, undefined, standby());
  for (const node of all(sim))
    for (const s of shown(node).slices) {
      if (s.role === 'holder') {
        assert.equal(s.standbys.length, 1);
        assert.notEqual(sim.nodes.get(s.standbys[0]!)!.zone, node.zone);
        assert.deepEqual(
          s.followers?.map((f) => f.status),
          ['following'],
        );
      }
      if (s.role === 'standby') assert.equal(s.warm, true, `${node.name} is warm for ${s.slice}`);
    }
  assert.equal(total(sim, 'suspicions'), 0, 'nobody is suspected while nothing is wrong');
});

play('a killed controller has its slice taken over before its session ends', async (sim) => {
  const [node] = owners(sim);
  const expected = standbyOf(sim, node!.name);
  node!.crash();
  const tookMs = await untilTaken(sim, node!.name, node!.name, 1900);
  assert.ok(tookMs < 1900);
  assert.equal(holderOf(sim, node!.name), expected.name);
  await wait(sim, LEASE_MS);
  const [takeover] = shown(expected).takeovers;
  assert.deepEqual([takeover?.cause, takeover?.warm], ['suspicion', true]);
  assert.equal(sim.fleet.leasesLost, 0);
  node!.start();
});

play('the leader is killed: another one leads before its session ends', async (sim) => {
  const leader = leads(sim);
  leader.crash();
  await untilTaken(sim, leader.name, leader.name, 1900);
  await wait(sim, 300);
  assert.notEqual(sim.leader(), leader);
  assert.ok(sim.leader() !== undefined, 'somebody leads');
  leader.start();
});

play('a paused controller wakes up after its slice was taken, follows, and gets it back', async (sim) => {
  const [node] = owners(sim);
  const taker = standbyOf(sim, node!.name);
  node!.clock.pause();
  await untilTaken(sim, node!.name, node!.name, 1900);
  for (const ms of [100, 3000]) {
    await wait(sim, ms);
    node!.clock.resume();
    await wait(sim, 600);
    node!.clock.pause();
  }
  await wait(sim, 500);
  node!.clock.resume();
  await wait(sim, 15_000);
  assert.ok(shown(taker).counts.falseTakeovers >= 1, 'it was alive, and that is counted');
  assert.equal(holderOf(sim, node!.name), node!.name, 'it has its slice back');
  assert.ok(shown(standbyOf(sim, node!.name)).slices.some((s) => s.slice === node!.name && s.warm === true));
});

play('a pause shorter than the suspicion moves nothing', async (sim) => {
  const [node] = owners(sim);
  for (let i = 0; i < 10; i++) {
    node!.clock.pause();
    await wait(sim, 250);
    node!.clock.resume();
    await wait(sim, 700);
  }
  assert.equal(total(sim, 'taken'), 0);
});

play('a cut between holder and standby is not taken for death', async (sim) => {
  const [node] = owners(sim);
  const follower = standbyOf(sim, node!.name);
  follower.cutFrom.add(node!.name);
  await wait(sim, 8000);
  assert.equal(holderOf(sim, node!.name), node!.name);
  assert.ok(shown(follower).counts.suspicions > 0, 'it was suspected');
  assert.ok(shown(follower).counts.refuted > 0, 'and the third controller reached it');
  assert.equal(total(sim, 'taken'), 0);
  follower.cutFrom.clear();
  await wait(sim, 4000);
  assert.ok(
    shown(follower).slices.some((s) => s.slice === node!.name && s.warm === true),
    'it has caught up',
  );
});

play('a network split three ways confirms nothing', async (sim) => {
  const nodes = all(sim);
  for (const n of nodes) n.cut.add('peers');
  await wait(sim, 8000);
  assert.equal(total(sim, 'taken'), 0);
  for (const n of nodes) n.cut.delete('peers');
});

play(
  'holder and standby crash together: the leader assigns the slice once the session is over',
  async (sim) => {
    const leader = leads(sim);
    const node = owners(sim).find((n) => standbyOf(sim, n.name) !== leader) ?? owners(sim)[0]!;
    const follower = standbyOf(sim, node.name);
    if (follower === leader) return;
    node.crash();
    follower.crash();
    await untilTaken(sim, node.name, node.name, 8000);
    assert.equal(holderOf(sim, node.name), leader.name);
    node.start();
    follower.start();
  },
);

play('the standby is paused when the holder is killed, and wakes up in the middle', async (sim) => {
  const [node] = owners(sim);
  const follower = standbyOf(sim, node!.name);
  follower.clock.pause();
  node!.crash();
  await wait(sim, 1200);
  follower.clock.resume();
  await untilTaken(sim, node!.name, node!.name, 8000);
  node!.start();
});

play('the state service is away when the holder dies', async (sim) => {
  const [node] = owners(sim);
  sim.state.setOutage(true);
  await wait(sim, 300);
  node!.crash();
  await wait(sim, 3000);
  assert.equal(holderOf(sim, node!.name), node!.name, 'nothing can be taken now');
  sim.state.setOutage(false);
  await untilTaken(sim, node!.name, node!.name, 5000);
  node!.start();
});

play('takeovers of a holder that freezes again and again are spaced', async (sim) => {
  const [node] = owners(sim);
  let moves = 0;
  let before = holderOf(sim, node!.name);
  const count = () => {
    const now = holderOf(sim, node!.name);
    if (now !== before) moves++;
    before = now;
  };
  for (let i = 0; i < 12; i++) {
    node!.clock.pause();
    await wait(sim, 1100);
    count();
    node!.clock.resume();
    await wait(sim, 1500);
    count();
  }
  assert.ok(moves <= 10, `${moves} changes of holder in half a minute`);
  await wait(sim, 3000);
});

play('a controller without the package is no standby, and harms none', async (sim) => {
  const old = owners(sim)[0]!;
  old.crash();
  old.packages = () => [];
  old.start();
  await wait(sim, 6000);
  const others = all(sim).filter((n) => n !== old);
  const statuses = others.flatMap((n) =>
    shown(n).slices.flatMap((s) => (s.followers ?? []).map((f) => [f.standby, f.status])),
  );
  for (const [name, status] of statuses) assert.equal(status, name === old.name ? 'silent' : 'following');
  old.crash();
  await untilTaken(sim, old.name, old.name, 8000);
  old.start();
});

const handover = (node: Node, body: object = {}) =>
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

play('a planned handover goes to the warm standby at once, and comes back after the restart', async (sim) => {
  for (const node of [owners(sim)[0]!, leads(sim)]) {
    const to = standbyOf(sim, node.name);
    const answer = await answered(sim, handover(node), HANDOVER_MS);
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    assert.equal(holderOf(sim, node.name), to.name);
    await wait(sim, 500);
    assert.notEqual(sim.leader(), node, 'it does not lead any more');
    assert.equal(holderOf(sim, node.name), to.name, 'the leader does not give it back');
    node.crash();
    node.start();
    await wait(sim, 9000);
    assert.equal(holderOf(sim, node.name), node.name, 'it is back where it belongs');
    assert.equal(sim.fleet.leasesLost, 0);
  }
  const causes = new Set(takeovers(sim).map((t) => t.cause));
  assert.ok(causes.has('handover'));
});

play('a handover is refused with its reason where no standby is ready', async (sim) => {
  const [node] = owners(sim);
  const follower = standbyOf(sim, node!.name);
  follower.cut.add('peers');
  const answer = await answered(sim, handover(node!), HANDOVER_MS);
  assert.equal(answer.status, 409);
  assert.equal(holderOf(sim, node!.name), node!.name, 'it keeps what it holds');
  assert.match(JSON.stringify(answer.body.refused), /does not (keep up|answer)/);
  follower.cut.clear();
  assert.equal((await answered(sim, handover(node!, { to: 'nobody' }), HANDOVER_MS)).status, 400);
  assert.equal((await answered(sim, handover(node!, { too: 1 }), HANDOVER_MS)).status, 400);
});

play('what was logged and never committed is not carried out after a takeover', async (sim) => {
  const [node] = owners(sim);
  const taker = standbyOf(sim, node!.name);
  const shard = nodeName(node!.name);
  const { epoch } = new ViewCommittedFacts(taker.controller!.context).shard(shard)!;
  const machine = [...sim.fleet.machines.keys()].map(machineName);
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
  await untilTaken(sim, shard, shard, 4000);
  // The stand-ins for the workers fail the run where a job is started that nobody submitted.
  await wait(sim, LEASE_MS);
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

function beginFault(node: Node, kind: string): () => void {
  const cut = (...from: ('state' | 'workers' | 'peers')[]) => {
    for (const x of from) node.cut.add(x);
    return () => {
      for (const x of from) node.cut.delete(x);
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
      const sim = await begun(5, undefined, standby({ degree: 2 }));
      const ended: (() => void)[] = [];
      for (const { kind, node, afterMs, forMs } of list) {
        await wait(sim, afterMs);
        const end = beginFault(all(sim)[node]!, kind);
        ended.push(end);
        sim.world.after(forMs, end);
      }
      await wait(sim, 9000);
      for (const end of ended) end();
      for (const n of all(sim)) {
        n.clock.resume();
        n.cut.clear();
        if (n.controller === null) n.start();
      }
      await ends(sim);
    }),
    { seed: 11, numRuns: 6, endOnFailure: true },
  );
});

test('random troubles, several at once, with standbys: no rule is broken and no job lost', async () => {
  for (const seed of [21, 22, 23, 24]) {
    const sim = await begun(seed, undefined, standby({ degree: 2 }));
    try {
      sim.smooth = false;
      sim.troubles(60_000);
      await sim.world.runUntil(64_000);
      await wait(sim, 22_000);
      await ends(sim);
    } catch (e) {
      if (e instanceof Error) e.message = `seed ${seed} at ${sim.world.now.toFixed(0)} ms: ${e.message}`;
      throw e;
    }
  }
});
