/**
 * Controllers that stand still with their connections open, and go on later with what they knew before. The others take
 * over what they held; whatever was due, buffered or under way in them when they wake up harms nobody.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { key, parseKey } from '../src/core/records/keys.js';
import type { Node } from './sim/simulated-controller.js';
import { LEASE_MS, all, begun, busy, calledOff, leads, meeting, wait } from './sim/fault-scenario.js';
import type { Sim } from './sim/simulation.js';

/** Longer than any lease, and than a worker needs to try all controllers. */
const SILENT_MS = 24_000;
/** A session lives for 2 s in these runs; then its slice gets another holder, as docs/design.md states. */
const TAKEOVER_MS = 5000;

const owners = (sim: Sim) => all(sim).filter((n) => n !== leads(sim));
const holderOf = (sim: Sim, slice: string) =>
  (sim.state.rows.get(key.shard(slice))?.value as { holder: string } | undefined)?.holder;

async function silent(sim: Sim, nodes: readonly Node[], ms: number): Promise<void> {
  for (const n of nodes) n.clock.pause();
  await wait(sim, ms);
  for (const n of nodes) n.clock.resume();
}

test('what a silent controller held has another holder within the bound, by one change a slice', async () => {
  const sim = await begun(3);
  const [node] = owners(sim);
  const { name } = node!;
  const inSlice = () =>
    [...sim.state.rows]
      .filter(([k, r]) => parseKey(k).kind === 'machine' && (r.value as { owner: string }).owner === name)
      .map(([k]) => k);
  const before = inSlice();
  node!.clock.pause();
  await wait(sim, TAKEOVER_MS);
  assert.notEqual(holderOf(sim, name), name);
  const after = new Set(inSlice());
  const moved = before.filter((k) => sim.state.rows.has(k) && !after.has(k));
  assert.ok(
    moved.length <= before.length / 2,
    `${moved.length} of ${before.length} machines were moved singly`,
  );
  // Its workers have found the new holder before their leases ran out.
  await wait(sim, LEASE_MS);
  assert.equal(sim.fleet.leasesLost, 0);
  assert.deepEqual(
    sim.fleet.live().filter((w) => w.node === name && w.tasks.size > 0),
    [],
  );
  node!.clock.resume();
  await wait(sim, TAKEOVER_MS);
  assert.equal(holderOf(sim, name), name, 'it has its slice back');
});

meeting('the leader is silent while jobs are called off and asked about', async (sim) => {
  const leader = leads(sim);
  leader.clock.pause();
  for (const id of sim.running().slice(0, 4)) sim.callOff(id);
  await wait(sim, TAKEOVER_MS);
  assert.notEqual(leads(sim), leader, 'another one leads');
  for (let i = 0; i < 20; i++) {
    for (const id of sim.running()) sim.again(id);
    await wait(sim, (SILENT_MS - TAKEOVER_MS) / 20);
  }
  assert.ok(calledOff(sim).length > 0, 'jobs were called off');
  leader.clock.resume();
});

meeting('an owner is silent during a wave of cancellations', async (sim) => {
  const [node] = owners(sim);
  node!.clock.pause();
  await wait(sim, 100);
  for (const id of sim.running()) sim.callOff(id);
  await wait(sim, SILENT_MS);
  node!.clock.resume();
});

meeting('two controllers are silent at once', async (sim) => {
  const [one] = owners(sim);
  await silent(sim, [one!, leads(sim)], SILENT_MS);
});

meeting('all controllers are silent for longer than a lease', async (sim) => {
  await silent(sim, all(sim), LEASE_MS * 1.5);
  assert.ok(sim.fleet.leasesLost > 0, 'workers gave their tasks up');
});

meeting('a controller is silent again as soon as it is back', async (sim) => {
  for (let i = 0; i < 5; i++) {
    await silent(sim, [leads(sim)], i % 2 === 0 ? 9000 : 1900);
    await wait(sim, 400);
  }
});

meeting('a controller reaches no workers while another is silent', async (sim) => {
  const [one, two] = owners(sim);
  one!.cut.add('workers');
  await silent(sim, [two!], SILENT_MS);
  one!.cut.clear();
});

meeting('a silent leader wakes up during an outage of the state service', async (sim) => {
  const leader = leads(sim);
  leader.clock.pause();
  for (const id of sim.running().slice(0, 3)) sim.callOff(id);
  await wait(sim, 8000);
  sim.state.setOutage(true);
  leader.clock.resume();
  await wait(sim, LEASE_MS * 1.5);
  for (const id of sim.running().slice(0, 3)) sim.callOff(id);
  sim.state.setOutage(false);
});

meeting('old reports reach a controller as it wakes up', async (sim) => {
  sim.copies = 1;
  const leader = leads(sim);
  for (let i = 0; i < 3; i++) {
    leader.clock.pause();
    const some = busy(sim).slice(0, 2);
    for (const id of sim.running().slice(0, 2)) sim.callOff(id);
    for (const w of some) w.hung = true;
    await wait(sim, LEASE_MS * 0.8);
    for (const w of some) if (!w.gone) w.resume();
    leader.clock.resume();
    await wait(sim, 3000);
  }
  sim.copies = 0;
});
