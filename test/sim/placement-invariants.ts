/**
 * Invariants of the tasks on simulated machines. A violation throws an `AssertionError` that begins with the invariant's
 * name: `ran_twice`, `wrong_place`, `ran_cancelled`, `too_early` or `quota`; an overfull machine has no such name.
 */
import assert from 'node:assert/strict';
import type { SimulatedAgent } from './simulated-agent.js';
import { MACHINE_CAPACITY, taskName, teamOf, type SimulatedTask } from './simulated-task.js';
import type { SubmittedJob } from './submitted-job.js';
import type { TaskPlacements } from './task-placements.js';

/** Tolerance for sums of fractional resources. */
const ROUNDING = 1e-9;

/** The state of a simulated cluster that the checks read. */
export interface ObservedCluster {
  readonly placements: TaskPlacements;
  readonly submitted: ReadonlyMap<string, SubmittedJob>;
  /** Number of GPUs that each team may use at once. */
  readonly quota: ReadonlyMap<string, number>;
}

/** Checks that a task may start on the agent's machine, and adds it to the placements. */
export function checkTaskStart(cluster: ObservedCluster, agent: SimulatedAgent, task: SimulatedTask): void {
  const { placements, submitted } = cluster;
  for (const other of placements.agentsOf(task))
    assert.equal(
      other,
      agent,
      `ran_twice: ${taskName(task)} starts on ${agent.name} while an attempt is on ${other.name}`,
    );
  checkPlacementConstraints(placements, agent, task);
  assert.equal(
    task.job.observedCancelledAt,
    null,
    `ran_cancelled: ${taskName(task)} starts on ${agent.name}, whose fencing token is ${agent.token}`,
  );
  checkDependencies(submitted, task);
  placements.add(agent, task);
  checkCapacity(agent, placements.tasksOn(agent));
  checkQuota(cluster, teamOf(task.job));
}

/** Fails if a task is still on a machine more than `allowedMs` after its job was reported cancelled to the user. */
export function checkNoCancelledTaskRuns(placements: TaskPlacements, now: number, allowedMs: number): void {
  for (const [agent, tasks] of placements.entries())
    for (const task of tasks) {
      const cancelledAt = task.job.observedCancelledAt;
      if (cancelledAt === null || now - cancelledAt <= allowedMs) continue;
      assert.fail(
        `ran_cancelled: ${taskName(task)} is on ${agent.name}, cancellation reported at ${cancelledAt} ms`,
      );
    }
}

function checkPlacementConstraints(
  placements: TaskPlacements,
  agent: SimulatedAgent,
  task: SimulatedTask,
): void {
  const { body, tasks } = task.job;
  const name = taskName(task);
  assert.ok(
    body['vault'] == null || body['vault'] === agent.zone,
    `wrong_place: ${name} in zone ${agent.zone}`,
  );
  assert.ok(!agent.isSpot || body['loaner'] === true, `wrong_place: ${name} on a spot machine`);
  const tasksByZone = new Map<string, number>([[agent.zone, 1]]);
  for (const [other, held] of placements.entries())
    for (const sibling of held)
      if (sibling.id === task.id && sibling !== task)
        tasksByZone.set(other.zone, (tasksByZone.get(other.zone) ?? 0) + 1);
  if (body['samePlace'] === true)
    assert.equal(tasksByZone.size, 1, `wrong_place: ${task.id} in several zones`);
  if (body['scatter'] === true)
    assert.ok(
      tasksByZone.get(agent.zone)! <= Math.ceil(tasks / 2),
      `wrong_place: ${task.id} not spread over zones`,
    );
}

function checkDependencies(submitted: ReadonlyMap<string, SubmittedJob>, task: SimulatedTask): void {
  for (const id of task.job.needs) {
    const needed = submitted.get(id)!;
    assert.equal(
      needed.doneTasks.size,
      needed.tasks,
      `too_early: ${taskName(task)} starts before its dependency ${id} is done`,
    );
  }
}

function checkCapacity(agent: SimulatedAgent, tasks: ReadonlySet<SimulatedTask>): void {
  let vcpus = 0;
  for (const task of tasks) vcpus += Number(task.job.body['vcpus']);
  assert.ok(
    vcpus <= MACHINE_CAPACITY.vcpus + ROUNDING,
    `machine ${agent.name} overfull: ${vcpus} vCPUs used`,
  );
}

function checkQuota({ placements, quota }: ObservedCluster, team: string): void {
  let used = 0;
  for (const [, tasks] of placements.entries())
    for (const task of tasks) if (teamOf(task.job) === team) used += Number(task.job.body['cards']);
  const limit = quota.get(team)!;
  assert.ok(used <= limit + ROUNDING, `quota: ${team} uses ${used} of ${limit} GPUs`);
}
