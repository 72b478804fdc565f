/** What a takeover rests on: guarded transactions, and standbys that believe neither strangers nor former holders. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ViewCommittedFacts } from '../../../src/controller/committed-facts.js';
import { ShardTransfer } from '../../../src/controller/membership/shard-transfer.js';
import { UnavailableError } from '../../../src/core/errors.js';
import { nodeName, version, type NodeName } from '../../../src/core/model/ids.js';
import { key } from '../../../src/core/records/keys.js';
import type { ShardTransferOutcome } from '../../../src/plugin-host/api.js';
import { runUntilBusy } from '../../../test/sim/fault-scenario.js';
import { answered } from '../../../test/sim/pipeline-helpers.js';
import { advance, allControllers, currentLeader, holderOf } from '../../../test/sim/run-helpers.js';
import type { SimulatedController } from '../../../test/sim/simulated-controller.js';
import type { Simulation } from '../../../test/sim/simulation.js';
import { TOPIC, decodeAcknowledgement, encodeAppend } from '../src/messages.js';
import { shown, standby } from './standbys.js';

const transferOf = ({ controller }: SimulatedController) =>
  new ShardTransfer(controller!.context, controller!.membership);
const factOf = ({ controller }: SimulatedController, shard: NodeName) =>
  new ViewCommittedFacts(controller!.context).shard(shard)!;

/** The outcome of what a controller does, while the run goes on. */
const outcomeOf = async (simulation: Simulation, work: () => Promise<ShardTransferOutcome>) =>
  (await answered(simulation, work())).kind;

async function threeNodes() {
  const simulation = await runUntilBusy(3);
  const [victim, taker] = allControllers(simulation).filter((node) => node !== currentLeader(simulation)) as [
    SimulatedController,
    SimulatedController,
  ];
  return { simulation, victim, taker, shard: nodeName(victim.name) };
}

describe('fencing of the former holder of a shard', () => {
  it("a failover ends session and leadership of the holder, even where its lease can't be revoked", async () => {
    const simulation = await runUntilBusy(3);
    const victim = currentLeader(simulation);
    const taker = allControllers(simulation).find((node) => node !== victim)!;
    const shard = nodeName(victim.name);
    const fact = factOf(taker, shard);
    victim.clock.pause();
    const before = [...simulation.state.rows.keys()].filter(
      (k) => k === key.session(victim.name) || k === key.leader,
    );
    assert.equal(before.length, 2);
    taker.controller!.context.state.revokeLease = () => Promise.reject(new UnavailableError('revoke'));
    assert.equal(await outcomeOf(simulation, () => transferOf(taker).failOver(fact)), 'committed');
    assert.equal(holderOf(simulation, shard), taker.name);
    assert.equal(simulation.state.rows.has(key.session(victim.name)), false);
    assert.notEqual(
      (simulation.state.rows.get(key.leader)?.value as { node: string } | undefined)?.node,
      victim.name,
    );
    victim.clock.resume();
    await advance(simulation, 8000);
  });
});

describe('rejected failovers', () => {
  it('a failover is rejected when the shard has another holder meanwhile', async () => {
    const { simulation, victim, taker, shard } = await threeNodes();
    const fact = factOf(taker, shard);
    const other = currentLeader(simulation);
    assert.equal(
      await outcomeOf(simulation, () => transferOf(other).failOver(factOf(other, shard))),
      'committed',
    );
    assert.equal(await outcomeOf(simulation, () => transferOf(taker).failOver(fact)), 'overtaken');
    assert.notEqual(holderOf(simulation, shard), taker.name);
    assert.ok(victim.controller !== null);
  });

  it('a holder that has restarted meanwhile keeps its shard', async () => {
    const { simulation, victim, taker, shard } = await threeNodes();
    const fact = factOf(taker, shard);
    // The new process has written its session, and the taker's view lags behind.
    taker.watchLagMs = 3000;
    victim.crash();
    victim.start();
    for (let i = 0; i < 100 && holderOf(simulation, shard) === victim.name; i++) {
      const session = simulation.state.rows.get(key.session(victim.name))?.value as
        { incarnation?: string } | undefined;
      if (session?.incarnation !== undefined && session.incarnation !== fact.incarnation) break;
      await advance(simulation, 10);
    }
    const shardRow = simulation.state.rows.get(key.shard(shard))!;
    // As if the new process had not renewed its shard yet: then only its session prevents the failover.
    const asSeen = { ...fact, epoch: version(shardRow.revision) };
    assert.equal(await outcomeOf(simulation, () => transferOf(taker).failOver(asSeen)), 'overtaken');
    assert.equal(holderOf(simulation, shard), victim.name);
    taker.watchLagMs = 0;
  });

  it('a controller without a session fails over no shard', async () => {
    const { simulation, taker, shard } = await threeNodes();
    const fact = factOf(taker, shard);
    taker.unreachable.add('state');
    await advance(simulation, 4000);
    assert.equal(await outcomeOf(simulation, () => transferOf(taker).failOver(fact)), 'unavailable');
    assert.notEqual(holderOf(simulation, shard), taker.name);
  });
});

describe('authentication of replication messages', () => {
  it('a standby rejects messages of unknown senders and of a former holder of the shard', async () => {
    const domains = [
      { name: 'one', networks: ['10.0.0.0/32', '10.0.0.2/32'] },
      { name: 'two', networks: ['10.0.0.1/32'] },
    ];
    const simulation = await runUntilBusy(3, undefined, standby({ failure_domains: domains }));
    // A controller without a replica of the shard, so that it does not know the epoch from one.
    const shard = nodeName(currentLeader(simulation).name);
    const receiver = allControllers(simulation).find((node) =>
      shown(node).slices.some((s) => s.slice === shard && s.role === 'none'),
    )!;
    const { epoch } = factOf(receiver, shard);
    const send = async (from: string, of: typeof epoch) => {
      const payload = encodeAppend({ node: shard, shard, epoch: of, first: 1, entries: [], head: 0 });
      const reply = await receiver.controller!.channel.answer(TOPIC.append, payload, from);
      return decodeAcknowledgement(reply!).status;
    };
    assert.equal(await send('10.9.9.9', epoch), 'refused');
    assert.equal(await send('10.0.0.1', version(epoch - 1)), 'stale');
    assert.notEqual(await send('::ffff:10.0.0.1', epoch), 'refused');
    const reply = await receiver.controller!.channel.answer(
      TOPIC.append,
      new Uint8Array([1, 2, 3]),
      '10.0.0.1',
    );
    assert.equal(decodeAcknowledgement(reply!).status, 'malformed');
    assert.equal(
      await receiver.controller!.channel.answer('another.topic', new Uint8Array([1]), '10.0.0.1'),
      null,
    );
    const { rejectedMessages } = shown(receiver);
    assert.ok(rejectedMessages['refused']! >= 1 && rejectedMessages['malformed']! >= 1);
  });
});
