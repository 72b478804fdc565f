/** Identifies task attempts across machine records, heartbeats and commands. */
import type { Heartbeat, ReportedTask } from '../model/heartbeats.js';
import type { Attempt, JobId, TaskIndex } from '../model/ids.js';

/** The key of one attempt of a task. */
export const taskKey = (job: JobId, index: TaskIndex, attempt: Attempt): string =>
  `${job}/${index}@${attempt}`;

/** The tasks of a heartbeat by `taskKey`, in the heartbeat's order. */
export const reportedTasksByKey = (heartbeat: Heartbeat): Map<string, ReportedTask> =>
  new Map(heartbeat.tasks.map((task) => [taskKey(task.job, task.index, task.attempt), task]));
