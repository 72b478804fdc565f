/**
 * Tasks that the simulated machines hold. A task counts from the start command on, which is stricter than the protocol,
 * where it counts from its start.
 */
import type { SimulatedAgent } from './simulated-agent.js';
import { taskName, type SimulatedTask } from './simulated-task.js';

/** Index of tasks by machine, and of machines by task. */
export class TaskPlacements {
  private readonly tasksByAgent = new Map<SimulatedAgent, Set<SimulatedTask>>();
  private readonly agentsByTask = new Map<string, Set<SimulatedAgent>>();

  /** Agents whose machines hold an attempt of the task. */
  agentsOf(task: SimulatedTask): ReadonlySet<SimulatedAgent> {
    return this.agentsByTask.get(taskName(task)) ?? new Set();
  }

  tasksOn(agent: SimulatedAgent): ReadonlySet<SimulatedTask> {
    return this.tasksByAgent.get(agent) ?? new Set();
  }

  add(agent: SimulatedAgent, task: SimulatedTask): void {
    addTo(this.agentsByTask, taskName(task), agent);
    addTo(this.tasksByAgent, agent, task);
  }

  /** All machines that ever held a task, in the order in which each got its first, with the tasks that they hold now. */
  entries(): Iterable<[SimulatedAgent, ReadonlySet<SimulatedTask>]> {
    return this.tasksByAgent;
  }

  /** All tasks of the same attempt of a gang, with their machines. */
  gangOf(task: SimulatedTask): [SimulatedAgent, SimulatedTask][] {
    const gang: [SimulatedAgent, SimulatedTask][] = [];
    for (const [agent, tasks] of this.tasksByAgent)
      for (const other of tasks)
        if (other.id === task.id && other.attempt === task.attempt) gang.push([agent, other]);
    return gang;
  }

  /** Removes the task from the machine; returns false if the machine did not hold it. */
  remove(agent: SimulatedAgent, task: SimulatedTask): boolean {
    const tasks = this.tasksByAgent.get(agent);
    if (tasks?.delete(task) !== true) return false;
    const name = taskName(task);
    if (![...tasks].some((other) => taskName(other) === name)) this.agentsByTask.get(name)?.delete(agent);
    return true;
  }
}

function addTo<Key, Value>(sets: Map<Key, Set<Value>>, key: Key, value: Value): void {
  const set = sets.get(key) ?? new Set();
  set.add(value);
  sets.set(key, set);
}
