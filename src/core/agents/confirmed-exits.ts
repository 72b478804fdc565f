/**
 * Which tasks a heartbeat proves to have left their machine.
 *
 * An allocation is removed from a machine's record only on such a proof. Start commands travel in answers to heartbeats:
 * an agent has one heartbeat in flight and drops late answers, so that a heartbeat newer than the one whose answer carried
 * a start shows for certain whether that start was carried out.
 */
import type { ExitReason, ReportedTask } from '../model/heartbeats.js';
import type { TaskIndex } from '../model/ids.js';
import type { Allocation, MachineRecord } from '../model/machines.js';
import { isNewer, type AgentSession } from './agent-session.js';
import { stopReasonFor, type DesiredState } from './desired-state.js';
import { reportedTasksByKey, taskKey } from './task-key.js';

/** A task that has left its machine. */
export interface TaskExit {
  readonly allocation: Allocation;
  readonly index: TaskIndex;
  /** Null: the machine does not know the task and will never start it. */
  readonly reason: ExitReason | null;
}

/** The exits that the newest heartbeat proves. Nothing is proved before the agent has shown the session's token. */
export function confirmedExits(
  machine: MachineRecord,
  session: AgentSession,
  desired: DesiredState,
): TaskExit[] {
  const { heartbeat } = session;
  if (heartbeat?.token !== session.token) return [];
  const reported = reportedTasksByKey(heartbeat);
  const exits: TaskExit[] = [];
  for (const allocation of machine.placed) {
    for (const index of allocation.tasks) {
      const key = taskKey(allocation.job, index, allocation.attempt);
      if (isStartPending(session, key)) continue;
      const task = reported.get(key);
      const exit =
        task === undefined
          ? exitOfAbsentTask(allocation, index, session, desired)
          : exitOfReportedTask(allocation, index, task, desired);
      if (exit !== null) exits.push(exit);
    }
  }
  return exits;
}

/**
 * Whether a start command may still be under way. This holds for tasks reported as exited, too: a task whose gang was
 * incomplete is started again under its attempt, in the answer to the heartbeat that reports its exit.
 */
function isStartPending(session: AgentSession, key: string): boolean {
  const startSentIn = session.startSentIn.get(key);
  if (startSentIn === undefined) return false;
  return session.lastPushed === null || !isNewer(session.lastPushed, startSentIn);
}

function exitOfReportedTask(
  allocation: Allocation,
  index: TaskIndex,
  task: ReportedTask,
  desired: DesiredState,
): TaskExit | null {
  // Its gang has not started because others still fetch their image: the task waits again under the same attempt.
  if (task.exitReason === 'incomplete' && stopReasonFor(allocation, index, desired) === null) return null;
  return task.state === 'exited' ? { allocation, index, reason: task.exitReason ?? 'error' } : null;
}

function exitOfAbsentTask(
  allocation: Allocation,
  index: TaskIndex,
  session: AgentSession,
  desired: DesiredState,
): TaskExit | null {
  const key = taskKey(allocation.job, index, allocation.attempt);
  // An agent that has lost its lease since has forgotten the exit; the exit was confirmed before.
  const exited = session.exitedTasks.get(key);
  if (exited !== undefined) return { allocation, index, reason: exited.reason };
  // A wanted task that is absent is started again, but for one of a gang that was there before: the gang is broken.
  const isLostFromGang = allocation.kind === 'gang' && session.observedTasks.has(key);
  if (!isLostFromGang && stopReasonFor(allocation, index, desired) === null) return null;
  return { allocation, index, reason: null };
}
