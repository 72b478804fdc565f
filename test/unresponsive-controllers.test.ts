/**
 * Controllers whose processes pause with their connections open, and resume with their state from before. The other
 * controllers must take over their shards and the leadership meanwhile. The tests guard against a resumed controller that
 * acts on outdated state: timers, buffered messages and requests that were pending are all processed when it resumes.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { parseKey } from '../src/core/records/keys.js';
import { LEASE_MS, faultScenario, runUntilBusy } from './sim/fault-scenario.js';
import {
  advance,
  allControllers,
  busyAgents,
  cancelRunningJobs,
  cancelledJobs,
  currentLeader,
  holderOf,
} from './sim/run-helpers.js';
import type { SimulatedController } from './sim/simulated-controller.js';
import type { Simulation } from './sim/simulation.js';

/** Length of a pause that is longer than any lease, and longer than an agent needs to try all controllers. */
const PAUSE_MS = 24_000;
/** Time in which a shard gets another holder: sessions expire after 2 s in these runs (docs/design.md). */
const TAKEOVER_MS = 5000;

const nonLeaders = (simulation: Simulation) =>
  allControllers(simulation).filter((node) => node !== currentLeader(simulation));
/** Pauses controllers for `ms`, and then resumes them. */
async function pauseAndResume(
  simulation: Simulation,
  nodes: readonly SimulatedController[],
  ms: number,
): Promise<void> {
  for (const node of nodes) node.clock.pause();
  await advance(simulation, ms);
  for (const node of nodes) node.clock.resume();
}

/**
 * Guards against a slow failover that moves machines with a transaction each: agents would be without a controller until
 * their leases expire.
 */
describe('failover of the shard of a paused controller', () => {
  it('the shard of a paused controller has another holder within the bound, by one transaction', async () => {
    const simulation = await runUntilBusy(3);
    const [node] = nonLeaders(simulation);
    const { name } = node!;
    const machinesInShard = () =>
      [...simulation.state.rows]
        .filter(([k, r]) => parseKey(k).kind === 'machine' && (r.value as { owner: string }).owner === name)
        .map(([k]) => k);
    const before = machinesInShard();
    node!.clock.pause();
    await advance(simulation, TAKEOVER_MS);
    assert.notEqual(holderOf(simulation, name), name);
    const after = new Set(machinesInShard());
    const moved = before.filter((k) => simulation.state.rows.has(k) && !after.has(k));
    assert.ok(
      moved.length <= before.length / 2,
      `${moved.length} of ${before.length} machine records got another owner`,
    );
    // The agents of the shard must find its new holder before their leases expire.
    await advance(simulation, LEASE_MS);
    assert.equal(simulation.cluster.tasksLostToLeaseExpiry, 0);
    assert.deepEqual(
      simulation.cluster.liveAgents().filter((agent) => agent.controller === name && agent.tasks.size > 0),
      [],
    );
    node!.clock.resume();
    await advance(simulation, TAKEOVER_MS);
    assert.equal(holderOf(simulation, name), name, 'the resumed controller did not get its shard back');
  });
});

/**
 * Guards against tasks of cancelled jobs that run again, and against jobs that are accepted twice. Both come about when a
 * resumed controller completes what it decided before its pause.
 */
describe('controllers that pause and resume with their old state', () => {
  faultScenario(
    'while the leader is paused, jobs are cancelled and no retried submission is accepted again',
    async (simulation) => {
      const leader = currentLeader(simulation);
      leader.clock.pause();
      cancelRunningJobs(simulation, 4);
      await advance(simulation, TAKEOVER_MS);
      assert.notEqual(currentLeader(simulation), leader, 'no other controller leads');
      for (let i = 0; i < 20; i++) {
        for (const id of simulation.runningJobs()) simulation.users.retrySubmission(id);
        await advance(simulation, (PAUSE_MS - TAKEOVER_MS) / 20);
      }
      assert.ok(cancelledJobs(simulation).length > 0, 'no job was cancelled');
      leader.clock.resume();
    },
  );

  faultScenario(
    'all jobs end when an owner is paused while the running ones are cancelled',
    async (simulation) => {
      const [node] = nonLeaders(simulation);
      node!.clock.pause();
      await advance(simulation, 100);
      for (const id of simulation.runningJobs()) simulation.cancel(id);
      await advance(simulation, PAUSE_MS);
      node!.clock.resume();
    },
  );

  faultScenario('jobs finish when the leader and another controller are paused', async (simulation) => {
    const [node] = nonLeaders(simulation);
    await pauseAndResume(simulation, [node!, currentLeader(simulation)], PAUSE_MS);
  });

  faultScenario('jobs finish when all controllers are paused for longer than a lease', async (simulation) => {
    await pauseAndResume(simulation, allControllers(simulation), LEASE_MS * 1.5);
    assert.ok(simulation.cluster.tasksLostToLeaseExpiry > 0, 'agents did not kill their tasks');
  });
});

/**
 * Guards against the effects of outdated state where the resumed controller meets other faults: another pause, a partition,
 * an outage of the state service or delayed heartbeats.
 */
describe('controllers that resume among other faults', () => {
  faultScenario(
    'jobs finish when the current leader is paused, five times in a row with short breaks',
    async (simulation) => {
      for (let i = 0; i < 5; i++) {
        await pauseAndResume(simulation, [currentLeader(simulation)], i % 2 === 0 ? 9000 : 1900);
        await advance(simulation, 400);
      }
    },
  );

  faultScenario(
    'jobs finish when one controller loses its agents and another is paused',
    async (simulation) => {
      const [partitioned, paused] = nonLeaders(simulation);
      partitioned!.unreachable.add('agents');
      await pauseAndResume(simulation, [paused!], PAUSE_MS);
      partitioned!.unreachable.clear();
    },
  );

  faultScenario('jobs finish when a paused leader resumes during a state outage', async (simulation) => {
    const leader = currentLeader(simulation);
    leader.clock.pause();
    cancelRunningJobs(simulation, 3);
    await advance(simulation, 8000);
    simulation.state.setOutage(true);
    leader.clock.resume();
    await advance(simulation, LEASE_MS * 1.5);
    cancelRunningJobs(simulation, 3);
    simulation.state.setOutage(false);
  });

  faultScenario('jobs finish when delayed heartbeats reach a leader as it resumes', async (simulation) => {
    simulation.duplicateHeartbeatProbability = 1;
    const leader = currentLeader(simulation);
    for (let i = 0; i < 3; i++) {
      leader.clock.pause();
      const hungAgents = busyAgents(simulation).slice(0, 2);
      cancelRunningJobs(simulation, 2);
      for (const agent of hungAgents) agent.isHung = true;
      await advance(simulation, LEASE_MS * 0.8);
      for (const agent of hungAgents) if (!agent.isTerminated) agent.resume();
      leader.clock.resume();
      await advance(simulation, 3000);
    }
    simulation.duplicateHeartbeatProbability = 0;
  });
});
