/** Tasks that simulated agents run. */
import type { SubmittedJob } from './submitted-job.js';

/** One attempt of a job's task on one machine; `id` is the job's. */
export interface SimulatedTask {
  readonly job: SubmittedJob;
  readonly id: string;
  readonly index: number;
  readonly attempt: number;
  state: 'pulling' | 'waiting' | 'running' | 'flushing' | 'ended';
  exitCause: string | null;
}

/** Resources of every simulated machine. */
export const MACHINE_CAPACITY = { vcpus: 16, cards: 4, memoryGb: 64 };

/** Name of a task on the wire, which all attempts of the task share. */
export function taskName(task: Pick<SimulatedTask, 'id' | 'index'>): string {
  return `${task.id}/${task.index}`;
}

/** Key of one attempt of a task, unique within its agent. */
export function attemptKey(task: SimulatedTask): string {
  return `${taskName(task)}@${task.attempt}`;
}

/** Name of the team that submitted a job. */
export function teamOf(job: SubmittedJob): string {
  return String(job.body['tenant']);
}
