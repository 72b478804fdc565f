/**
 * Fencing of failovers. Guards against two holders of one shard: a former holder that continues to act, and a failover on an
 * outdated view, after the shard or the holder's session has changed. Also guards against standbys that apply replication
 * messages of unknown senders or of former holders.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ViewCommittedState } from '../../../src/controller/committed-state.js';
import { ShardTransfer } from '../../../src/controller/membership/shard-transfer.js';
import { UnavailableError } from '../../../src/core/errors.js';
import { nodeName, version, type NodeName } from '../../../src/core/model/ids.js';
import { key } from '../../../src/core/records/keys.js';
import type { ShardTransferOutcome } from '../../../src/plugin-host/api.js';
import { runUntilBusy } from '../../../test/sim/fault-scenario.js';
import { waitForAnswer } from '../../../test/sim/pipeline-helpers.js';
import { advance, allControllers, currentLeader, holderOf } from '../../../test/sim/run-helpers.js';
import type { SimulatedController } from '../../../test/sim/simulated-controller.js';
import type { Simulation } from '../../../test/sim/simulation.js';
import { TOPIC, decodeAcknowledgement, encodeAppend } from '../src/messages.js';
import { standbyStatusOf, warmStandbyPlugins } from './standby-run-helpers.js';

const transferOf = ({ controller }: SimulatedController) =>
  new ShardTransfer(controller!.context, controller!.membership);
const committedShardOf = ({ controller }: SimulatedController, shard: NodeName) =>
  new ViewCommittedState(controller!.context).shard(shard)!;

/** Lets time pass until `work` is done; returns the kind of its outcome. */
const outcomeOf = async (simulation: Simulation, work: () => Promise<ShardTransferOutcome>) =>
  (await waitForAnswer(simulation, work())).kind;

/** A run with a shard's holder and a candidate for its failover, neither of them the leader. */
async function runWithHolderAndCandidate() {
  const simulation = await runUntilBusy(3);
  const [holder, candidate] = allControllers(simulation).filter(
    (node) => node !== currentLeader(simulation),
  ) as [SimulatedController, SimulatedController];
  return { simulation, holder, candidate, shard: nodeName(holder.name) };
}

describe('fencing of the former holder of a shard', () => {
  // A paused holder would otherwise continue under its session and its leadership when it resumes.
  it("a failover ends session and leadership of the former holder, even if its lease can't be revoked", async () => {
    const simulation = await runUntilBusy(3);
    const holder = currentLeader(simulation);
    const candidate = allControllers(simulation).find((node) => node !== holder)!;
    const shard = nodeName(holder.name);
    const committedShard = committedShardOf(candidate, shard);
    holder.clock.pause();
    const ownRecords = [...simulation.state.rows.keys()].filter(
      (k) => k === key.session(holder.name) || k === key.leader,
    );
    assert.equal(ownRecords.length, 2);
    candidate.controller!.context.state.revokeLease = () => Promise.reject(new UnavailableError('revoke'));
    assert.equal(
      await outcomeOf(simulation, () => transferOf(candidate).failOver(committedShard)),
      'committed',
    );
    assert.equal(holderOf(simulation, shard), candidate.name);
    assert.equal(simulation.state.rows.has(key.session(holder.name)), false);
    assert.notEqual(
      (simulation.state.rows.get(key.leader)?.value as { node: string } | undefined)?.node,
      holder.name,
    );
    holder.clock.resume();
    await advance(simulation, 8000);
  });
});

describe('rejected failovers', () => {
  it('a failover is rejected if the shard has got another holder meanwhile', async () => {
    const { simulation, holder, candidate, shard } = await runWithHolderAndCandidate();
    const committedShard = committedShardOf(candidate, shard);
    const other = currentLeader(simulation);
    assert.equal(
      await outcomeOf(simulation, () => transferOf(other).failOver(committedShardOf(other, shard))),
      'committed',
    );
    assert.equal(
      await outcomeOf(simulation, () => transferOf(candidate).failOver(committedShard)),
      'overtaken',
    );
    assert.notEqual(holderOf(simulation, shard), candidate.name);
    assert.ok(holder.controller !== null);
  });

  it('a holder that has restarted meanwhile keeps its shard', async () => {
    const { simulation, holder, candidate, shard } = await runWithHolderAndCandidate();
    const committedShard = committedShardOf(candidate, shard);
    // The candidate's view lags by 3 s, so it does not show the session that the new process has written.
    candidate.watchLagMs = 3000;
    holder.crash();
    holder.start();
    for (let i = 0; i < 100 && holderOf(simulation, shard) === holder.name; i++) {
      const session = simulation.state.rows.get(key.session(holder.name))?.value as
        { incarnation?: string } | undefined;
      if (session?.incarnation !== undefined && session.incarnation !== committedShard.incarnation) break;
      await advance(simulation, 10);
    }
    const shardRow = simulation.state.rows.get(key.shard(shard))!;
    // The shard's current version, as if the new process had not renewed its shard yet: only the guard on the holder's
    // session can reject the failover.
    const observedShard = { ...committedShard, epoch: version(shardRow.revision) };
    assert.equal(
      await outcomeOf(simulation, () => transferOf(candidate).failOver(observedShard)),
      'overtaken',
    );
    assert.equal(holderOf(simulation, shard), holder.name);
    candidate.watchLagMs = 0;
  });

  it('a controller without a valid session can fail over no shard', async () => {
    const { simulation, candidate, shard } = await runWithHolderAndCandidate();
    const committedShard = committedShardOf(candidate, shard);
    candidate.unreachable.add('state');
    await advance(simulation, 4000);
    assert.equal(
      await outcomeOf(simulation, () => transferOf(candidate).failOver(committedShard)),
      'unavailable',
    );
    assert.notEqual(holderOf(simulation, shard), candidate.name);
  });
});

describe('authentication of replication messages', () => {
  it('messages of unknown senders and of former holders are rejected, and so are malformed ones', async () => {
    const failureDomains = [
      { name: 'one', networks: ['10.0.0.0/32', '10.0.0.2/32'] },
      { name: 'two', networks: ['10.0.0.1/32'] },
    ];
    const simulation = await runUntilBusy(
      3,
      undefined,
      warmStandbyPlugins({ failure_domains: failureDomains }),
    );
    // The receiver has no replica of the shard, so it knows the shard's epoch from its view only.
    const shard = nodeName(currentLeader(simulation).name);
    const receiver = allControllers(simulation).find((node) =>
      standbyStatusOf(node).slices.some((s) => s.slice === shard && s.role === 'none'),
    )!;
    const { epoch } = committedShardOf(receiver, shard);
    const send = async (from: string, messageEpoch: typeof epoch) => {
      const payload = encodeAppend({
        node: shard,
        shard,
        epoch: messageEpoch,
        first: 1,
        entries: [],
        head: 0,
      });
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
    const { rejectedMessages } = standbyStatusOf(receiver);
    assert.ok(rejectedMessages['refused']! >= 1 && rejectedMessages['malformed']! >= 1);
  });
});
