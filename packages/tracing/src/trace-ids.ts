/** Ids of traces and spans, and their text form in the W3C trace context. */
import { createHash, randomBytes } from 'node:crypto';
import { TraceFlags, type SpanContext } from '@opentelemetry/api';
import type { IdGenerator } from '@opentelemetry/sdk-trace-base';
import type { TraceParent } from '../../../src/plugin-host/api.js';

const TRACE_ID_DIGITS = 32;
const SPAN_ID_DIGITS = 16;
const TRACE_PARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}$/;
/** Number of the trace id's leading hex digits that decide whether a job is sampled. */
const SAMPLE_DIGITS = 8;
const SAMPLE_VALUES = 16 ** SAMPLE_DIGITS;

const createContext = (traceId: string, spanId: string): SpanContext => ({
  traceId,
  spanId,
  traceFlags: TraceFlags.SAMPLED,
  isRemote: true,
});

/** The parent context of all spans of a job, derived from the job's id, so that it is the same at every controller. */
export function jobContext(job: string): SpanContext {
  const digest = createHash('sha256').update(job).digest('hex');
  return createContext(
    digest.slice(0, TRACE_ID_DIGITS),
    digest.slice(TRACE_ID_DIGITS, TRACE_ID_DIGITS + SPAN_ID_DIGITS),
  );
}

/** Whether a trace is among the fraction `ratio` that is recorded; the same at every controller. */
export const isSampled = ({ traceId }: SpanContext, ratio: number): boolean =>
  Number.parseInt(traceId.slice(0, SAMPLE_DIGITS), 16) / SAMPLE_VALUES < ratio;

/** Parses the `traceparent` of a W3C trace context; null where it is absent, empty or invalid. */
export function parseTraceParent(text: TraceParent | undefined): SpanContext | null {
  const match = TRACE_PARENT.exec(text ?? '');
  return match === null ? null : createContext(match[1]!, match[2]!);
}

/** Formats a context as the `traceparent` of a W3C trace context. */
export const formatTraceParent = ({ traceId, spanId }: SpanContext): TraceParent =>
  `00-${traceId}-${spanId}-01`;

const randomHex = (digits: number) => randomBytes(digits / 2).toString('hex');

/** Generates random ids, or gives a span the ids that were reserved for it. */
export class ReservableIdGenerator implements IdGenerator {
  /** The ids of the span that is being started; null for new ones. */
  private nextIds: SpanContext | null = null;

  /** Reserves a span in the parent's trace; without a parent, in a new trace. */
  reserve(parent: SpanContext | null): SpanContext {
    return createContext(parent?.traceId ?? randomHex(TRACE_ID_DIGITS), randomHex(SPAN_ID_DIGITS));
  }

  /** Gives the span that `startSpan` starts these ids; null for new ones. */
  withIds<T>(ids: SpanContext | null, startSpan: () => T): T {
    this.nextIds = ids;
    try {
      return startSpan();
    } finally {
      this.nextIds = null;
    }
  }

  generateTraceId = (): string => this.nextIds?.traceId ?? randomHex(TRACE_ID_DIGITS);

  generateSpanId = (): string => this.nextIds?.spanId ?? randomHex(SPAN_ID_DIGITS);
}
