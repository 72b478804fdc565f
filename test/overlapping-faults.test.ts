/**
 * The meetings of troubles that the operators have seen break rules, each brought about among stand-ins. The rules are
 * checked after each step (test/sim); docs/meetings.md lists what guards each.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobId } from '../src/core/model/ids.js';
import { LEASE_MS, faultScenario, runUntilBusy } from './sim/fault-scenario.js';
import { advance, allControllers, busyAgents, cancelledJobs, currentLeader } from './sim/run-helpers.js';

// The gap: whoever says `withdrawn` must know that no machine has a task of the job, whatever its owner can still do.
for (const [refusedMs, outMs] of [
  [1500, 25_000],
  [200, 12_000],
  [6000, 25_000],
] as const)
  faultScenario(
    `jobs called off while the leader is refused alone, and ${refusedMs} ms later the service is out for ${outMs} ms`,
    async (simulation) => {
      const leader = currentLeader(simulation);
      const before = cancelledJobs(simulation).length;
      leader.isRefusedByState = true;
      const ids = simulation.runningJobs();
      for (const id of ids.slice(0, 4)) simulation.cancel(id);
      await advance(simulation, refusedMs / 2);
      for (const id of ids.slice(4, 8)) simulation.cancel(id);
      await advance(simulation, refusedMs / 2);
      simulation.state.setOutage(true);
      await advance(simulation, outMs / 2);
      leader.isRefusedByState = false;
      await advance(simulation, outMs / 2);
      simulation.state.setOutage(false);
      await advance(simulation, 15_000);
      assert.ok(cancelledJobs(simulation).length > before, 'jobs were called off');
    },
    [3, 8, 12],
  );

faultScenario(
  'controllers hand over and back, all end, and one is back within a second',
  async (simulation) => {
    const [one, two, three] = allControllers(simulation);
    one!.crash();
    await advance(simulation, 5000);
    one!.start();
    await advance(simulation, 3000);
    for (const n of allControllers(simulation)) n.crash();
    await advance(simulation, 400);
    two!.start();
    await advance(simulation, 4000);
    one!.start();
    three!.start();
    await advance(simulation, 300);
    two!.crash();
    await advance(simulation, 50);
    two!.start();
  },
);

faultScenario('the leader changes ten times in a row, also inside an outage', async (simulation) => {
  const led = new Set<string>();
  for (let i = 0; i < 10; i++) {
    const n = currentLeader(simulation);
    led.add(`${n.name} ${n.starts}`);
    if (i === 5) simulation.state.setOutage(true);
    n.crash();
    await advance(simulation, i % 2 === 0 ? 100 : 3000);
    n.start();
    if (i === 6) simulation.state.setOutage(false);
    await advance(simulation, 2500);
  }
  assert.ok(led.size >= 8, `only ${led.size} lives led`);
});

// With such a seed a task was done, its result not written and its part of the team's limit used again; its worker forgot it
// with its lease, and whoever owned the machine then started it anew: the team used more than its limit.
faultScenario(
  'all controllers are away for longer than a lease',
  async (simulation) => {
    for (const n of allControllers(simulation)) n.crash();
    await advance(simulation, LEASE_MS * 1.5);
    assert.ok(simulation.cluster.tasksLostToLeaseExpiry > 0, 'workers gave their tasks up');
    for (const n of allControllers(simulation)) n.start();
  },
  [3, 8, 1],
);

faultScenario(
  'commands and answers are held up for seconds, and the machines then go on',
  async (simulation) => {
    const some = busyAgents(simulation).slice(0, 4);
    assert.ok(some.length >= 3);
    for (const id of simulation.runningJobs().slice(0, 3)) simulation.cancel(id);
    await advance(simulation, 30);
    for (const w of some) w.isHung = true;
    await advance(simulation, LEASE_MS * 0.7);
    currentLeader(simulation).crash();
    await advance(simulation, 1000);
    for (const w of some) if (!w.isTerminated) w.resume();
    for (const n of allControllers(simulation)) if (n.controller === null) n.start();
  },
);

faultScenario(
  'the leader loses state and peers, not its workers, and jobs are called off elsewhere',
  async (simulation) => {
    const old = currentLeader(simulation);
    old.unreachable.add('state').add('peers');
    await advance(simulation, 300);
    for (const id of simulation.runningJobs().slice(0, 6)) simulation.cancel(id);
    await advance(simulation, 12_000);
    assert.notEqual(currentLeader(simulation), old, 'another one leads');
    assert.ok(cancelledJobs(simulation).length > 0, 'jobs were called off');
    old.unreachable.clear();
    await advance(simulation, 5000);
  },
);

faultScenario('workers reach no controller, while direct commands reach them', async (simulation) => {
  const some = busyAgents(simulation).slice(0, 3);
  for (const w of some) w.isOutboundPartitioned = true;
  for (const id of simulation.runningJobs().slice(0, 5)) simulation.cancel(id);
  await advance(simulation, LEASE_MS * 2);
  for (const w of some) w.isOutboundPartitioned = false;
});

faultScenario('reports are held back until a new leader has acted, and arrive there', async (simulation) => {
  simulation.duplicateHeartbeatProbability = 1;
  const old = currentLeader(simulation);
  await advance(simulation, 3000);
  for (const n of allControllers(simulation)) if (n === old) n.unreachable.add('workers');
  for (const id of simulation.runningJobs().slice(0, 3)) simulation.cancel(id);
  old.crash();
  await advance(simulation, 6000);
  old.start();
  old.unreachable.clear();
  // Copies are up to two and a half leases old when they come.
  await advance(simulation, LEASE_MS * 3);
  simulation.duplicateHeartbeatProbability = 0;
});

faultScenario('changes without an answer are carried out late, after newer ones', async (simulation) => {
  simulation.lateWriteProbability = 0.25;
  for (let i = 0; i < 4; i++) {
    for (const id of simulation.runningJobs().slice(0, 2)) simulation.cancel(id);
    await advance(simulation, 5000);
    if (i % 2 === 1) {
      const n = currentLeader(simulation);
      n.crash();
      await advance(simulation, 200);
      n.start();
    }
  }
  simulation.lateWriteProbability = 0;
  await advance(simulation, 12_000);
  assert.ok(simulation.lateWritesApplied > 20, `only ${simulation.lateWritesApplied} late changes`);
});

faultScenario('old reports come after newer ones, from earlier sessions and attempts', async (simulation) => {
  simulation.duplicateHeartbeatProbability = 0.6;
  for (let i = 0; i < 3; i++) {
    // Their leases run out, so they go on in another session; what ran there is started again.
    const some = busyAgents(simulation).slice(0, 2);
    for (const w of some) for (const n of simulation.controllers.keys()) w.partitionedFrom.add(n);
    for (const id of simulation.runningJobs().slice(0, 2)) simulation.cancel(id);
    await advance(simulation, LEASE_MS + 1500);
    for (const w of some) w.partitionedFrom.clear();
    await advance(simulation, 4000);
  }
  simulation.duplicateHeartbeatProbability = 0;
  assert.ok(simulation.cluster.tasksLostToLeaseExpiry > 0);
});

faultScenario(
  'the leader ends while machines can not be reached, or do not hear its successor',
  async (simulation) => {
    const old = currentLeader(simulation);
    const some = busyAgents(simulation);
    const away = some.slice(0, 2);
    const deaf = some.slice(2, 4);
    assert.ok(deaf.length > 0);
    for (const w of away) for (const n of simulation.controllers.keys()) w.partitionedFrom.add(n);
    for (const w of deaf) w.isInboundPartitioned = true;
    old.crash();
    for (const id of simulation.runningJobs().slice(0, 4)) simulation.cancel(id);
    await advance(simulation, 9000);
    for (const w of away) w.partitionedFrom.clear();
    old.start();
    await advance(simulation, LEASE_MS * 4);
    for (const w of deaf) w.isInboundPartitioned = false;
  },
);

faultScenario('jobs of two or three tasks end far apart across changes of leader', async (simulation) => {
  for (let i = 0; i < 4; i++) {
    for (let k = 0; k < 4; k++) simulation.submit({ kind: 'sweep', tasks: 2 + (k % 2), staggerMs: 9000 });
    await advance(simulation, 4500);
    const n = currentLeader(simulation);
    n.crash();
    await advance(simulation, i % 2 === 0 ? 50 : 3500);
    n.start();
  }
});

faultScenario(
  'cancellations, questions and repeated submissions meet the end of the last task',
  async (simulation) => {
    simulation.cancelAtEndProbability = 1;
    await advance(simulation, 40_000);
    simulation.cancelAtEndProbability = 0;
    const finals = new Set(
      [...simulation.cluster.submitted.values()]
        .filter((j) => j.isCancellationRequested)
        .map((j) => j.observedFinalState),
    );
    assert.ok(finals.has('done') && finals.has('cancelled'), 'both finals were seen');
  },
);

faultScenario(
  'the service is slow, refuses the leader alone, then everybody, while users cancel and ask',
  async (simulation) => {
    simulation.maxStateDelayMs = 1800;
    await advance(simulation, 4000);
    const leader = currentLeader(simulation);
    leader.isRefusedByState = true;
    for (const id of simulation.runningJobs().slice(0, 4)) {
      simulation.cancel(id);
      simulation.users.retrySubmission(id);
    }
    await advance(simulation, 5000);
    simulation.state.setOutage(true);
    for (const id of simulation.runningJobs().slice(0, 4)) simulation.cancel(id);
    await advance(simulation, 20_000);
    simulation.state.setOutage(false);
    simulation.maxStateDelayMs = 0;
    leader.isRefusedByState = false;
  },
);

faultScenario('jobs bound to one zone lose machines', async (simulation) => {
  for (let i = 0; i < 6; i++) {
    for (let k = 0; k < 2; k++)
      simulation.submit({ kind: k === 0 ? 'sweep' : 'ensemble', tasks: 4, fields: { samePlace: true } });
    await advance(simulation, 1500);
    const bound = busyAgents(simulation).find((w) =>
      [...w.tasks.values()].some((t) => t.job.body['samePlace'] === true && t.state === 'running'),
    );
    if (i % 3 === 0 && bound !== undefined) bound.isHung = true;
    else if (bound !== undefined) {
      bound.terminate();
      simulation.cluster.machines.delete(bound.name);
    }
    await advance(simulation, 2500);
  }
  await advance(simulation, LEASE_MS / 2);
  for (const w of simulation.cluster.liveAgents()) if (w.isHung) w.resume();
});

faultScenario(
  'a zone with workers and a controller is cut off for longer than a lease',
  async (simulation) => {
    const near = allControllers(simulation).filter((n) => n.zone === 'b');
    for (const n of near) n.unreachable.add('state').add('peers');
    simulation.network.partitionedZones.add('b');
    for (const id of simulation.runningJobs().slice(0, 5)) simulation.cancel(id);
    await advance(simulation, LEASE_MS * 2);
    for (const n of near) n.unreachable.clear();
    simulation.network.partitionedZones.clear();
    await advance(simulation, 5000);
  },
);

faultScenario(
  'a team is at its limit when the leader changes, machines can not be asked, and a job is called off',
  async (simulation) => {
    for (let k = 0; k < 12; k++)
      simulation.submit({ kind: 'sweep', tasks: 6, fields: { tenant: 'blue', cards: 2, vcpus: 2 } });
    await advance(simulation, 6000);
    const used = () =>
      busyAgents(simulation)
        .flatMap((w) => [...w.tasks.values()])
        .filter((t) => t.state !== 'ended' && t.job.body['tenant'] === 'blue')
        .reduce((n, t) => n + Number(t.job.body['cards']), 0);
    for (let i = 0; i < 60 && used() < 11; i++) await advance(simulation, 500);
    assert.ok(used() >= 11, `the team uses ${used()} of 12`);
    const blue = busyAgents(simulation).filter((w) =>
      [...w.tasks.values()].some((t) => t.job.body['tenant'] === 'blue'),
    );
    for (const w of blue.slice(0, 2)) for (const n of simulation.controllers.keys()) w.partitionedFrom.add(n);
    const old = currentLeader(simulation);
    old.crash();
    for (const id of simulation
      .runningJobs()
      .filter((x) => simulation.cluster.submitted.get(x)!.body['tenant'] === 'blue')
      .slice(0, 2))
      simulation.cancel(id);
    await advance(simulation, 6000);
    for (const w of blue) w.partitionedFrom.clear();
    old.start();
  },
);

faultScenario('more work than room, urgent and not, over slow links', async (simulation) => {
  simulation.isSmooth = false;
  for (let k = 0; k < 16; k++)
    simulation.submit({
      kind: k % 4 === 0 ? 'daemon' : 'sweep',
      tasks: 5,
      fields: { tier: ['production', 'urgent', 'standard', 'low'][k % 4] },
    });
  await advance(simulation, 20_000);
  for (const id of simulation.runningJobs().slice(0, 6)) simulation.cancel(id);
});

test('a cancellation is confirmed only once no record holds a task of the job', async () => {
  const simulation = await runUntilBusy(3);
  const ids = simulation.runningJobs().slice(0, 4);
  const found = ids.map((id) => {
    const w = busyAgents(simulation).find((x) =>
      [...x.tasks.values()].some((t) => t.id === id && t.state !== 'ended'),
    )!;
    return { id, w };
  });
  // The machines hang: nobody knows what runs there, so nobody may say that nothing does.
  for (const { w } of found) w.isHung = true;
  for (const id of ids) simulation.cancel(id);
  await advance(simulation, LEASE_MS * 0.6);
  for (const { id } of found)
    assert.equal(simulation.cluster.submitted.get(id)!.observedFinalState, null, id);
  for (const { w } of found) w.resume();
  await advance(simulation, 8000);
  for (const { id } of found)
    assert.notEqual(simulation.cluster.submitted.get(id)!.observedFinalState, null, id);
  const final = await simulation.controllers.get('c-0')!.controller!.jobs.find(jobId(ids[0]!));
  assert.ok(final?.state === 'cancelled' || final?.state === 'done');
});
