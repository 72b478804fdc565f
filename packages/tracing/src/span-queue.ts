/**
 * Spans on their way to one exporter: a bounded queue, one export at a time. An exporter that hangs, refuses or fails costs
 * the spans that it was given and those that find no room meanwhile; all of them are counted, and nobody waits.
 */
import { ExportResultCode } from '@opentelemetry/core';
import type { ReadableSpan, SpanExporter, SpanProcessor } from '@opentelemetry/sdk-trace-base';
import type { Clock } from '../../../src/core/model/clock.js';

/** Bounds of a queue. */
export interface QueueOptions {
  readonly queue_spans: number;
  readonly batch_spans: number;
  readonly flush_ms: number;
  readonly timeout_ms: number;
}

/** What became of the spans of one exporter. */
export interface QueueCounts {
  exported: number;
  failed: number;
  dropped: number;
}

/** Takes spans and exports them in batches. */
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

  get queued(): number {
    return this.queue.length;
  }

  /** Only finished spans are exported. */
  onStart(): void {
    // Spans are taken when they have ended.
  }

  /** Queues a finished span; drops it where the queue is full. */
  onEnd(span: ReadableSpan): void {
    if (this.queue.length >= this.options.queue_spans) this.counts.dropped++;
    else this.queue.push(span);
  }

  /** Exports what is queued, in batches; returns only when it fails. */
  async run(): Promise<never> {
    for (;;) {
      await this.clock.sleep(this.options.flush_ms);
      await this.forceFlush();
    }
  }

  /** Exports what is queued now, batch by batch; gives up with the first that fails. */
  async forceFlush(): Promise<void> {
    if (this.isExporting) return;
    this.isExporting = true;
    try {
      for (let left = this.queue.length; left > 0; left -= this.options.batch_spans) {
        const batch = this.queue.splice(0, Math.min(left, this.options.batch_spans));
        const isExported = await this.exportBatch(batch);
        this.counts[isExported ? 'exported' : 'failed'] += batch.length;
        if (!isExported) return;
      }
    } finally {
      this.isExporting = false;
    }
  }

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
