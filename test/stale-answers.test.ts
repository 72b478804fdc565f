/**
 * Controllers that have lost a shard, or whose view is old, and the agents of that shard. An agent stays with the
 * controller that answers it 200, also if it drops the answer because of its token: its lease then runs out there, and its
 * tasks are killed, while other controllers could answer (review/5). The runs also fail, whatever the scenario, if an
 * answer carries a lower token than the agent has reported.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { machineName, nodeName } from '../src/core/model/ids.js';
import { key } from '../src/core/records/keys.js';
import { heartbeatFromWire } from '../src/io/agents/agent-messages.js';
import { LEASE_MS, faultScenario, runUntilBusy } from './sim/fault-scenario.js';
import { advance, advanceUntil, busyAgents, currentLeader, holderOf } from './sim/run-helpers.js';
import type { SimulatedAgent } from './sim/simulated-agent.js';
import type { SimulatedController } from './sim/simulated-controller.js';
import type { Simulation } from './sim/simulation.js';

/** Time after which a crashed controller is back. */
const RESTART_MS = 500;
/** Length of a session in these runs. */
const SESSION_MS = 2000;
/** Time in which a shard gets another holder once its holder's session has ended. */
const TAKEOVER_MS = 5000;
/** The state service answers a transaction within this time. */
const ANSWER_MS = 20;
const SEEDS = [3, 8];

/** The controller that holds the shard of the machine, according to the state service. */
function holderOfMachine(simulation: Simulation, agent: SimulatedAgent): string {
  const { owner } = simulation.state.rows.get(key.machine(machineName(agent.name)))!.value as {
    owner: string;
  };
  return holderOf(simulation, owner)!;
}

/** Runs `act` when a transaction gives the shard to the controller, before the controller has the answer. */
function whenAcquired(simulation: Simulation, shard: string, node: string, act: () => void): void {
  let isDone = false;
  simulation.state.onApplied = (changes) => {
    const isAcquired = changes.some(
      ({ write, value }) =>
        write === key.shard(nodeName(shard)) && (value as { holder: string }).holder === node,
    );
    if (!isAcquired || isDone) return;
    isDone = true;
    act();
  };
}

/** The state service refuses the controller alone, and its open watch waits; as in review/5. */
function refuse(node: SimulatedController): void {
  node.isRefusedByState = true;
  node.isWatchHeldBack = true;
}

function recover(node: SimulatedController): void {
  node.isRefusedByState = false;
  node.isWatchHeldBack = false;
  node.unreachable.clear();
}

/** How a controller loses touch at the moment at which it gets a shard. */
const TROUBLES: Readonly<Record<string, (simulation: Simulation, node: SimulatedController) => void>> = {
  'the state service refuses it': (_, node) => {
    refuse(node);
  },
  'it loses the state service and its peers': ({ time }, node) => {
    node.isWatchHeldBack = true;
    time.after(ANSWER_MS, () => {
      node.unreachable.add('state').add('peers');
    });
  },
};

/** How a controller gets a shard. Each injects the trouble with the acquisition, and returns the controller. */
const ACQUISITIONS: Readonly<
  Record<
    string,
    (simulation: Simulation, trouble: (node: SimulatedController) => void) => Promise<SimulatedController>
  >
> = {
  'acquires its own shard after a restart': async (simulation, trouble) => {
    const node = currentLeader(simulation);
    whenAcquired(simulation, node.name, node.name, () => {
      trouble(node);
    });
    node.crash();
    await advance(simulation, RESTART_MS);
    node.start();
    return node;
  },
  'takes over the shard of a crashed controller': async (simulation, trouble) => {
    const leader = currentLeader(simulation);
    const [crashed, third] = [...simulation.controllers.values()].filter((node) => node !== leader);
    whenAcquired(simulation, crashed!.name, leader.name, () => {
      trouble(leader);
    });
    // Without the third controller the leader itself takes over.
    crashed!.crash();
    third!.crash();
    await advanceUntil(simulation, () => holderOf(simulation, crashed!.name) === leader.name, TAKEOVER_MS);
    crashed!.start();
    third!.start();
    return leader;
  },
  'gives a shard back to the controller that it is named after': async (simulation, trouble) => {
    const leader = currentLeader(simulation);
    const [returned, holder] = [...simulation.controllers.values()].filter((node) => node !== leader);
    // The leader holds its own shard, so that the third controller takes over the shard of the crashed one.
    returned!.crash();
    await advanceUntil(
      simulation,
      () => holderOf(simulation, returned!.name) !== returned!.name,
      TAKEOVER_MS,
    );
    const former = simulation.controllers.get(holderOf(simulation, returned!.name)!)!;
    assert.ok(former === holder || former === leader);
    whenAcquired(simulation, returned!.name, returned!.name, () => {
      trouble(former);
    });
    returned!.start();
    await advanceUntil(
      simulation,
      () => holderOf(simulation, returned!.name) === returned!.name,
      TAKEOVER_MS,
    );
    return former;
  },
};

