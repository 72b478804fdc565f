/** Records finished spans, whose times are given on the monotonic clock. */
import {
  ROOT_CONTEXT,
  trace,
  type Context,
  type SpanContext,
  type Tracer as ApiTracer,
} from '@opentelemetry/api';
import { resourceFromAttributes } from '@opentelemetry/resources';
import { BasicTracerProvider, AlwaysOnSampler, type SpanProcessor } from '@opentelemetry/sdk-trace-base';
import type { Clock } from '../../../src/core/model/clock.js';
import type { FinishedSpan, TraceParent, Tracer } from '../../../src/plugin-host/api.js';
import { ReservableIdGenerator, formatTraceParent, parseTraceParent } from './trace-ids.js';

const contextWithParent = (parent: SpanContext | null): Context =>
  parent === null ? ROOT_CONTEXT : trace.setSpanContext(ROOT_CONTEXT, parent);

/** The tracer of one controller: passes finished spans to the span processors. */
export class SpanTracer implements Tracer {
  private readonly ids = new ReservableIdGenerator();
  private readonly tracer: ApiTracer;

  constructor(
    node: string,
    private readonly clock: Clock,
    processors: SpanProcessor[],
  ) {
    const provider = new BasicTracerProvider({
      idGenerator: this.ids,
      sampler: new AlwaysOnSampler(),
      spanProcessors: processors,
      resource: resourceFromAttributes({ 'service.name': 'pepperbank', 'service.instance.id': node }),
    });
    this.tracer = provider.getTracer('pepperbank');
  }

  /** Records a finished span; a parent that is not a valid trace context counts as none. */
  record(span: FinishedSpan): void {
    this.recordUnder(parseTraceParent(span.parent), span);
  }

  /** Records a finished span with the given parent, which need not be a recorded span; null for a span without parent. */
  recordUnder(parent: SpanContext | null, { name, startMs, endMs, context, attributes }: FinishedSpan): void {
    const wallClockOffsetMs = this.clock.wallClock() - this.clock.now();
    const options = { startTime: wallClockOffsetMs + startMs, attributes: { ...attributes } };
    const span = this.ids.withIds(parseTraceParent(context), () =>
      this.tracer.startSpan(name, options, contextWithParent(parent)),
    );
    span.end(wallClockOffsetMs + Math.max(startMs, endMs));
  }

  /** Reserves the context of a span that is recorded later, so that other spans can name it as their parent before. */
  reserve(parent?: TraceParent): TraceParent {
    return formatTraceParent(this.ids.reserve(parseTraceParent(parent)));
  }
}
