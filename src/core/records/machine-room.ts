/**
 * What the messages about a machine leave for further tasks, beside its free resources: its record names each allocated
 * task, and so does each heartbeat of its agent. Both have a limit on their size.
 */
import { allocatedTasksBytes, largestListedTaskBytes } from '../agents/report-size.js';
import type { JobSpec } from '../model/jobs.js';
import type { Allocation } from '../model/machines.js';
import { TASK_INDEX_BYTES, allocationBytes } from './stored-records.js';

/** Least bytes that a record gains when a task leaves it: those of the shortest index. */
const MIN_INDEX_BYTES = 2;

/** Bytes that a machine's messages have left for further tasks. */
export interface MachineRoom {
  /** Bytes left in the machine's record. */
  readonly recordBytes: number;
  /** Bytes left in the heartbeats of the machine's agent. */
  readonly reportBytes: number;
}

/** Most bytes that tasks of one job take in the messages about their machine. */
interface TaskBytes {
  /** Bytes of the record for the job's first task on the machine, in addition to those for each task. */
  readonly allocation: number;
  /** Bytes of the agent's heartbeats for each task. */
  readonly report: number;
}

/** The bytes of each job, which are needed for each task and machine. */
const bytesBySpec = new WeakMap<JobSpec, TaskBytes>();

/**
 * How many further tasks of the job there is room for; `hasAllocation`: whether they share an allocation that the record
 * has already.
 */
export function tasksWithinRoom(room: MachineRoom, spec: JobSpec, hasAllocation: boolean): number {
  const { allocation, report } = taskBytesOf(spec);
  const recordBytes = room.recordBytes - (hasAllocation ? 0 : allocation);
  const tasks = Math.min(recordBytes / TASK_INDEX_BYTES, room.reportBytes / report);
  return Math.max(0, Math.floor(tasks));
}

/** The room that `tasks` further tasks of the job leave; `hasAllocation` as in `tasksWithinRoom`. */
export function roomAfter(
  { recordBytes, reportBytes }: MachineRoom,
  spec: JobSpec,
  tasks: number,
  hasAllocation: boolean,
): MachineRoom {
  if (tasks === 0) return { recordBytes, reportBytes };
  const { allocation, report } = taskBytesOf(spec);
  return {
    recordBytes: recordBytes - (hasAllocation ? 0 : allocation) - TASK_INDEX_BYTES * tasks,
    reportBytes: reportBytes - report * tasks,
  };
}

/** At least the room that there is once the tasks of the allocation, or of a part of one, have left the machine. */
export function roomWithout({ recordBytes, reportBytes }: MachineRoom, allocation: Allocation): MachineRoom {
  return {
    recordBytes: recordBytes + MIN_INDEX_BYTES * allocation.tasks.length,
    reportBytes: reportBytes + allocatedTasksBytes(allocation),
  };
}

function taskBytesOf(spec: JobSpec): TaskBytes {
  let bytes = bytesBySpec.get(spec);
  if (bytes === undefined) {
    bytes = { allocation: allocationBytes(spec), report: largestListedTaskBytes(spec) };
    bytesBySpec.set(spec, bytes);
  }
  return bytes;
}
