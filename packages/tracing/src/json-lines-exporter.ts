/** Exports spans to a file, one JSON object per line, and rotates the file at its maximum size. */
import { appendFile, rename, stat } from 'node:fs/promises';
import { ExportResultCode } from '@opentelemetry/core';
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base';

type ResultCallback = Parameters<SpanExporter['export']>[1];

const MS_PER_S = 1000;
const NS_PER_MS = 1_000_000;
/** Converts a time of OpenTelemetry, seconds and nanoseconds, to milliseconds. */
const toMs = ([s, ns]: readonly [number, number]): number => s * MS_PER_S + ns / NS_PER_MS;

/** One line of the span file. */
export interface SpanLine {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string | null;
  readonly startMs: number;
  readonly durationMs: number;
  readonly attributes: Readonly<Record<string, unknown>>;
  readonly node: string;
}

/** Converts a span that was recorded by controller `node` to its line of the file. */
export function toSpanLine(span: ReadableSpan, node: string): SpanLine {
  const { traceId, spanId } = span.spanContext();
  return {
    name: span.name,
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId ?? null,
    startMs: toMs(span.startTime),
    durationMs: toMs(span.duration),
    attributes: span.attributes,
    node,
  };
}

/** Appends spans to a file; when it would exceed `maxBytes`, it is renamed to `FILE.1`, which replaces the one before. */
export class JsonLinesExporter implements SpanExporter {
  constructor(
    private readonly file: string,
    private readonly maxBytes: number,
    private readonly node: string,
  ) {}

  /** Appends the spans to the file, one per line; `done` gets the outcome. */
  export(spans: ReadableSpan[], done: ResultCallback): void {
    const text = spans.map((span) => `${JSON.stringify(toSpanLine(span, this.node))}\n`).join('');
    this.write(text).then(
      () => {
        done({ code: ExportResultCode.SUCCESS });
      },
      (error: unknown) => {
        done({
          code: ExportResultCode.FAILED,
          error: error instanceof Error ? error : new Error(String(error)),
        });
      },
    );
  }

  private async write(text: string): Promise<void> {
    const size = await stat(this.file).then(
      (s) => s.size,
      () => 0,
    );
    if (size > 0 && size + text.length > this.maxBytes) await rename(this.file, `${this.file}.1`);
    await appendFile(this.file, text);
  }

  /** Does nothing, since no spans are buffered here. */
  shutdown(): Promise<void> {
    return Promise.resolve();
  }
}
