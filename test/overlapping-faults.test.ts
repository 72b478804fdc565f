/**
 * Overlapping faults that violated invariants in production, each injected into a simulated run. The invariants are checked
 * after each step (test/sim); docs/overlapping-faults.md lists the guards against each.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { jobId } from '../src/core/model/ids.js';
import { LEASE_MS, faultScenario, runUntilBusy } from './sim/fault-scenario.js';
import {
  advance,
  allControllers,
  busyAgents,
  cancelRunningJobs,
  cancelledJobs,
  currentLeader,
} from './sim/run-helpers.js';

describe('overlapping faults of the state service', () => {
  // A cancellation may be reported only when no machine has a task of the job, whatever its owner can still do.
  for (const [refusedMs, outMs] of [
    [1500, 25_000],
    [200, 12_000],
    [6000, 25_000],
  ] as const)
    faultScenario(
      `cancellations while the state service refuses the leader, then an outage of ${outMs} ms after ${refusedMs} ms`,
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
        assert.ok(cancelledJobs(simulation).length > before, 'jobs were cancelled');
      },
      [3, 8, 12],
    );
});

describe('controllers that crash and restart', () => {
  faultScenario(
    'failover and failback, a crash of all controllers, and a restart within a second',
    async (simulation) => {
      const [one, two, three] = allControllers(simulation);
      one!.crash();
      await advance(simulation, 5000);
      one!.start();
      await advance(simulation, 3000);
      for (const node of allControllers(simulation)) node.crash();
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

  faultScenario(
    'ten leader changes in a row, some during an outage of the state service',
    async (simulation) => {
      const led = new Set<string>();
      for (let i = 0; i < 10; i++) {
        const node = currentLeader(simulation);
        led.add(`${node.name} ${node.starts}`);
        if (i === 5) simulation.state.setOutage(true);
        node.crash();
        await advance(simulation, i % 2 === 0 ? 100 : 3000);
        node.start();
        if (i === 6) simulation.state.setOutage(false);
        await advance(simulation, 2500);
      }
      assert.ok(led.size >= 8, `only ${led.size} lives led`);
    },
  );
});

describe('downtime longer than a lease', () => {
  // A task that is done but not recorded must keep its part of the quota until its lease has expired everywhere.
  faultScenario(
    'all controllers are down for longer than a lease',
    async (simulation) => {
      for (const node of allControllers(simulation)) node.crash();
      await advance(simulation, LEASE_MS * 1.5);
      assert.ok(simulation.cluster.tasksLostToLeaseExpiry > 0, 'agents killed their tasks');
      for (const node of allControllers(simulation)) node.start();
    },
    [3, 8, 1],
  );
});

describe('partitions and hung agents', () => {
  faultScenario('agents hang for seconds during a leader change, and then resume', async (simulation) => {
    const some = busyAgents(simulation).slice(0, 4);
    assert.ok(some.length >= 3);
    cancelRunningJobs(simulation, 3);
    await advance(simulation, 30);
    for (const agent of some) agent.isHung = true;
    await advance(simulation, LEASE_MS * 0.7);
    currentLeader(simulation).crash();
    await advance(simulation, 1000);
    for (const agent of some) if (!agent.isTerminated) agent.resume();
    for (const node of allControllers(simulation)) if (node.controller === null) node.start();
  });

  faultScenario(
    'the leader loses state service and peers but not its agents, while jobs are cancelled at other controllers',
    async (simulation) => {
      const old = currentLeader(simulation);
      old.unreachable.add('state').add('peers');
      await advance(simulation, 300);
      cancelRunningJobs(simulation, 6);
      await advance(simulation, 12_000);
      assert.notEqual(currentLeader(simulation), old, 'another controller leads');
      assert.ok(cancelledJobs(simulation).length > 0, 'jobs were cancelled');
      old.unreachable.clear();
      await advance(simulation, 5000);
    },
  );

  faultScenario(
    'agents with an outbound partition, which direct commands still reach',
    async (simulation) => {
      const some = busyAgents(simulation).slice(0, 3);
      for (const agent of some) agent.isOutboundPartitioned = true;
      cancelRunningJobs(simulation, 5);
      await advance(simulation, LEASE_MS * 2);
      for (const agent of some) agent.isOutboundPartitioned = false;
    },
  );
});

describe('delayed heartbeats and transactions', () => {
  faultScenario('heartbeats delayed until a new leader has acted arrive at it', async (simulation) => {
    simulation.duplicateHeartbeatProbability = 1;
    const old = currentLeader(simulation);
    await advance(simulation, 3000);
    for (const node of allControllers(simulation)) if (node === old) node.unreachable.add('workers');
    cancelRunningJobs(simulation, 3);
    old.crash();
    await advance(simulation, 6000);
    old.start();
    old.unreachable.clear();
    // Copies are up to two and a half leases old when they come.
    await advance(simulation, LEASE_MS * 3);
    simulation.duplicateHeartbeatProbability = 0;
  });

  faultScenario('unanswered transactions are applied late, after newer ones', async (simulation) => {
    simulation.lateWriteProbability = 0.25;
    for (let i = 0; i < 4; i++) {
      cancelRunningJobs(simulation, 2);
      await advance(simulation, 5000);
      if (i % 2 === 1) {
        const node = currentLeader(simulation);
        node.crash();
        await advance(simulation, 200);
        node.start();
      }
    }
    simulation.lateWriteProbability = 0;
    await advance(simulation, 12_000);
    assert.ok(simulation.lateWritesApplied > 20, `only ${simulation.lateWritesApplied} late changes`);
  });
});

describe('stale heartbeats and unreachable machines', () => {
  faultScenario(
    'delayed heartbeats of earlier agent epochs and attempts arrive after newer ones',
    async (simulation) => {
      simulation.duplicateHeartbeatProbability = 0.6;
      for (let i = 0; i < 3; i++) {
        // Their leases run out, so they go on in another session; what ran there is started again.
        const some = busyAgents(simulation).slice(0, 2);
        for (const agent of some)
          for (const node of simulation.controllers.keys()) agent.partitionedFrom.add(node);
        cancelRunningJobs(simulation, 2);
        await advance(simulation, LEASE_MS + 1500);
        for (const agent of some) agent.partitionedFrom.clear();
        await advance(simulation, 4000);
      }
      simulation.duplicateHeartbeatProbability = 0;
      assert.ok(simulation.cluster.tasksLostToLeaseExpiry > 0);
    },
  );

  faultScenario(
    'the leader crashes while machines are partitioned from all controllers or have an inbound partition',
    async (simulation) => {
      const old = currentLeader(simulation);
      const some = busyAgents(simulation);
      const away = some.slice(0, 2);
      const inboundPartitioned = some.slice(2, 4);
      assert.ok(inboundPartitioned.length > 0);
      for (const agent of away)
        for (const node of simulation.controllers.keys()) agent.partitionedFrom.add(node);
      for (const agent of inboundPartitioned) agent.isInboundPartitioned = true;
      old.crash();
      cancelRunningJobs(simulation, 4);
      await advance(simulation, 9000);
      for (const agent of away) agent.partitionedFrom.clear();
      old.start();
      await advance(simulation, LEASE_MS * 4);
      for (const agent of inboundPartitioned) agent.isInboundPartitioned = false;
    },
  );
});

describe('jobs that end or are cancelled during faults', () => {
  faultScenario('tasks of a job end far apart, with leader changes in between', async (simulation) => {
    for (let i = 0; i < 4; i++) {
      for (let k = 0; k < 4; k++) simulation.submit({ kind: 'sweep', tasks: 2 + (k % 2), staggerMs: 9000 });
      await advance(simulation, 4500);
      const node = currentLeader(simulation);
      node.crash();
      await advance(simulation, i % 2 === 0 ? 50 : 3500);
      node.start();
    }
  });

  faultScenario(
    'cancellations, polls and retried submissions at the moment at which the last task ends',
    async (simulation) => {
      simulation.cancelAtEndProbability = 1;
      await advance(simulation, 40_000);
      simulation.cancelAtEndProbability = 0;
      const finals = new Set(
        [...simulation.cluster.submitted.values()]
          .filter((j) => j.isCancellationRequested)
          .map((j) => j.observedFinalState),
      );
      assert.ok(finals.has('done') && finals.has('cancelled'), 'both final states were observed');
    },
  );

  faultScenario(
    'a slow state service that refuses the leader, then an outage, during cancellations and polls',
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
      cancelRunningJobs(simulation, 4);
      await advance(simulation, 20_000);
      simulation.state.setOutage(false);
      simulation.maxStateDelayMs = 0;
      leader.isRefusedByState = false;
    },
  );
});

describe('loss of machines and zones', () => {
  faultScenario('jobs bound to one zone lose machines (hung and terminated)', async (simulation) => {
    for (let i = 0; i < 6; i++) {
      for (let k = 0; k < 2; k++)
        simulation.submit({ kind: k === 0 ? 'sweep' : 'ensemble', tasks: 4, fields: { samePlace: true } });
      await advance(simulation, 1500);
      const bound = busyAgents(simulation).find((agent) =>
        [...agent.tasks.values()].some((t) => t.job.body['samePlace'] === true && t.state === 'running'),
      );
      if (i % 3 === 0 && bound !== undefined) bound.isHung = true;
      else if (bound !== undefined) {
        bound.terminate();
        simulation.cluster.machines.delete(bound.name);
      }
      await advance(simulation, 2500);
    }
    await advance(simulation, LEASE_MS / 2);
    for (const agent of simulation.cluster.liveAgents()) if (agent.isHung) agent.resume();
  });

  faultScenario(
    'a zone with agents and a controller is partitioned for longer than a lease',
    async (simulation) => {
      const near = allControllers(simulation).filter((node) => node.zone === 'b');
      for (const node of near) node.unreachable.add('state').add('peers');
      simulation.network.partitionedZones.add('b');
      cancelRunningJobs(simulation, 5);
      await advance(simulation, LEASE_MS * 2);
      for (const node of near) node.unreachable.clear();
      simulation.network.partitionedZones.clear();
      await advance(simulation, 5000);
    },
  );
});

describe('full quotas and overload', () => {
  faultScenario(
    'a team at its quota, a leader change, unreachable machines and a cancellation',
    async (simulation) => {
      for (let k = 0; k < 12; k++)
        simulation.submit({ kind: 'sweep', tasks: 6, fields: { tenant: 'blue', cards: 2, vcpus: 2 } });
      await advance(simulation, 6000);
      const used = () =>
        busyAgents(simulation)
          .flatMap((agent) => [...agent.tasks.values()])
          .filter((t) => t.state !== 'ended' && t.job.body['tenant'] === 'blue')
          .reduce((gpus, task) => gpus + Number(task.job.body['cards']), 0);
      for (let i = 0; i < 60 && used() < 11; i++) await advance(simulation, 500);
      assert.ok(used() >= 11, `the team uses ${used()} of 12`);
      const blue = busyAgents(simulation).filter((agent) =>
        [...agent.tasks.values()].some((t) => t.job.body['tenant'] === 'blue'),
      );
      for (const agent of blue.slice(0, 2))
        for (const node of simulation.controllers.keys()) agent.partitionedFrom.add(node);
      const old = currentLeader(simulation);
      old.crash();
      for (const id of simulation
        .runningJobs()
        .filter((x) => simulation.cluster.submitted.get(x)!.body['tenant'] === 'blue')
        .slice(0, 2))
        simulation.cancel(id);
      await advance(simulation, 6000);
      for (const agent of blue) agent.partitionedFrom.clear();
      old.start();
    },
  );

  faultScenario('an overloaded cluster with all priorities over a slow network', async (simulation) => {
    simulation.isSmooth = false;
    for (let k = 0; k < 16; k++)
      simulation.submit({
        kind: k % 4 === 0 ? 'daemon' : 'sweep',
        tasks: 5,
        fields: { tier: ['production', 'urgent', 'standard', 'low'][k % 4] },
      });
    await advance(simulation, 20_000);
    cancelRunningJobs(simulation, 6);
  });
});

describe('cancellation while machines hang', () => {
  it('a cancellation is reported only once no record holds a task of the job', async () => {
    const simulation = await runUntilBusy(3);
    const ids = simulation.runningJobs().slice(0, 4);
    const found = ids.map((id) => {
      const agent = busyAgents(simulation).find((x) =>
        [...x.tasks.values()].some((t) => t.id === id && t.state !== 'ended'),
      )!;
      return { id, w: agent };
    });
    // The machines hang: nobody knows what runs there, so nobody may say that nothing does.
    for (const { w: agent } of found) agent.isHung = true;
    for (const id of ids) simulation.cancel(id);
    await advance(simulation, LEASE_MS * 0.6);
    for (const { id } of found)
      assert.equal(simulation.cluster.submitted.get(id)!.observedFinalState, null, id);
    for (const { w: agent } of found) agent.resume();
    await advance(simulation, 8000);
    for (const { id } of found)
      assert.notEqual(simulation.cluster.submitted.get(id)!.observedFinalState, null, id);
    const final = await simulation.controllers.get('c-0')!.controller!.jobs.find(jobId(ids[0]!));
    assert.ok(final?.state === 'cancelled' || final?.state === 'done');
  });
});
