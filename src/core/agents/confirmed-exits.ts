/**
 * Determines which tasks have left their machine, as proved by a heartbeat.
 *
 * An allocation is removed from a machine's record only on such proof. Start commands are sent in answers to
 * heartbeats. An agent has one heartbeat in flight and drops late answers, so a heartbeat newer than the one whose
 * answer carried a start shows for certain whether that start was carried out.
 */
import type { ExitReason, ReportedTask } from '../model/heartbeats.js';
import type { TaskIndex } from '../model/ids.js';
import type { Allocation, MachineRecord } from '../model/machines.js';
import { hasShownToken, isNewer, type AgentSession } from './agent-session.js';
import { MAX_ANSWER_AGE_MS } from './agent-timing.js';
import { stopReasonFor, type DesiredState } from './desired-state.js';
import { reportedTasksByKey, taskKey } from './task-key.js';

/** A task that has left its machine. */
export interface TaskExit {
  readonly allocation: Allocation;
  readonly index: TaskIndex;
  /** Why the task exited; null if the agent does not know the task and will never start it. */
  readonly reason: ExitReason | null;
}

/** The exits proved by the session's newest heartbeat; none before the agent has shown the session's fencing token. */
export function confirmedExits(
  machine: MachineRecord,
  session: AgentSession,
  desired: DesiredState,
): TaskExit[] {
  if (!hasShownToken(session)) return [];
  const reported = reportedTasksByKey(session.heartbeat);
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
 * Whether a start command for the task may still be in flight. A task reported as exited is no exception: if its gang
 * was incomplete, it is started again under the same attempt, in the answer to the heartbeat that reports its exit. A copy
 * of that answer would start it once more after a further exit, since the copied command to forget precedes the start.
 */
function isStartPending({ sentStarts, lastPushedId, lastPushedAt }: AgentSession, key: string): boolean {
  const start = sentStarts.get(key);
  if (start === undefined) return false;
  if (lastPushedId === null || !isNewer(lastPushedId, start.heartbeat)) return true;
  return start.followsForget && lastPushedAt! - start.sentAt <= MAX_ANSWER_AGE_MS;
}

function exitOfReportedTask(
  allocation: Allocation,
  index: TaskIndex,
  task: ReportedTask,
  desired: DesiredState,
): TaskExit | null {
  // The gang did not start because other tasks still fetch their image: this one is started again under its attempt.
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
  // An agent that has lost its lease since then does not report the exit any more; an earlier heartbeat proved it.
  const exited = session.exitedTasks.get(key);
  if (exited !== undefined) return { allocation, index, reason: exited.reason };
  // An absent task that should run is started again, unless it belongs to a gang and an earlier heartbeat listed it:
  // its loss breaks the gang.
  const isLostFromGang = allocation.kind === 'gang' && session.observedTasks.has(key);
  if (!isLostFromGang && stopReasonFor(allocation, index, desired) === null) return null;
  return { allocation, index, reason: null };
}
