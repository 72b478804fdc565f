/**
 * The size of an agent's heartbeat, which lists all tasks on its machine. A heartbeat is a request, and the protocol limits
 * the body of a request: an agent with more tasks than fit could not send heartbeats any more, and would lose its lease
 * and all tasks with it.
 */
import type { ReportedTask } from '../model/heartbeats.js';
import type { Attempt, JobId, TaskIndex } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { Allocation } from '../model/machines.js';
import { MAX_BODY_BYTES } from '../model/message-limits.js';

/** Most bytes of a heartbeat without its tasks: names of up to 200 characters and numbers of up to 20 digits. */
const HEADER_BYTES = 1024;
/** Most bytes that a listed task takes beside its job's id, its index and its attempt: that of an exited task. */
const LISTED_TASK_BYTES = 78;
/** Digits of the largest attempt that a number represents exactly. */
const MAX_ATTEMPT_DIGITS = 16;

/** Bytes of a heartbeat for the tasks that it lists. */
export const MAX_LISTED_TASKS_BYTES = MAX_BODY_BYTES - HEADER_BYTES;

/** Most bytes that a task takes in a heartbeat, whatever its state. */
export const listedTaskBytes = (job: JobId, index: TaskIndex, attempt: Attempt): number =>
  LISTED_TASK_BYTES + job.length + String(index).length + String(attempt).length;

/** Most bytes that any task of the job takes in a heartbeat, whatever its attempt. */
export const largestListedTaskBytes = ({ id, tasks }: JobSpec): number =>
  LISTED_TASK_BYTES + id.length + String(tasks - 1).length + MAX_ATTEMPT_DIGITS;

/** Most bytes that the tasks of an allocation take in a heartbeat. */
export function allocatedTasksBytes({ job, attempt, tasks }: Allocation): number {
  let bytes = 0;
  for (const index of tasks) bytes += listedTaskBytes(job, index, attempt);
  return bytes;
}

/** Most bytes that the tasks take in a heartbeat of their agent. */
export function reportedTasksBytes(tasks: readonly ReportedTask[]): number {
  let bytes = 0;
  for (const { job, index, attempt } of tasks) bytes += listedTaskBytes(job, index, attempt);
  return bytes;
}
