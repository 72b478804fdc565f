/** Ids of traces and spans: of jobs by their name, so that all controllers agree without asking, and in W3C trace context. */
import { createHash, randomBytes } from 'node:crypto';
import { TraceFlags, type SpanContext } from '@opentelemetry/api';
import type { IdGenerator } from '@opentelemetry/sdk-trace-base';
import type { TraceParent } from '../../../src/plugin-host/api.js';

const TRACE_ID_DIGITS = 32;
const SPAN_ID_DIGITS = 16;
const TRACE_PARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}$/;
/** As many values as the digits have that the decision to trace a job is made by. */
const SAMPLE_DIGITS = 8;
const SAMPLE_VALUES = 16 ** SAMPLE_DIGITS;

const contextOf = (traceId: string, spanId: string): SpanContext => ({
  traceId,
  spanId,
  traceFlags: TraceFlags.SAMPLED,
  isRemote: true,
});

/** The context that all spans of a job have as their parent, at every controller. */
export function jobContext(job: string): SpanContext {
  const digest = createHash('sha256').update(job).digest('hex');
  return contextOf(
    digest.slice(0, TRACE_ID_DIGITS),
    digest.slice(TRACE_ID_DIGITS, TRACE_ID_DIGITS + SPAN_ID_DIGITS),
  );
}

/** Whether a trace is among the part that is recorded. */
export const isSampled = ({ traceId }: SpanContext, ratio: number): boolean =>
  Number.parseInt(traceId.slice(0, SAMPLE_DIGITS), 16) / SAMPLE_VALUES < ratio;

/** Reads a trace context; null where it has none or another form. */
export function parseTraceParent(text: TraceParent | undefined): SpanContext | null {
  const match = TRACE_PARENT.exec(text ?? '');
  return match === null ? null : contextOf(match[1]!, match[2]!);
}

/** Writes a trace context. */
export const formatTraceParent = ({ traceId, spanId }: SpanContext): TraceParent =>
  `00-${traceId}-${spanId}-01`;

const randomHex = (digits: number) => randomBytes(digits / 2).toString('hex');

/** Makes ids, and gives a span the ids that were reserved for it. */
export class ReservableIds implements IdGenerator {
  private reserved: SpanContext | null = null;

  /** A new span below the parent, or at the top of a trace of its own. */
  reserve(parent: SpanContext | null): SpanContext {
    return contextOf(parent?.traceId ?? randomHex(TRACE_ID_DIGITS), randomHex(SPAN_ID_DIGITS));
  }

  /** The span that is started by `work` gets these ids. */
  using<T>(ids: SpanContext | null, work: () => T): T {
    this.reserved = ids;
    try {
      return work();
    } finally {
      this.reserved = null;
    }
  }

  generateTraceId = (): string => this.reserved?.traceId ?? randomHex(TRACE_ID_DIGITS);

  generateSpanId = (): string => this.reserved?.spanId ?? randomHex(SPAN_ID_DIGITS);
}
