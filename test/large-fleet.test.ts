/**
 * Fleets of about 4,000 machines. The tests guard against fixed limits that are below that size, and against work or memory
 * that is small for each machine, heartbeat or pass of a small cluster and overloads a controller of a large one.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { ControllerContext } from '../src/controller/controller-context.js';
import { ProxiedMachineList } from '../src/controller/heartbeats/proxied-machine-list.js';
import { UnregisteredMachines } from '../src/controller/leader/unregistered-machines.js';
import { TransactionGuards } from '../src/controller/transaction-guards.js';
import { newAgentSession, recordHeartbeat } from '../src/core/agents/agent-session.js';
import { attempt, machineName, nodeName, revision, version } from '../src/core/model/ids.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import { monotonicMs } from '../src/core/model/time.js';
import { key, parseKey } from '../src/core/records/keys.js';
import { jsonBytes } from '../src/core/records/stored-records.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { allocationFor } from '../src/core/state/allocations.js';
import { ClusterView } from '../src/core/state/cluster-view.js';
import { heartbeatFromWire } from '../src/io/agents/agent-messages.js';
import type { ChangeSet } from '../src/io/state/change-set.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { machine, submission, types } from './samples.js';
import { advance, allControllers, currentLeader } from './sim/run-helpers.js';
import { HUGE, Simulation } from './sim/simulation.js';

const MACHINES = 4000;

/** Runs the simulation until the condition holds; fails if it does not within `ms` of simulated time. */
async function runUntil(
  simulation: Simulation,
  ms: number,
  what: string,
  holds: () => boolean,
): Promise<void> {
  for (let waited = 0; !holds(); waited += 1000) {
    assert.ok(waited < ms, `${what}: not reached within ${ms} ms`);
    await advance(simulation, 1000);
  }
}

describe('a fleet of 4,000 machines', () => {
  it('controllers serve 4,000 machines through the start, a crash and a burst of jobs', async () => {
    const simulation = new Simulation({ seed: 5, size: HUGE });
    simulation.isNetworkReliable = true;
    simulation.duplicateHeartbeatProbability = 0;
    // A task fills a machine, so that each machine has one.
    const fields = { vcpus: 14, cards: 0, tier: 'standard', vault: null, samePlace: false };
    const submitAll = (tasks: number, tenants: readonly string[], runMs: number) =>
      tenants.map((tenant) =>
        simulation.submit({
          kind: 'sweep',
          tasks,
          runMs,
          isNeverCancelled: true,
          fields: { ...fields, tenant },
        }),
      );
    const teams = ['red', 'blue', 'green'];
    submitAll(MACHINES / 3, teams, 100_000);
    const busy = () => simulation.cluster.liveAgents().filter((agent) => agent.tasks.size > 0).length;
    await runUntil(simulation, 120_000, 'a task on each of 3,900 machines', () => busy() >= MACHINES * 0.975);

    // Heartbeats without changes must cause no writes and few requests.
    const before = { ...simulation.state.counts };
    await advance(simulation, 5000);
    const writes = (simulation.state.counts.writes - before.writes) / 5;
    assert.ok(writes < HUGE.writeRps / 4, `${writes} writes per second while nothing changes`);

    // When a controller crashes, its shard moves in one transaction, and no agent's lease expires.
    const crashed = allControllers(simulation).find((node) => node !== currentLeader(simulation))!;
    const records = () => [...simulation.state.rows].filter(([k]) => parseKey(k).kind === 'machine');
    const versions = new Map(records().map(([k, r]) => [k, r.revision]));
    crashed.crash();
    await advance(simulation, 12_000);
    const rewritten = records().filter(([k, r]) => versions.get(k) !== r.revision).length;
    assert.ok(rewritten < MACHINES / 4, `${rewritten} machine records rewritten`);
    assert.equal(simulation.cluster.tasksLostToLeaseExpiry, 0, 'tasks killed by an expired lease');
    crashed.start();
    await advance(simulation, 8000);
    assert.equal(simulation.cluster.tasksLostToLeaseExpiry, 0, 'tasks killed by an expired lease');

    // A burst of small tasks runs on the resources that the large tasks leave.
    const starts = simulation.cluster.tasksStarted;
    for (const tenant of teams)
      for (let i = 0; i < 10; i++)
        simulation.submit({
          kind: 'sweep',
          tasks: 40,
          runMs: 4000,
          isNeverCancelled: true,
          fields: { ...fields, tenant, vcpus: 1, memoryGb: 1 },
        });
    await runUntil(simulation, 40_000, 'the burst', () => simulation.cluster.tasksStarted - starts >= 1200);
    assert.equal(simulation.state.oversizedTransactions, 0, 'transactions above a limit');
    for (const [k, r] of simulation.state.rows)
      assert.ok(jsonBytes(r.value) <= simulation.state.valueBytes, k);
  });
});

