/**
 * The meetings of troubles that the operators have seen break rules, each brought about among stand-ins. The rules are
 * checked after each step (test/sim); docs/meetings.md lists what guards each.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobId } from '../src/core/model/ids.js';
import { LEASE_MS, all, begun, busy, calledOff, leads, meeting, wait } from './sim/fault-scenario.js';

// The gap: whoever says `withdrawn` must know that no machine has a task of the job, whatever its owner can still do.
for (const [refusedMs, outMs] of [
  [1500, 25_000],
  [200, 12_000],
  [6000, 25_000],
] as const)
  meeting(
    `jobs called off while the leader is refused alone, and ${refusedMs} ms later the service is out for ${outMs} ms`,
    async (sim) => {
      const leader = leads(sim);
      const before = calledOff(sim).length;
      leader.refused = true;
      const ids = sim.running();
      for (const id of ids.slice(0, 4)) sim.callOff(id);
      await wait(sim, refusedMs / 2);
      for (const id of ids.slice(4, 8)) sim.callOff(id);
      await wait(sim, refusedMs / 2);
      sim.state.setOutage(true);
      await wait(sim, outMs / 2);
      leader.refused = false;
      await wait(sim, outMs / 2);
      sim.state.setOutage(false);
      await wait(sim, 15_000);
      assert.ok(calledOff(sim).length > before, 'jobs were called off');
    },
    [3, 8, 12],
  );

meeting('controllers hand over and back, all end, and one is back within a second', async (sim) => {
  const [one, two, three] = all(sim);
  one!.crash();
  await wait(sim, 5000);
  one!.start();
  await wait(sim, 3000);
  for (const n of all(sim)) n.crash();
  await wait(sim, 400);
  two!.start();
  await wait(sim, 4000);
  one!.start();
  three!.start();
  await wait(sim, 300);
  two!.crash();
  await wait(sim, 50);
  two!.start();
});

meeting('the leader changes ten times in a row, also inside an outage', async (sim) => {
  const led = new Set<string>();
  for (let i = 0; i < 10; i++) {
    const n = leads(sim);
    led.add(`${n.name} ${n.lives}`);
    if (i === 5) sim.state.setOutage(true);
    n.crash();
    await wait(sim, i % 2 === 0 ? 100 : 3000);
    n.start();
    if (i === 6) sim.state.setOutage(false);
    await wait(sim, 2500);
  }
  assert.ok(led.size >= 8, `only ${led.size} lives led`);
});

// With such a seed a task was done, its result not written and its part of the team's limit used again; its worker forgot it
// with its lease, and whoever owned the machine then started it anew: the team used more than its limit.
meeting(
  'all controllers are away for longer than a lease',
  async (sim) => {
    for (const n of all(sim)) n.crash();
    await wait(sim, LEASE_MS * 1.5);
    assert.ok(sim.fleet.leasesLost > 0, 'workers gave their tasks up');
    for (const n of all(sim)) n.start();
  },
  [3, 8, 1],
);

meeting('commands and answers are held up for seconds, and the machines then go on', async (sim) => {
  const some = busy(sim).slice(0, 4);
  assert.ok(some.length >= 3);
  for (const id of sim.running().slice(0, 3)) sim.callOff(id);
  await wait(sim, 30);
  for (const w of some) w.hung = true;
  await wait(sim, LEASE_MS * 0.7);
  leads(sim).crash();
  await wait(sim, 1000);
  for (const w of some) if (!w.gone) w.resume();
  for (const n of all(sim)) if (n.controller === null) n.start();
});

meeting(
  'the leader loses state and peers, not its workers, and jobs are called off elsewhere',
  async (sim) => {
    const old = leads(sim);
    old.cut.add('state').add('peers');
    await wait(sim, 300);
    for (const id of sim.running().slice(0, 6)) sim.callOff(id);
    await wait(sim, 12_000);
    assert.notEqual(leads(sim), old, 'another one leads');
    assert.ok(calledOff(sim).length > 0, 'jobs were called off');
    old.cut.clear();
    await wait(sim, 5000);
  },
);

meeting('workers reach no controller, while direct commands reach them', async (sim) => {
  const some = busy(sim).slice(0, 3);
  for (const w of some) w.mute = true;
  for (const id of sim.running().slice(0, 5)) sim.callOff(id);
  await wait(sim, LEASE_MS * 2);
  for (const w of some) w.mute = false;
});

meeting('reports are held back until a new leader has acted, and arrive there', async (sim) => {
  sim.copies = 1;
  const old = leads(sim);
  await wait(sim, 3000);
  for (const n of all(sim)) if (n === old) n.cut.add('workers');
  for (const id of sim.running().slice(0, 3)) sim.callOff(id);
  old.crash();
  await wait(sim, 6000);
  old.start();
  old.cut.clear();
  // Copies are up to two and a half leases old when they come.
  await wait(sim, LEASE_MS * 3);
  sim.copies = 0;
});

meeting('changes without an answer are carried out late, after newer ones', async (sim) => {
  sim.lateWrites = 0.25;
  for (let i = 0; i < 4; i++) {
    for (const id of sim.running().slice(0, 2)) sim.callOff(id);
    await wait(sim, 5000);
    if (i % 2 === 1) {
      const n = leads(sim);
      n.crash();
      await wait(sim, 200);
      n.start();
    }
  }
  sim.lateWrites = 0;
  await wait(sim, 12_000);
  assert.ok(sim.lateWritten > 20, `only ${sim.lateWritten} late changes`);
});

meeting('old reports come after newer ones, from earlier sessions and attempts', async (sim) => {
  sim.copies = 0.6;
  for (let i = 0; i < 3; i++) {
    // Their leases run out, so they go on in another session; what ran there is started again.
    const some = busy(sim).slice(0, 2);
    for (const w of some) for (const n of sim.nodes.keys()) w.cutFrom.add(n);
    for (const id of sim.running().slice(0, 2)) sim.callOff(id);
    await wait(sim, LEASE_MS + 1500);
    for (const w of some) w.cutFrom.clear();
    await wait(sim, 4000);
  }
  sim.copies = 0;
  assert.ok(sim.fleet.leasesLost > 0);
});

meeting('the leader ends while machines can not be reached, or do not hear its successor', async (sim) => {
  const old = leads(sim);
  const some = busy(sim);
  const away = some.slice(0, 2);
  const deaf = some.slice(2, 4);
  assert.ok(deaf.length > 0);
  for (const w of away) for (const n of sim.nodes.keys()) w.cutFrom.add(n);
  for (const w of deaf) w.deaf = true;
  old.crash();
  for (const id of sim.running().slice(0, 4)) sim.callOff(id);
  await wait(sim, 9000);
  for (const w of away) w.cutFrom.clear();
  old.start();
  await wait(sim, LEASE_MS * 4);
  for (const w of deaf) w.deaf = false;
});

meeting('jobs of two or three tasks end far apart across changes of leader', async (sim) => {
  for (let i = 0; i < 4; i++) {
    for (let k = 0; k < 4; k++) sim.submit({ kind: 'sweep', tasks: 2 + (k % 2), apartMs: 9000 });
    await wait(sim, 4500);
    const n = leads(sim);
    n.crash();
    await wait(sim, i % 2 === 0 ? 50 : 3500);
    n.start();
  }
});

meeting('cancellations, questions and repeated submissions meet the end of the last task', async (sim) => {
  sim.offAtEnd = 1;
  await wait(sim, 40_000);
  sim.offAtEnd = 0;
  const finals = new Set([...sim.fleet.submitted.values()].filter((j) => j.asked).map((j) => j.toldFinal));
  assert.ok(finals.has('done') && finals.has('cancelled'), 'both finals were seen');
});

meeting(
  'the service is slow, refuses the leader alone, then everybody, while users cancel and ask',
  async (sim) => {
    sim.stateSlowMs = 1800;
    await wait(sim, 4000);
    const leader = leads(sim);
    leader.refused = true;
    for (const id of sim.running().slice(0, 4)) {
      sim.callOff(id);
      sim.again(id);
    }
    await wait(sim, 5000);
    sim.state.setOutage(true);
    for (const id of sim.running().slice(0, 4)) sim.callOff(id);
    await wait(sim, 20_000);
    sim.state.setOutage(false);
    sim.stateSlowMs = 0;
    leader.refused = false;
  },
);

meeting('jobs bound to one zone lose machines', async (sim) => {
  for (let i = 0; i < 6; i++) {
    for (let k = 0; k < 2; k++)
      sim.submit({ kind: k === 0 ? 'sweep' : 'ensemble', tasks: 4, fields: { samePlace: true } });
    await wait(sim, 1500);
    const bound = busy(sim).find((w) =>
      [...w.tasks.values()].some((t) => t.job.body['samePlace'] === true && t.state === 'running'),
    );
    if (i % 3 === 0 && bound !== undefined) bound.hung = true;
    else if (bound !== undefined) {
      bound.remove();
      sim.fleet.machines.delete(bound.name);
    }
    await wait(sim, 2500);
  }
  await wait(sim, LEASE_MS / 2);
  for (const w of sim.fleet.live()) if (w.hung) w.resume();
});

meeting('a zone with workers and a controller is cut off for longer than a lease', async (sim) => {
  const near = all(sim).filter((n) => n.zone === 'b');
  for (const n of near) n.cut.add('state').add('peers');
  sim.zonesApart.add('b');
  for (const id of sim.running().slice(0, 5)) sim.callOff(id);
  await wait(sim, LEASE_MS * 2);
  for (const n of near) n.cut.clear();
  sim.zonesApart.clear();
  await wait(sim, 5000);
});

meeting(
  'a team is at its limit when the leader changes, machines can not be asked, and a job is called off',
  async (sim) => {
    for (let k = 0; k < 12; k++)
      sim.submit({ kind: 'sweep', tasks: 6, fields: { tenant: 'blue', cards: 2, vcpus: 2 } });
    await wait(sim, 6000);
    const used = () =>
      busy(sim)
        .flatMap((w) => [...w.tasks.values()])
        .filter((t) => t.state !== 'ended' && t.job.body['tenant'] === 'blue')
        .reduce((n, t) => n + Number(t.job.body['cards']), 0);
    for (let i = 0; i < 60 && used() < 11; i++) await wait(sim, 500);
    assert.ok(used() >= 11, `the team uses ${used()} of 12`);
    const blue = busy(sim).filter((w) => [...w.tasks.values()].some((t) => t.job.body['tenant'] === 'blue'));
    for (const w of blue.slice(0, 2)) for (const n of sim.nodes.keys()) w.cutFrom.add(n);
    const old = leads(sim);
    old.crash();
    for (const id of sim
      .running()
      .filter((x) => sim.fleet.submitted.get(x)!.body['tenant'] === 'blue')
      .slice(0, 2))
      sim.callOff(id);
    await wait(sim, 6000);
    for (const w of blue) w.cutFrom.clear();
    old.start();
  },
);

meeting('more work than room, urgent and not, over slow links', async (sim) => {
  sim.smooth = false;
  for (let k = 0; k < 16; k++)
    sim.submit({
      kind: k % 4 === 0 ? 'daemon' : 'sweep',
      tasks: 5,
      fields: { tier: ['production', 'urgent', 'standard', 'low'][k % 4] },
    });
  await wait(sim, 20_000);
  for (const id of sim.running().slice(0, 6)) sim.callOff(id);
});

test('a cancellation is confirmed only once no record holds a task of the job', async () => {
  const sim = await begun(3);
  const ids = sim.running().slice(0, 4);
  const found = ids.map((id) => {
    const w = busy(sim).find((x) => [...x.tasks.values()].some((t) => t.id === id && t.state !== 'ended'))!;
    return { id, w };
  });
  // The machines hang: nobody knows what runs there, so nobody may say that nothing does.
  for (const { w } of found) w.hung = true;
  for (const id of ids) sim.callOff(id);
  await wait(sim, LEASE_MS * 0.6);
  for (const { id } of found) assert.equal(sim.fleet.submitted.get(id)!.toldFinal, null, id);
  for (const { w } of found) w.resume();
  await wait(sim, 8000);
  for (const { id } of found) assert.notEqual(sim.fleet.submitted.get(id)!.toldFinal, null, id);
  const final = await sim.nodes.get('c-0')!.controller!.jobs.find(jobId(ids[0]!));
  assert.ok(final?.state === 'cancelled' || final?.state === 'done');
});
