/**
 * Spans of jobs, made from what the controller tells of its work: accepted, placed and committed, commanded, first reported.
 * Spans of one job have the same trace at every controller, so that a job which changes its owner stays one trace.
 */
import type { SpanContext } from '@opentelemetry/api';
import { evictOldest } from '../../../src/core/bounded-map.js';
import type { ServiceEvent, TaskOnMachine } from '../../../src/core/events.js';
import type { Heartbeat } from '../../../src/core/model/heartbeats.js';
import type { JobId, MachineName } from '../../../src/core/model/ids.js';
import { key } from '../../../src/core/records/keys.js';
import type { SpanTracer } from './span-tracer.js';
import { isSampled, jobContext } from './trace-ids.js';

/** Starts that are followed at once; beyond that the oldest are given up. */
const MOST_STARTS = 5000;
/** Contexts of jobs that are remembered. */
const MOST_JOBS = 2000;

/** A start that has not been reported yet. */
interface OpenStart {
  readonly task: TaskOnMachine;
  readonly context: SpanContext;
  step: 'placed' | 'committed' | 'commanded';
  /** When that step was done. */
  at: number;
}

const startKey = ({ job, index, attempt }: Pick<TaskOnMachine, 'job' | 'index' | 'attempt'>) =>
  `${job}/${index}@${attempt}`;

/** Makes spans of the jobs that are sampled. */
export class JobSpans {
  private readonly byMachine = new Map<MachineName, Map<string, OpenStart>>();
  private readonly contexts = new Map<JobId, SpanContext | null>();
  private open = 0;

  constructor(
    private readonly tracer: SpanTracer,
    private readonly ratio: number,
    private readonly now: () => number,
  ) {}

  /** Records the spans that the event completes. */
  note(event: ServiceEvent): void {
    switch (event.kind) {
      case 'job_accepted':
        this.accepted(event.job, event.since);
        return;
      case 'task_placed':
        this.placed(event.task);
        return;
      case 'transaction':
        if (event.outcome === 'ok') this.committed(event.keys);
        return;
      case 'command_sent':
        if (event.command.op === 'start') this.commanded({ ...event.command, machine: event.machine });
        return;
      case 'heartbeat_recorded':
        this.reported(event.heartbeat);
        return;
      case 'task_exited':
      case 'task_preempted':
      case 'task_ran':
      case 'job_failing':
    }
  }

  /** The context of a job's trace, or null where it is not among the part that is traced. */
  private contextOf(job: JobId): SpanContext | null {
    let context = this.contexts.get(job);
    if (context === undefined) {
      const whole = jobContext(job);
      context = isSampled(whole, this.ratio) ? whole : null;
      this.contexts.set(job, context);
      evictOldest(this.contexts, MOST_JOBS);
    }
    return context;
  }

  private accepted(job: JobId, sinceMs: number): void {
    const context = this.contextOf(job);
    if (context === null) return;
    this.tracer.recordBelow(context, {
      name: 'job.submit',
      startMs: sinceMs,
      endMs: this.now(),
      attributes: { job },
    });
  }

  private placed(task: TaskOnMachine): void {
    const context = this.contextOf(task.job);
    if (context === null) return;
    if (this.open >= MOST_STARTS) this.dropOldestMachine();
    const starts = this.byMachine.get(task.machine) ?? new Map<string, OpenStart>();
    this.byMachine.set(task.machine, starts);
    const k = startKey(task);
    if (!starts.has(k)) this.open++;
    starts.set(k, { task, context, step: 'placed', at: this.now() });
  }

  private committed(keys: readonly string[]): void {
    if (this.open === 0) return;
    for (const [machine, starts] of this.byMachine) {
      if (!keys.includes(key.machine(machine))) continue;
      for (const start of starts.values())
        if (start.step === 'placed') this.advance(start, 'committed', 'task.commit');
    }
  }

  private commanded(task: TaskOnMachine): void {
    const start = this.byMachine.get(task.machine)?.get(startKey(task));
    if (start !== undefined && start.step !== 'commanded') this.advance(start, 'commanded', 'task.command');
  }

  private reported(heartbeat: Heartbeat): void {
    const starts = this.byMachine.get(heartbeat.machine);
    if (starts === undefined) return;
    for (const task of heartbeat.tasks) {
      const k = startKey(task);
      const start = starts.get(k);
      if (start?.step !== 'commanded') continue;
      this.advance(start, 'commanded', 'task.first_report');
      starts.delete(k);
      this.open--;
    }
    if (starts.size === 0) this.byMachine.delete(heartbeat.machine);
  }

  /** Records the span of a step, from the end of the one before it. */
  private advance(start: OpenStart, step: OpenStart['step'], name: string): void {
    const now = this.now();
    const { job, index, attempt, machine } = start.task;
    this.tracer.recordBelow(start.context, {
      name,
      startMs: start.at,
      endMs: now,
      attributes: { job, index, attempt, machine },
    });
    start.step = step;
    start.at = now;
  }

  private dropOldestMachine(): void {
    const oldest = this.byMachine.keys().next().value;
    if (oldest === undefined) return;
    this.open -= this.byMachine.get(oldest)!.size;
    this.byMachine.delete(oldest);
  }
}
