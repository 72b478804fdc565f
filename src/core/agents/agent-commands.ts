/**
 * Decides the commands that answer an agent's newest heartbeat.
 *
 * A stop may also be sent directly: it names one attempt, and attempt numbers are never reused, so a late stop is
 * harmless. Starts are sent only in answers to heartbeats; see confirmed-exits.ts.
 *
 * A copy of an answer may reach the agent again as long as the agent takes answers to that heartbeat. A copied start has no
 * effect while the agent lists the attempt, exited or not, so the attempt is forgotten only after that time. An owner under
 * another token need not wait: the agent drops answers with a lower token than that of the forget.
 */
import type { AgentCommand, ReportedTask } from '../model/heartbeats.js';
import type { TaskIndex } from '../model/ids.js';
import type { JobRecord } from '../model/jobs.js';
import type { Allocation, MachineRecord } from '../model/machines.js';
import { NO_RESOURCES, addResources, fitsWithin } from '../model/resources.js';
import type { MonotonicMs } from '../model/time.js';
import { dropAttempt, heartbeatIdOf, type AgentSession } from './agent-session.js';
import { MAX_ANSWER_AGE_MS } from './agent-timing.js';
import { stopReasonFor, type DesiredState, type StopReason } from './desired-state.js';
import { MAX_LISTED_TASKS_BYTES, listedTaskBytes, reportedTasksBytes } from './report-size.js';
import { reportedTasksByKey, taskKey } from './task-key.js';

/** Seconds that a grace period adds to twice the declared save time, for the task to react to the stop. */
const GRACE_SLACK_S = 2;

/** Input for deciding the commands to one agent. */
export interface AgentCommandInput {
  readonly machine: MachineRecord;
  /** The agent's session; updated with the starts and stops among the commands. */
  readonly session: AgentSession;
  readonly desired: DesiredState;
  readonly now: MonotonicMs;
  /** Whether start commands are allowed; otherwise there are only stop and forget commands. */
  readonly mayStart: boolean;
}

/** A task allocated in a machine's record. */
interface RecordedTask {
  readonly allocation: Allocation;
  readonly index: TaskIndex;
}

/** The commands that answer the session's newest heartbeat; none before the first heartbeat. */
export function agentCommands(input: AgentCommandInput): AgentCommand[] {
  const { heartbeat } = input.session;
  if (heartbeat === null) return [];
  const reported = reportedTasksByKey(heartbeat);
  const recorded = recordedTasksByKey(input.machine);
  const commands: AgentCommand[] = [];
  for (const [key, task] of reported) {
    const recordedTask = recorded.get(key);
    if (task.state === 'exited') {
      commands.push(...commandsForExitedTask(input, key, task, recordedTask));
      continue;
    }
    const stop = stopCommandFor(input, key, task, recordedTask);
    if (stop !== null) commands.push(stop);
  }
  if (input.mayStart) commands.push(...startCommands(input, reported, recorded));
  return commands;
}

function recordedTasksByKey(machine: MachineRecord): Map<string, RecordedTask> {
  const recorded = new Map<string, RecordedTask>();
  for (const allocation of machine.placed)
    for (const index of allocation.tasks)
      recorded.set(taskKey(allocation.job, index, allocation.attempt), { allocation, index });
  return recorded;
}

function commandsForExitedTask(
  { session, desired, now, mayStart }: AgentCommandInput,
  key: string,
  { job, index, attempt, exitReason }: ReportedTask,
  recorded: RecordedTask | undefined,
): AgentCommand[] {
  const forget: AgentCommand = { op: 'forget', job, index, attempt };
  // A done task's allocation is removed only once its result is durable, or while its job is being cancelled: without
  // an allocation, the agent may drop the exited task.
  if (recorded === undefined) {
    if (!mayForget(session, key, now)) return [];
    dropAttempt(session, key);
    return [forget];
  }
  if (!mayStart || exitReason !== 'incomplete') return [];
  if (stopReasonFor(recorded.allocation, recorded.index, desired) !== null) return [];
  // After a forget command the agent can start the same attempt again. A new attempt would discard each image fetch
  // that takes longer than a task may wait for its gang.
  recordStart(session, key, { now, followsForget: true });
  session.observedTasks.delete(key);
  return [forget, { op: 'start', job, index, attempt }];
}

