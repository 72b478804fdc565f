/**
 * Spans of jobs, derived from the controller's events: a job was accepted, a task was placed, committed, commanded to
 * start and first reported. All controllers use the same trace for a job, so that a job whose shard changes holder stays
 * one trace.
 */
import type { SpanContext } from '@opentelemetry/api';
import { evictOldest } from '../../../src/core/bounded-map.js';
import type { ServiceEvent, TaskOnMachine } from '../../../src/core/events.js';
import type { Heartbeat } from '../../../src/core/model/heartbeats.js';
import type { JobId, MachineName } from '../../../src/core/model/ids.js';
import { key } from '../../../src/core/records/keys.js';
import type { SpanTracer } from './span-tracer.js';
import { isSampled, jobContext } from './trace-ids.js';

/** Task starts tracked at once; beyond that the starts on the machine tracked for longest are dropped. */
const MAX_OPEN_STARTS = 5000;
/** Trace contexts of jobs kept at once; beyond that the oldest are evicted. */
const MAX_JOB_CONTEXTS = 2000;

/** The start of a task that no heartbeat has reported yet. */
interface OpenStart {
  readonly task: TaskOnMachine;
  readonly context: SpanContext;
  /** The last step that was completed. */
  step: 'placed' | 'committed' | 'commanded';
  /** When that step was completed, in milliseconds on the monotonic clock. */
  stepEndedAt: number;
}

const startId = ({ job, index, attempt }: Pick<TaskOnMachine, 'job' | 'index' | 'attempt'>) =>
  `${job}/${index}@${attempt}`;

/** Records the spans of sampled jobs. */
export class JobSpans {
  private readonly startsByMachine = new Map<MachineName, Map<string, OpenStart>>();
  /** Null for a job that is not sampled. */
  private readonly contextByJob = new Map<JobId, SpanContext | null>();
  /** Number of starts in `startsByMachine`. */
  private openCount = 0;

  constructor(
    private readonly tracer: SpanTracer,
    private readonly sampleRatio: number,
    private readonly now: () => number,
  ) {}

  /** Records the spans that the event completes. */
  onEvent(event: ServiceEvent): void {
    switch (event.kind) {
      case 'job_accepted':
        this.onJobAccepted(event.job, event.since);
        return;
      case 'task_placed':
        this.onTaskPlaced(event.task);
        return;
      case 'transaction':
        if (event.outcome === 'ok') this.onTransactionCommitted(event.keys);
        return;
      case 'command_sent':
        if (event.command.op === 'start') this.onStartSent({ ...event.command, machine: event.machine });
        return;
      case 'heartbeat_recorded':
        this.onHeartbeat(event.heartbeat);
        return;
      case 'task_exited':
      case 'task_preempted':
      case 'task_ran':
      case 'job_failing':
    }
  }

  /** The context of a job's trace; null where the job is not sampled. */
  private contextOf(job: JobId): SpanContext | null {
    let context = this.contextByJob.get(job);
    if (context === undefined) {
      const traceContext = jobContext(job);
      context = isSampled(traceContext, this.sampleRatio) ? traceContext : null;
      this.contextByJob.set(job, context);
      evictOldest(this.contextByJob, MAX_JOB_CONTEXTS);
    }
    return context;
  }

  private onJobAccepted(job: JobId, sinceMs: number): void {
    const context = this.contextOf(job);
    if (context === null) return;
    this.tracer.recordUnder(context, {
      name: 'job.submit',
      startMs: sinceMs,
      endMs: this.now(),
      attributes: { job },
    });
  }

  private onTaskPlaced(task: TaskOnMachine): void {
    const context = this.contextOf(task.job);
    if (context === null) return;
    if (this.openCount >= MAX_OPEN_STARTS) this.dropOldestMachine();
    const starts = this.startsByMachine.get(task.machine) ?? new Map<string, OpenStart>();
    this.startsByMachine.set(task.machine, starts);
    const id = startId(task);
    if (!starts.has(id)) this.openCount++;
    starts.set(id, { task, context, step: 'placed', stepEndedAt: this.now() });
  }

  private onTransactionCommitted(keys: readonly string[]): void {
    if (this.openCount === 0) return;
    for (const [machine, starts] of this.startsByMachine) {
      if (!keys.includes(key.machine(machine))) continue;
      for (const start of starts.values())
        if (start.step === 'placed') this.endStep(start, 'committed', 'task.commit');
    }
  }

  private onStartSent(task: TaskOnMachine): void {
    const start = this.startsByMachine.get(task.machine)?.get(startId(task));
    if (start !== undefined && start.step !== 'commanded') this.endStep(start, 'commanded', 'task.command');
  }

  private onHeartbeat(heartbeat: Heartbeat): void {
    const starts = this.startsByMachine.get(heartbeat.machine);
    if (starts === undefined) return;
    for (const task of heartbeat.tasks) {
      const id = startId(task);
      const start = starts.get(id);
      if (start?.step !== 'commanded') continue;
      this.endStep(start, 'commanded', 'task.first_report');
      starts.delete(id);
      this.openCount--;
    }
    if (starts.size === 0) this.startsByMachine.delete(heartbeat.machine);
  }

  /** Records the span of a step, which lasts from the end of the previous step until now. */
  private endStep(start: OpenStart, step: OpenStart['step'], name: string): void {
    const now = this.now();
    const { job, index, attempt, machine } = start.task;
    this.tracer.recordUnder(start.context, {
      name,
      startMs: start.stepEndedAt,
      endMs: now,
      attributes: { job, index, attempt, machine },
    });
    start.step = step;
    start.stepEndedAt = now;
  }

  /** Stops tracking the starts on the machine that has been tracked for longest. */
  private dropOldestMachine(): void {
    const oldest = this.startsByMachine.keys().next().value;
    if (oldest === undefined) return;
    this.openCount -= this.startsByMachine.get(oldest)!.size;
    this.startsByMachine.delete(oldest);
  }
}
