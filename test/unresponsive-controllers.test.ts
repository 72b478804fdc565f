/**
 * Controllers that stand still with their connections open, and go on later with what they knew before. The others take
 * over what they held; whatever was due, buffered or under way in them when they wake up harms nobody.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { key, parseKey } from '../src/core/records/keys.js';
import { advance, allControllers, busyAgents, cancelledJobs, currentLeader } from './sim/run-helpers.js';
import type { SimulatedController } from './sim/simulated-controller.js';
import { LEASE_MS, faultScenario, runUntilBusy } from './sim/fault-scenario.js';
import type { Simulation } from './sim/simulation.js';

/** Longer than any lease, and than a worker needs to try all controllers. */
const SILENT_MS = 24_000;
/** A session lives for 2 s in these runs; then its slice gets another holder, as docs/design.md states. */
const TAKEOVER_MS = 5000;

const owners = (simulation: Simulation) =>
  allControllers(simulation).filter((n) => n !== currentLeader(simulation));
const holderOf = (simulation: Simulation, shard: string) =>
  (simulation.state.rows.get(key.shard(shard))?.value as { holder: string } | undefined)?.holder;

async function silent(
  simulation: Simulation,
  nodes: readonly SimulatedController[],
  ms: number,
): Promise<void> {
  for (const n of nodes) n.clock.pause();
  await advance(simulation, ms);
  for (const n of nodes) n.clock.resume();
}

test('what a silent controller held has another holder within the bound, by one change a slice', async () => {
  const simulation = await runUntilBusy(3);
  const [node] = owners(simulation);
  const { name } = node!;
  const inSlice = () =>
    [...simulation.state.rows]
      .filter(([k, r]) => parseKey(k).kind === 'machine' && (r.value as { owner: string }).owner === name)
      .map(([k]) => k);
  const before = inSlice();
  node!.clock.pause();
  await advance(simulation, TAKEOVER_MS);
  assert.notEqual(holderOf(simulation, name), name);
  const after = new Set(inSlice());
  const moved = before.filter((k) => simulation.state.rows.has(k) && !after.has(k));
  assert.ok(
    moved.length <= before.length / 2,
    `${moved.length} of ${before.length} machines were moved singly`,
  );
  // Its workers have found the new holder before their leases ran out.
  await advance(simulation, LEASE_MS);
  assert.equal(simulation.cluster.tasksLostToLeaseExpiry, 0);
  assert.deepEqual(
    simulation.cluster.liveAgents().filter((w) => w.controller === name && w.tasks.size > 0),
    [],
  );
  node!.clock.resume();
  await advance(simulation, TAKEOVER_MS);
  assert.equal(holderOf(simulation, name), name, 'it has its slice back');
});

faultScenario('the leader is silent while jobs are called off and asked about', async (simulation) => {
  const leader = currentLeader(simulation);
  leader.clock.pause();
  for (const id of simulation.runningJobs().slice(0, 4)) simulation.cancel(id);
  await advance(simulation, TAKEOVER_MS);
  assert.notEqual(currentLeader(simulation), leader, 'another one leads');
  for (let i = 0; i < 20; i++) {
    for (const id of simulation.runningJobs()) simulation.users.retrySubmission(id);
    await advance(simulation, (SILENT_MS - TAKEOVER_MS) / 20);
  }
  assert.ok(cancelledJobs(simulation).length > 0, 'jobs were called off');
  leader.clock.resume();
});

faultScenario('an owner is silent during a wave of cancellations', async (simulation) => {
  const [node] = owners(simulation);
  node!.clock.pause();
  await advance(simulation, 100);
  for (const id of simulation.runningJobs()) simulation.cancel(id);
  await advance(simulation, SILENT_MS);
  node!.clock.resume();
});

faultScenario('two controllers are silent at once', async (simulation) => {
  const [one] = owners(simulation);
  await silent(simulation, [one!, currentLeader(simulation)], SILENT_MS);
});

faultScenario('all controllers are silent for longer than a lease', async (simulation) => {
  await silent(simulation, allControllers(simulation), LEASE_MS * 1.5);
  assert.ok(simulation.cluster.tasksLostToLeaseExpiry > 0, 'workers gave their tasks up');
});

faultScenario('a controller is silent again as soon as it is back', async (simulation) => {
  for (let i = 0; i < 5; i++) {
    await silent(simulation, [currentLeader(simulation)], i % 2 === 0 ? 9000 : 1900);
    await advance(simulation, 400);
  }
});

faultScenario('a controller reaches no workers while another is silent', async (simulation) => {
  const [one, two] = owners(simulation);
  one!.unreachable.add('workers');
  await silent(simulation, [two!], SILENT_MS);
  one!.unreachable.clear();
});

faultScenario('a silent leader wakes up during an outage of the state service', async (simulation) => {
  const leader = currentLeader(simulation);
  leader.clock.pause();
  for (const id of simulation.runningJobs().slice(0, 3)) simulation.cancel(id);
  await advance(simulation, 8000);
  simulation.state.setOutage(true);
  leader.clock.resume();
  await advance(simulation, LEASE_MS * 1.5);
  for (const id of simulation.runningJobs().slice(0, 3)) simulation.cancel(id);
  simulation.state.setOutage(false);
});

faultScenario('old reports reach a controller as it wakes up', async (simulation) => {
  simulation.duplicateHeartbeatProbability = 1;
  const leader = currentLeader(simulation);
  for (let i = 0; i < 3; i++) {
    leader.clock.pause();
    const some = busyAgents(simulation).slice(0, 2);
    for (const id of simulation.runningJobs().slice(0, 2)) simulation.cancel(id);
    for (const w of some) w.isHung = true;
    await advance(simulation, LEASE_MS * 0.8);
    for (const w of some) if (!w.isTerminated) w.resume();
    leader.clock.resume();
    await advance(simulation, 3000);
  }
  simulation.duplicateHeartbeatProbability = 0;
});