/** Whether no copy of the task's start can reach the agent any more. */
function mayForget(session: AgentSession, key: string, now: MonotonicMs): boolean {
  const start = session.sentStarts.get(key);
  return start === undefined || now - start.sentAt > MAX_ANSWER_AGE_MS;
}

function recordStart(
  session: AgentSession,
  key: string,
  { now, followsForget }: { readonly now: MonotonicMs; readonly followsForget: boolean },
): void {
  session.sentStarts.set(key, {
    heartbeat: heartbeatIdOf(session.heartbeat!),
    sentAt: now,
    followsForget,
  });
}

function stopCommandFor(
  { session, desired, now }: AgentCommandInput,
  key: string,
  { job, index, attempt, state }: ReportedTask,
  recorded: RecordedTask | undefined,
): AgentCommand | null {
  const reason =
    recorded === undefined ? 'job_ended' : stopReasonFor(recorded.allocation, recorded.index, desired);
  if (reason === null) return null;
  const graceS = gracePeriodFor(desired.jobs.get(job), reason);
  const requestedAt = session.stopRequestedAt.get(key) ?? now;
  session.stopRequestedAt.set(key, requestedAt);
  const isSaving = state === 'saving';
  // A second stop with a grace period would extend the save. Once the period is over, a stop without one ends the task.
  if (isSaving && graceS > 0 && now - requestedAt < graceS * 1000) return null;
  return { op: 'stop', job, index, attempt, gracePeriodS: isSaving ? 0 : graceS };
}

/** Seconds to save a checkpoint; 0 for a task without checkpoints and for one whose work is not needed any more. */
function gracePeriodFor(job: JobRecord | undefined, reason: StopReason): number {
  if (reason !== 'stopping' || job === undefined || job.spec.checkpointS <= 0) return 0;
  return job.spec.saveS * 2 + GRACE_SLACK_S;
}

/**
 * Starts for recorded tasks that the agent does not report. A record may still hold allocations of finished tasks whose
 * resources are already allocated to others, so only tasks that fit beside those known to run are started. Nor does the
 * agent get more tasks than its next heartbeat can list; the others are started once it has forgotten exited ones.
 */
function startCommands(
  { machine, session, desired, now }: AgentCommandInput,
  reported: ReadonlyMap<string, ReportedTask>,
  recorded: ReadonlyMap<string, RecordedTask>,
): AgentCommand[] {
  const commands: AgentCommand[] = [];
  let free = desired.totals.freeByMachine.get(machine.name) ?? NO_RESOURCES;
  let bytesLeft = MAX_LISTED_TASKS_BYTES - reportedTasksBytes(session.heartbeat!.tasks);
  for (const [key, { allocation }] of recorded)
    if (!isAlive(reported.get(key))) free = addResources(free, allocation.demand);
  for (const [key, { allocation, index }] of recorded) {
    if (reported.has(key) || session.exitedTasks.has(key)) continue;
    if (stopReasonFor(allocation, index, desired) !== null) continue;
    // A gang's task that an earlier heartbeat listed has been lost, which breaks its gang: it is not started again.
    if (allocation.kind === 'gang' && session.observedTasks.has(key)) continue;
    const bytes = listedTaskBytes(allocation.job, index, allocation.attempt);
    if (!fitsWithin(allocation.demand, free) || bytes > bytesLeft) continue;
    free = addResources(free, allocation.demand, -1);
    bytesLeft -= bytes;
    recordStart(session, key, { now, followsForget: false });
    commands.push({ op: 'start', job: allocation.job, index, attempt: allocation.attempt });
  }
  return commands;
}

const isAlive = (task: ReportedTask | undefined): boolean => task !== undefined && task.state !== 'exited';
