/**
 * Late copies of commands that were carried out and answered before: such a copy ran a task on two machines, and started a
 * cancelled one. Direct messages may arrive again at any time, and only stop attempts that are never started again. Answers
 * to heartbeats, which carry the starts, may arrive again as long as the agent takes answers to that heartbeat.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { faultScenario } from './sim/fault-scenario.js';
import { injectFaults } from './sim/faults.js';
import { advance, allControllers, busyAgents, cancelRunningJobs, cancelledJobs } from './sim/run-helpers.js';
import { SMALL, Simulation } from './sim/simulation.js';

/** Time after which a crashed controller, or a hung machine, is back. */
const BACK_AFTER_MS = 700;
const SEEDS = [3, 8, 12, 21];

/** From now on each command arrives again later, and every second heartbeat. */
function copyMessages(simulation: Simulation): void {
  simulation.duplicateCommandsProbability = 1;
  simulation.duplicateHeartbeatProbability = 0.5;
}

/** Crashes each controller in turn; each is back within a second. */
async function restartControllersInTurn(simulation: Simulation): Promise<void> {
  for (const node of allControllers(simulation)) {
    node.crash();
    await advance(simulation, BACK_AFTER_MS);
    node.start();
    await advance(simulation, 2000);
  }
}

/** Hangs the busy machines for less than a second. */
async function hangBriefly(simulation: Simulation): Promise<void> {
  const agents = busyAgents(simulation);
  assert.ok(agents.length > 0);
  for (const agent of agents) agent.isHung = true;
  await advance(simulation, BACK_AFTER_MS);
  for (const agent of agents) if (!agent.isTerminated) agent.resume();
}

describe('late copies of commands and heartbeats', () => {
  faultScenario(
    'start no cancelled task: jobs are cancelled while their controllers and machines are back within a second',
    async (simulation) => {
      copyMessages(simulation);
      await advance(simulation, 4000);
      cancelRunningJobs(simulation, 3);
      await restartControllersInTurn(simulation);
      cancelRunningJobs(simulation, 3);
      await hangBriefly(simulation);
      await advance(simulation, 15_000);
      assert.ok(cancelledJobs(simulation).length > 0, 'no job was cancelled');
      assert.ok(simulation.duplicateCommandsExecuted > 0, 'no copy was executed');
    },
    SEEDS,
  );

  faultScenario(
    'start no task that has moved: machines drain while their controllers are back within a second',
    async (simulation) => {
      copyMessages(simulation);
      for (let i = 0; i < 3; i++) {
        const urgent = { tier: 'production', vcpus: 8, cards: 2, memoryGb: 32, scatter: false, vault: null };
        simulation.submit({ kind: 'daemon', tasks: 4, fields: urgent });
        for (const agent of busyAgents(simulation).slice(0, 2)) agent.failsTasks = true;
        await restartControllersInTurn(simulation);
        await hangBriefly(simulation);
        for (const agent of simulation.cluster.liveAgents()) agent.failsTasks = false;
      }
      await advance(simulation, 15_000);
    },
    SEEDS,
  );

  for (const seed of SEEDS)
    it(`break no invariant beside random faults, seed ${seed}`, async () => {
      const simulation = new Simulation({ seed, size: SMALL });
      copyMessages(simulation);
      injectFaults(simulation, 70_000);
      await simulation.time.runUntil(100_000);
      assert.ok(simulation.cluster.tasksStarted > 30);
      assert.ok(simulation.duplicateCommandsExecuted > 0, 'no copy was executed');
    });
});