for (const [acquisition, acquire] of Object.entries(ACQUISITIONS))
  describe(`a controller that ${acquisition}`, () => {
    for (const [trouble, inject] of Object.entries(TROUBLES))
      faultScenario(
        `costs no agent its lease if ${trouble} at that moment`,
        async (simulation) => {
          const lostBefore = simulation.cluster.tasksLostToLeaseExpiry;
          let isInjected = false;
          const node = await acquire(simulation, (troubled) => {
            isInjected = true;
            inject(simulation, troubled);
          });
          await advance(simulation, SESSION_MS + TAKEOVER_MS + 2 * LEASE_MS);
          assert.ok(isInjected, 'the controller did not acquire the shard');
          const held = busyAgents(simulation).filter((agent) => agent.controller === node.name);
          assert.deepEqual(
            held.map(({ name }) => name),
            [],
            'agents stay with a controller that may not act for them',
          );
          assert.equal(simulation.cluster.tasksLostToLeaseExpiry, lostBefore, 'tasks were killed');
          recover(node);
        },
        SEEDS,
      );
  });

/** A heartbeat of the agent that has seen the token, as its controller reads it. */
function heartbeatWith(agent: SimulatedAgent, token: number) {
  return heartbeatFromWire({
    teller: agent.name,
    endpoint: agent.name,
    flavor: 'm',
    vault: agent.zone,
    loaner: agent.isSpot,
    shift: agent.agentEpoch,
    tally: agent.sequence + 1,
    mandate: token,
    recallS: null,
    shards: [],
  })!;
}

/** A run, an agent of the leader's shard, the leader as its holder, and the token under which the holder commands it. */
async function runWithHolder(seed: number) {
  const simulation = await runUntilBusy(seed);
  const node = currentLeader(simulation);
  const agent = simulation.cluster
    .liveAgents()
    .find((live) => holderOfMachine(simulation, live) === node.name)!;
  return { simulation, agent, node, token: agent.token };
}

/** Restarts the holder, and holds its watch back from when it acquires its shard; returns once it has the answer. */
async function restartWithoutWatch(simulation: Simulation, node: SimulatedController): Promise<void> {
  whenAcquired(simulation, node.name, node.name, () => {
    node.isWatchHeldBack = true;
  });
  node.crash();
  await advance(simulation, RESTART_MS);
  node.start();
  await advanceUntil(simulation, () => node.isWatchHeldBack, TAKEOVER_MS);
  await advance(simulation, ANSWER_MS);
}

/** Fails if the controller answers 200 to an agent that has seen the token, at any time within `ms`. */
async function expectNoAnswers(
  simulation: Simulation,
  node: SimulatedController,
  { agent, token, ms }: { agent: SimulatedAgent; token: number; ms: number },
): Promise<void> {
  for (const end = simulation.time.now + ms; simulation.time.now < end;) {
    await advance(simulation, 10);
    const reply = node.controller!.heartbeats.answer(heartbeatWith(agent, token));
    assert.notEqual(reply.kind, 'ok', `answered with 200 at ${simulation.time.now} ms`);
  }
}

describe('a former holder with an old view', () => {
  for (const seed of SEEDS) {
    // A session that is opened again is valid, but says nothing about the shards that the earlier session held.
    it(`does not answer under a new session before its view shows what happened, seed ${seed}`, async () => {
      const { simulation, agent, node, token } = await runWithHolder(seed);
      refuse(node);
      await advance(simulation, SESSION_MS + TAKEOVER_MS);
      assert.notEqual(holderOfMachine(simulation, agent), node.name);
      node.isRefusedByState = false;
      await expectNoAnswers(simulation, node, { agent, token, ms: 3000 });
    });

    // What the peers answered before the pause is read after it, together with the heartbeats.
    it(`does not rely on what its peers said before it was paused, seed ${seed}`, async () => {
      const { simulation, agent, node, token } = await runWithHolder(seed);
      simulation.state.setOutage(true);
      await advanceUntil(simulation, () => node.controller!.availability.isStateOutage, TAKEOVER_MS);
      await pauseWhilePeersAnswer(simulation, node);
      simulation.state.setOutage(false);
      refuse(node);
      await advance(simulation, SESSION_MS + TAKEOVER_MS);
      assert.notEqual(holderOfMachine(simulation, agent), node.name);
      node.clock.resume();
      await expectNoAnswers(simulation, node, { agent, token, ms: 3000 });
    });

    // Heartbeats that have arrived during the pause are read before any timer runs.
    it(`does not answer after a pause that began as it acquired its shard, seed ${seed}`, async () => {
      const { simulation, agent, node, token } = await runWithHolder(seed);
      await restartWithoutWatch(simulation, node);
      node.clock.pause();
      refuse(node);
      await advance(simulation, SESSION_MS + TAKEOVER_MS);
      assert.notEqual(holderOfMachine(simulation, agent), node.name);
      node.clock.resume();
      await expectNoAnswers(simulation, node, { agent, token, ms: 3000 });
    });
  }
});

/** Pauses the controller after its next question to its peers, before it has their answers. */
async function pauseWhilePeersAnswer(simulation: Simulation, node: SimulatedController): Promise<void> {
  let isPaused = false;
  node.onContactAsked = () => {
    isPaused = true;
    node.clock.pause();
  };
  await advanceUntil(simulation, () => isPaused, TAKEOVER_MS);
}

describe('a controller that has acquired a shard', () => {
  for (const seed of SEEDS)
    // Otherwise each restart would cost the agents a second or more, beside the time of the failover.
    it(`answers its agents at once, before its view has reached the acquisition, seed ${seed}`, async () => {
      const { simulation, agent, node, token } = await runWithHolder(seed);
      await restartWithoutWatch(simulation, node);
      const reply = node.controller!.heartbeats.answer(heartbeatWith(agent, token));
      assert.ok(reply.kind === 'ok', `answered ${reply.kind}`);
      assert.ok(reply.token > token, `token ${reply.token} after ${token}`);
      assert.deepEqual(reply.commands, []);
    });
});
