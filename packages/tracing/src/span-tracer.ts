/** Records spans that have ended, from times of the monotonic clock. */
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
import { ReservableIds, formatTraceParent, parseTraceParent } from './trace-ids.js';

const below = (parent: SpanContext | null): Context =>
  parent === null ? ROOT_CONTEXT : trace.setSpanContext(ROOT_CONTEXT, parent);

/** The tracer of one controller. */
export class SpanTracer implements Tracer {
  private readonly ids = new ReservableIds();
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

  /** Records a span that has ended; see `Tracer`. */
  record(span: FinishedSpan): void {
    this.recordBelow(parseTraceParent(span.parent), span);
  }

  /** Records a span below a context, which need not be that of a span that was recorded. */
  recordBelow(parent: SpanContext | null, { name, startMs, endMs, self, attributes }: FinishedSpan): void {
    const toWall = this.clock.wallClock() - this.clock.now();
    const options = { startTime: toWall + startMs, attributes: { ...attributes } };
    const span = this.ids.using(parseTraceParent(self), () =>
      this.tracer.startSpan(name, options, below(parent)),
    );
    span.end(toWall + Math.max(startMs, endMs));
  }

  /** A context for a span that is recorded later; see `Tracer`. */
  reserve(parent?: TraceParent): TraceParent {
    return formatTraceParent(this.ids.reserve(parseTraceParent(parent)));
  }
}
