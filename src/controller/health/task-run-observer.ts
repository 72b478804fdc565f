/** Derives the run times of tasks from successive heartbeats. */
import { taskKey } from '../../core/agents/task-key.js';
import type { TaskRun } from '../../core/health/slow-machine-detector.js';
import type { Heartbeat, ReportedTask } from '../../core/model/heartbeats.js';
import type { JobId, MachineName } from '../../core/model/ids.js';
import type { JobSpec } from '../../core/model/jobs.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { ControllerContext } from '../controller-context.js';

/** Callbacks for run times that show something about a job or a machine. */
export interface TaskRunListener {
  /** A task of the job has been running for `durationMs` milliseconds. */
  onRunning(job: JobId, durationMs: number): void;
  /** A task of the job has failed after it ran for `durationMs` milliseconds. */
  onRunFailed(job: JobId, durationMs: number): void;
  /** A task of an array is done; its run time depends on the speed of its own machine only. */
  onRunFinished(machine: MachineName, run: TaskRun): void;
}

/** Tracks since when tasks have been running. */
export class TaskRunObserver {
  /** When a heartbeat first showed a task as running, by machine and task key. */
  private readonly runningSince = new Map<MachineName, ReadonlyMap<string, MonotonicMs>>();

  constructor(
    private readonly context: ControllerContext,
    private readonly listener: TaskRunListener,
  ) {}

  /** Compares the heartbeat with the machine's previous one. */
  observe({ machine, tasks }: Heartbeat): void {
    const now = this.context.clock.now();
    const previous = this.runningSince.get(machine);
    const running = new Map<string, MonotonicMs>();
    for (const task of tasks) {
      const key = taskKey(task.job, task.index, task.attempt);
      const since = previous?.get(key);
      if (task.state === 'running') running.set(key, since ?? now);
      if (since !== undefined) this.reportRun(machine, task, now - since);
    }
    this.runningSince.set(machine, running);
  }

  /** Forgets a machine that no longer has a record. */
  forgetMachine(machine: MachineName): void {
    this.runningSince.delete(machine);
  }

  private reportRun(machine: MachineName, task: ReportedTask, durationMs: number): void {
    const spec = this.context.view.jobs.get(task.job)?.spec;
    // A late heartbeat about a finished job is ignored: what is recorded for the job would never be removed.
    if (spec === undefined) return;
    if (task.state === 'running') this.listener.onRunning(task.job, durationMs);
    if (task.exitReason === 'error') this.listener.onRunFailed(task.job, durationMs);
    // A gang runs at the speed of its slowest machine, so that its run time says nothing about this one.
    if (task.exitReason === 'done' && spec.kind === 'array')
      this.listener.onRunFinished(machine, taskRun(spec, durationMs));
  }
}

const taskRun = (spec: JobSpec, durationMs: number): TaskRun => ({
  job: spec.id,
  jobClass: spec.class,
  durationS: durationMs / 1000,
  estimateS: spec.estimateS,
});
