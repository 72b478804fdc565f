/** Tasks as the simulated agents run them. */
import type { SubmittedJob } from './submitted-job.js';

/** One attempt at a task of a job, on one machine. */
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

/** The task's name on the wire, which all of its attempts share. */
export function taskName(task: Pick<SimulatedTask, 'id' | 'index'>): string {
  return `${task.id}/${task.index}`;
}

/** Identifies one attempt within its agent. */
export function attemptKey(task: SimulatedTask): string {
  return `${taskName(task)}@${task.attempt}`;
}

/** The team that a task's job belongs to. */
export function teamOf(job: SubmittedJob): string {
  return String(job.body['tenant']);
}