/** Guards against a controller that runs out of memory because it keeps too much for each machine. */
describe('memory of a controller', () => {
  it('the state that a controller keeps of 4,000 machines fits into its heap', () => {
    setFlagsFromString('--expose_gc');
    const gc = runInNewContext('gc') as () => void;
    const heap = () => {
      gc();
      return process.memoryUsage().heapUsed / 2 ** 20;
    };
    const TASKS = 8;
    const spec = jobFromWire(
      submission({ vcpus: 1, cards: 0, memoryGb: 1, shards: MACHINES * TASKS }) as never,
    );
    const before = heap();
    const view = new ClusterView();
    const sessions = [];
    for (let i = 0; i < MACHINES; i++) {
      const name = `n-${String(i).padStart(6, '0')}`;
      const tasks = [...Array(TASKS).keys()].map((k) => i * TASKS + k);
      // Parsed from JSON as in a controller, so that machines do not share objects.
      const text = JSON.stringify(machine(name, [allocationFor(spec, attempt(7), tasks)]));
      const value: unknown = JSON.parse(text);
      view.apply({ key: key.machine(machineName(name)), value, version: version(i + 10) });
      const session = newAgentSession(view.fencingTokenOf(value as MachineRecord), monotonicMs(0));
      const heartbeat = heartbeatFromWire(
        JSON.parse(
          JSON.stringify({
            teller: name,
            endpoint: '10.1.0.1:9000',
            flavor: 'm',
            vault: 'a',
            shift: 1,
            tally: 1,
            shards: tasks.map((t) => ({ shard: `wk-000412/${t}`, tryNo: 7, standing: 'running' })),
          }),
        ),
      );
      recordHeartbeat(session, heartbeat!, {
        now: monotonicMs(1),
        isPushed: true,
        heartbeatIntervalMs: 2000,
      });
      sessions.push(session);
    }
    const totals = new AllocationTotals(view.machines.values(), types, new Map());
    const used = heap() - before;
    assert.equal(totals.freeByMachine.size, MACHINES);
    assert.equal(sessions.length, MACHINES);
    // `deploy/service.toml` allows a heap of 72 MB; a controller without machines takes about 20 MB of it.
    assert.ok(used < 45, `${used.toFixed(1)} MB used, expected less than 45 MB`);
  });
});

/** Guards against proxied machines that their owners take for failed, since the list of them exceeds the size of a value. */
describe('reading of proxied machines', () => {
  it('a long list of proxied machines is split into records, each attributed to its controller', () => {
    const view = new ClusterView();
    const names = (from: number) => [...Array(700).keys()].map((i) => machineName(`n-${from + i}`));
    for (const part of [0, 1, 2])
      view.apply({
        key: key.proxiedMachines('c-1', part),
        value: { machines: names(part * 700), lease: 3 },
        version: version(10 + part),
      });
    const nodes = new Set([...view.proxiedMachines.values()].map((s) => s.node));
    assert.deepEqual(nodes, new Set(['c-1']));
    const listed = [...view.proxiedMachines.values()].reduce(
      (count, record) => count + record.machines.size,
      0,
    );
    assert.equal(listed, 2100);
    view.apply({ key: key.proxiedMachines('c-1', 1), value: undefined, version: version(20) });
    assert.equal(
      [...view.proxiedMachines.values()].reduce((count, record) => count + record.machines.size, 0),
      1400,
    );
  });
});

/** Guards against records above the size limit of a value, and against machines that stay listed after a refused removal. */
describe('publication of proxied machines', () => {
  it('all proxied machines are recorded within the size limit of a value', async () => {
    const view = new ClusterView();
    let latestRevision = 10;
    let refusesTransactions = false;
    const context = {
      view,
      settings: { node: nodeName('c-1') },
      guards: new TransactionGuards(view),
      watcher: { applyCommitted: () => undefined },
      state: {
        limits: { valueBytes: 2048 },
        transact: ({ operations }: ChangeSet) => {
          if (refusesTransactions) return Promise.resolve({ kind: 'refused' });
          latestRevision++;
          for (const { key: written, value } of operations) {
            assert.ok(value === undefined || jsonBytes(value) <= 2048);
            view.apply({ key: written, value, version: version(latestRevision) });
          }
          return Promise.resolve({ kind: 'ok', revision: revision(latestRevision) });
        },
      },
    };
    const list = new ProxiedMachineList(context as unknown as ControllerContext);
    const names = [...Array(Math.floor(MACHINES / 3)).keys()].map((i) =>
      machineName(`n-${String(i).padStart(6, '0')}`),
    );
    const listed = () =>
      [...view.proxiedMachines.values()]
        .filter((s) => s.node === 'c-1')
        .flatMap((s) => [...s.machines])
        .sort();
    await list.publish(names, 3);
    assert.deepEqual(listed(), names);
    await list.publish(names, 3);
    const before = latestRevision;
    await list.publish(names, 3);
    assert.equal(latestRevision, before, 'an unchanged list was written again');
    // A refused removal is repeated; otherwise, those machines would count as proxied here until the lease ends.
    refusesTransactions = true;
    await list.publish(names.slice(0, 3), 3);
    assert.deepEqual(listed(), names);
    refusesTransactions = false;
    await list.publish(names.slice(0, 3), 3);
    assert.deepEqual(listed(), names.slice(0, 3));
    await list.publish([], 3);
    assert.equal(view.proxiedMachines.size, 0);
  });
});

/** Guards against a bound on unconfirmed agents below the size of the fleet, with which none of them would be confirmed. */
describe('registration of unregistered machines', () => {
  it('4,000 unregistered machines are recognized after two heartbeats each', () => {
    let now = 0;
    const context = { clock: { now: () => monotonicMs(now) }, settings: { cloudLimits: { list_lag_s: 5 } } };
    const unregistered = new UnregisteredMachines(context as unknown as ControllerContext);
    for (const tally of [1, 2])
      for (let i = 0; i < MACHINES; i++) {
        now += 0.6;
        const heartbeat = heartbeatFromWire({
          teller: `n-${i}`,
          flavor: 'm',
          vault: 'a',
          shift: 1,
          tally,
          shards: [],
        });
        unregistered.recordHeartbeat(heartbeat!);
      }
    assert.equal(unregistered.confirmedCount, MACHINES);
  });
});
