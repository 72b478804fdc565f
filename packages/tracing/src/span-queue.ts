/**
 * A bounded queue of spans in front of one exporter, with one export at a time. When an exporter hangs, refuses or fails,
 * the batch that it was given is lost, and so are spans that arrive while the queue is full; all of them are counted.
 * Recording a span never waits for an exporter.
 */
import { ExportResultCode } from '@opentelemetry/core';
import type { ReadableSpan, SpanExporter, SpanProcessor } from '@opentelemetry/sdk-trace-base';
import type { Clock } from '../../../src/core/model/clock.js';

/** Limits and times of a queue, as the options have them. */
export interface QueueOptions {
  readonly queue_spans: number;
  readonly batch_spans: number;
  readonly flush_ms: number;
  readonly timeout_ms: number;
}

/** Number of spans by outcome, for one exporter since the start of the process. */
export interface QueueCounts {
  exported: number;
  failed: number;
  dropped: number;
}

/** Queues finished spans and exports them in batches. */
export class SpanQueue implements SpanProcessor {
  readonly counts: QueueCounts = { exported: 0, failed: 0, dropped: 0 };
  private queue: ReadableSpan[] = [];
  private isExporting = false;

  constructor(
    readonly name: string,
    private readonly exporter: SpanExporter,
    private readonly clock: Clock,
    private readonly options: QueueOptions,
  ) {}

  /** Number of spans in the queue. */
  get queued(): number {
    return this.queue.length;
  }

  /** Does nothing, since only finished spans are exported. */
  onStart(): void {
    // Spans are queued by `onEnd`.
  }

  /** Queues a finished span; drops and counts it where the queue is full. */
  onEnd(span: ReadableSpan): void {
    if (this.queue.length >= this.options.queue_spans) this.counts.dropped++;
    else this.queue.push(span);
  }

  /** Exports the queued spans every `flush_ms`; never returns, and throws on an unexpected error. */
  async run(): Promise<never> {
    for (;;) {
      await this.clock.sleep(this.options.flush_ms);
      await this.forceFlush();
    }
  }

  /** Exports the spans that are queued now, in batches until one fails. Does nothing while an export is in progress. */
  async forceFlush(): Promise<void> {
    if (this.isExporting) return;
    this.isExporting = true;
    try {
      for (let remaining = this.queue.length; remaining > 0; remaining -= this.options.batch_spans) {
        const batch = this.queue.splice(0, Math.min(remaining, this.options.batch_spans));
        const isExported = await this.exportBatch(batch);
        this.counts[isExported ? 'exported' : 'failed'] += batch.length;
        if (!isExported) return;
      }
    } finally {
      this.isExporting = false;
    }
  }

  /** Exports one batch; false where the exporter fails, throws or does not answer within `timeout_ms`. */
  private exportBatch(batch: ReadableSpan[]): Promise<boolean> {
    return new Promise((resolve) => {
      const stopTimer = this.clock.after(this.options.timeout_ms, () => {
        resolve(false);
      });
      const finish = (isExported: boolean) => {
        stopTimer();
        resolve(isExported);
      };
      try {
        this.exporter.export(batch, ({ code }) => {
          finish(code === ExportResultCode.SUCCESS);
        });
      } catch {
        finish(false);
      }
    });
  }

  /** Closes the exporter. */
  async shutdown(): Promise<void> {
    await this.exporter.shutdown();
  }
}
