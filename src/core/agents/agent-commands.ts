/**
 * Which commands answer an agent's newest heartbeat.
 *
 * Stops may also be sent directly: they name one attempt, and attempts are never reused, so that a late stop does no harm.
 * Starts go out only in answers to heartbeats; see confirmed-exits.ts.
 */
import type { AgentCommand, ReportedTask } from '../model/heartbeats.js';
import type { TaskIndex } from '../model/ids.js';
import type { JobRecord } from '../model/jobs.js';
import type { Allocation, MachineRecord } from '../model/machines.js';
import { NO_RESOURCES, addResources, fitsWithin } from '../model/resources.js';
import type { MonotonicMs } from '../model/time.js';
import { heartbeatIdOf, type AgentSession } from './agent-session.js';
import { stopReasonFor, type DesiredState, type StopReason } from './desired-state.js';
import { reportedTasksByKey, taskKey } from './task-key.js';

/** Grace beside twice the declared time of a save, for reacting to the stop. */
const GRACE_SLACK_S = 2;

/** What the commands to one agent are decided from. */
export interface AgentCommandInput {
  readonly machine: MachineRecord;
  /** Updated with the starts and stops that the commands carry. */
  readonly session: AgentSession;
  readonly desired: DesiredState;
  readonly now: MonotonicMs;
  /** False: only stop and forget commands. */
  readonly mayStart: boolean;
}

/** A task of a machine's record. */
interface RecordedTask {
  readonly allocation: Allocation;
  readonly index: TaskIndex;
}

/** The commands that answer the session's newest heartbeat; none before the first. */
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
  { session, desired, mayStart }: AgentCommandInput,
  key: string,
  { job, index, attempt, exitReason }: ReportedTask,
  recorded: RecordedTask | undefined,
): AgentCommand[] {
  const forget: AgentCommand = { op: 'forget', job, index, attempt };
  // The allocation is removed in the transaction that writes the result: its absence shows that the result is durable.
  if (recorded === undefined) return [forget];
  if (!mayStart || exitReason !== 'incomplete') return [];
  if (stopReasonFor(recorded.allocation, recorded.index, desired) !== null) return [];
  // Once forgotten, the attempt can be started again. A new attempt would discard every fetch that takes longer than
  // a task may wait for its gang.
  session.startSentIn.set(key, heartbeatIdOf(session.heartbeat!));
  session.observedTasks.delete(key);
  return [forget, { op: 'start', job, index, attempt }];
}

function stopCommandFor(
  { session, desired, now }: AgentCommandInput,
  key: string,
  { job, index, attempt, state }: ReportedTask,
  recorded: RecordedTask | undefined,
): AgentCommand | null {
  const reason =
    recorded === undefined ? 'over' : stopReasonFor(recorded.allocation, recorded.index, desired);
  if (reason === null) return null;
  const graceS = gracePeriodFor(desired.jobs.get(job), reason);
  const requestedAt = session.stopRequestedAt.get(key) ?? now;
  session.stopRequestedAt.set(key, requestedAt);
  const isSaving = state === 'saving';
  // A second stop with a grace period would extend the save; after the period the task is ended.
  if (isSaving && graceS > 0 && now - requestedAt < graceS * 1000) return null;
  return { op: 'stop', job, index, attempt, gracePeriodS: isSaving ? 0 : graceS };
}

/** Time for a checkpoint: none for work that nobody needs any more. */
function gracePeriodFor(job: JobRecord | undefined, reason: StopReason): number {
  if (reason !== 'stopping' || job === undefined || job.spec.checkpointS <= 0) return 0;
  return job.spec.saveS * 2 + GRACE_SLACK_S;
}

/**
 * Starts recorded tasks that the agent does not list. A record may still hold allocations of finished tasks whose room is
 * used again, so that starts are limited to what fits beside the tasks known to run.
 */
function startCommands(
  { machine, session, desired }: AgentCommandInput,
  reported: ReadonlyMap<string, ReportedTask>,
  recorded: ReadonlyMap<string, RecordedTask>,
): AgentCommand[] {
  const commands: AgentCommand[] = [];
  let free = desired.totals.freeByMachine.get(machine.name) ?? NO_RESOURCES;
  for (const [key, { allocation }] of recorded)
    if (!isAlive(reported.get(key))) free = addResources(free, allocation.demand);
  for (const [key, { allocation, index }] of recorded) {
    if (reported.has(key) || session.exitedTasks.has(key)) continue;
    if (stopReasonFor(allocation, index, desired) !== null) continue;
    // A task of a gang that was there before has been lost, and the gang with it.
    if (allocation.kind === 'gang' && session.observedTasks.has(key)) continue;
    if (!fitsWithin(allocation.demand, free)) continue;
    free = addResources(free, allocation.demand, -1);
    session.startSentIn.set(key, heartbeatIdOf(session.heartbeat!));
    commands.push({ op: 'start', job: allocation.job, index, attempt: allocation.attempt });
  }
  return commands;
}

const isAlive = (task: ReportedTask | undefined): boolean => task !== undefined && task.state !== 'exited';
