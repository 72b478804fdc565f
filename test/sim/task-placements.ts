/** Which tasks the simulated machines hold, from the start command on: stricter than the rules, which count from the start. */
import type { SimulatedAgent } from './simulated-agent.js';
import { taskName, type SimulatedTask } from './simulated-task.js';

/** Tasks by machine, and machines by task. */
export class TaskPlacements {
  private readonly tasksByAgent = new Map<SimulatedAgent, Set<SimulatedTask>>();
  private readonly agentsByTask = new Map<string, Set<SimulatedAgent>>();

  /** Machines that hold an attempt at the task. */
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

  /** All machines that ever held a task, in the order of their first. */
  entries(): Iterable<[SimulatedAgent, ReadonlySet<SimulatedTask>]> {
    return this.tasksByAgent;
  }

  /** Tasks of the same gang attempt, with their machines. */
  gangOf(task: SimulatedTask): [SimulatedAgent, SimulatedTask][] {
    const gang: [SimulatedAgent, SimulatedTask][] = [];
    for (const [agent, tasks] of this.tasksByAgent)
      for (const other of tasks)
        if (other.id === task.id && other.attempt === task.attempt) gang.push([agent, other]);
    return gang;
  }

  /** False where the machine did not hold it. */
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
