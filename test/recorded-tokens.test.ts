/**
 * The room beside tasks that neither start nor end can be given to another shard. Guards against machines that the leader
 * never moves, since their records do not show that their agents have contact with their owner: after a restart of the
 * owner, and where the first task was placed as soon as the machine came up (review/7).
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { key } from '../src/core/records/keys.js';
import { advance, advanceUntil, holderOf } from './sim/run-helpers.js';
import { SMALL, runWithoutFaults, type Simulation } from './sim/simulation.js';

/** "no job is left waiting for 90 s while a machine that fits has room" */
const MAX_WAIT_MS = 90_000;
/** Half of one of the two machines that the cloud has. */
const HALF = { vcpus: 6, cards: 1, memoryGb: 24, vault: null, scatter: false, samePlace: false };
const RUNNING_FOR_GOOD_MS = 3_600_000;

/** Whether the job has a running task. */
const isRunning = ({ cluster }: Simulation, id: string): boolean =>
  cluster
    .liveAgents()
    .some((agent) =>
      [...cluster.placements.tasksOn(agent)].some((task) => task.id === id && task.state === 'running'),
    );

/** The shard of a team, according to the state service. */
const shardOf = (simulation: Simulation, team: string): string =>
  (simulation.state.rows.get(key.team(team as never))!.value as { owner: string }).owner;

/** A run with two machines, on each of which a job of team `red` runs for good. */
async function runWithBusyMachines(seed: number, fields: Record<string, unknown>, kind: 'daemon' | 'sweep') {
  const size = { ...SMALL, submitIntervalMs: 1e9, machinesPerZone: 1 };
  const simulation = await runWithoutFaults(seed, size, 3000);
  const ids = ['a', 'b'].map((vault) =>
    simulation.submit({
      kind,
      tasks: 1,
      runMs: RUNNING_FOR_GOOD_MS,
      isNeverCancelled: true,
      fields: { tenant: 'red', tier: 'standard', ...HALF, loaner: false, ...fields, vault },
    }),
  );
  await advanceUntil(simulation, () => ids.every((id) => isRunning(simulation, id)), MAX_WAIT_MS);
  return simulation;
}

async function restartHolderOf(simulation: Simulation, team: string): Promise<void> {
  const holder = simulation.controllers.get(holderOf(simulation, shardOf(simulation, team))!)!;
  holder.crash();
  await advance(simulation, 500);
  holder.start();
  await advance(simulation, 3000);
}

/** Submits a job of team `blue` and expects that it runs in time. */
async function expectStart(
  simulation: Simulation,
  kind: 'daemon' | 'sweep' | 'ensemble',
  tier: string,
): Promise<void> {
  assert.notEqual(shardOf(simulation, 'red'), shardOf(simulation, 'blue'), 'the teams share a shard');
  const fields = { tenant: 'blue', tier, loaner: false, ...HALF };
  const id = simulation.submit({ kind, tasks: 1, runMs: 5000, isNeverCancelled: true, fields });
  await advanceUntil(simulation, () => isRunning(simulation, id), MAX_WAIT_MS);
}

describe('a job starts within 90 s on a machine of another shard', () => {
  for (const seed of [1, 2, 3]) {
    it(`beside a service, after a restart of the controller that holds the machine, seed ${seed}`, async () => {
      const simulation = await runWithBusyMachines(seed, {}, 'daemon');
      await restartHolderOf(simulation, 'red');
      await expectStart(simulation, 'sweep', 'standard');
    });

    it(`beside a service that was placed as soon as the machine came up, seed ${seed}`, async () => {
      const simulation = await runWithBusyMachines(seed, {}, 'daemon');
      await advance(simulation, 20_000);
      await expectStart(simulation, 'sweep', 'standard');
    });

    it(`whose long low-priority tasks must stop, after a restart of its controller, seed ${seed}`, async () => {
      const whole = { tier: 'low', vcpus: 16, cards: 4, memoryGb: 64 };
      const simulation = await runWithBusyMachines(seed, whole, 'sweep');
      await restartHolderOf(simulation, 'red');
      await expectStart(simulation, 'daemon', 'production');
    });
  }
});
