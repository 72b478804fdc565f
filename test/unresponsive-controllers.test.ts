/**
 * Controllers that stand still with their connections open, and go on later with what they knew before. The others take
 * over what they held; whatever was due, buffered or under way in them when they wake up harms nobody.
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

/** Longer than any lease, and than an agent needs to try all controllers. */
const PAUSE_MS = 24_000;
/** Sessions expire after 2 s in these runs; then the shard gets another holder (docs/design.md). */
const TAKEOVER_MS = 5000;

const owners = (simulation: Simulation) =>
  allControllers(simulation).filter((node) => node !== currentLeader(simulation));
/** Pauses controllers for a time. */
async function pauseAndResume(
  simulation: Simulation,
  nodes: readonly SimulatedController[],
  ms: number,
): Promise<void> {
  for (const node of nodes) node.clock.pause();
  await advance(simulation, ms);
  for (const node of nodes) node.clock.resume();
}

describe('failover of the shard of a paused controller', () => {
  it('the shard of a paused controller has another holder within the bound, by one transaction', async () => {
    const simulation = await runUntilBusy(3);
    const [node] = owners(simulation);
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
      `${moved.length} of ${before.length} machines were moved singly`,
    );
    // Its agents have found the new holder before their leases expired.
    await advance(simulation, LEASE_MS);
    assert.equal(simulation.cluster.tasksLostToLeaseExpiry, 0);
    assert.deepEqual(
      simulation.cluster.liveAgents().filter((agent) => agent.controller === name && agent.tasks.size > 0),
      [],
    );
    node!.clock.resume();
    await advance(simulation, TAKEOVER_MS);
    assert.equal(holderOf(simulation, name), name, 'it holds its shard');
  });
});

describe('controllers that pause and resume with their old state', () => {
  faultScenario('the leader is paused during cancellations and retried submissions', async (simulation) => {
    const leader = currentLeader(simulation);
    leader.clock.pause();
    cancelRunningJobs(simulation, 4);
    await advance(simulation, TAKEOVER_MS);
    assert.notEqual(currentLeader(simulation), leader, 'another controller leads');
    for (let i = 0; i < 20; i++) {
      for (const id of simulation.runningJobs()) simulation.users.retrySubmission(id);
      await advance(simulation, (PAUSE_MS - TAKEOVER_MS) / 20);
    }
    assert.ok(cancelledJobs(simulation).length > 0, 'jobs were cancelled');
    leader.clock.resume();
  });

  faultScenario('an owner is paused while all running jobs are cancelled', async (simulation) => {
    const [node] = owners(simulation);
    node!.clock.pause();
    await advance(simulation, 100);
    for (const id of simulation.runningJobs()) simulation.cancel(id);
    await advance(simulation, PAUSE_MS);
    node!.clock.resume();
  });

  faultScenario('two controllers are paused at the same time', async (simulation) => {
    const [one] = owners(simulation);
    await pauseAndResume(simulation, [one!, currentLeader(simulation)], PAUSE_MS);
  });

  faultScenario('all controllers are paused for longer than a lease', async (simulation) => {
    await pauseAndResume(simulation, allControllers(simulation), LEASE_MS * 1.5);
    assert.ok(simulation.cluster.tasksLostToLeaseExpiry > 0, 'agents killed their tasks');
  });
});

describe('controllers that resume among other faults', () => {
  faultScenario('a controller is paused repeatedly, shortly after each resume', async (simulation) => {
    for (let i = 0; i < 5; i++) {
      await pauseAndResume(simulation, [currentLeader(simulation)], i % 2 === 0 ? 9000 : 1900);
      await advance(simulation, 400);
    }
  });

  faultScenario('a controller is partitioned from agents while another is paused', async (simulation) => {
    const [one, two] = owners(simulation);
    one!.unreachable.add('workers');
    await pauseAndResume(simulation, [two!], PAUSE_MS);
    one!.unreachable.clear();
  });

  faultScenario('a paused leader resumes during an outage of the state service', async (simulation) => {
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

  faultScenario('delayed heartbeats reach a controller as it resumes', async (simulation) => {
    simulation.duplicateHeartbeatProbability = 1;
    const leader = currentLeader(simulation);
    for (let i = 0; i < 3; i++) {
      leader.clock.pause();
      const some = busyAgents(simulation).slice(0, 2);
      cancelRunningJobs(simulation, 2);
      for (const agent of some) agent.isHung = true;
      await advance(simulation, LEASE_MS * 0.8);
      for (const agent of some) if (!agent.isTerminated) agent.resume();
      leader.clock.resume();
      await advance(simulation, 3000);
    }
    simulation.duplicateHeartbeatProbability = 0;
  });
});
