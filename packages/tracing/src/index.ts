/**
 * Tracing: exports spans of jobs and failovers to an OpenTelemetry collector over OTLP/HTTP and to a file of JSON lines.
 * docs/operations/tracing.md tells operators how to use it.
 */
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { Gauge, Registry } from 'prom-client';
import type { RunningPlugin, PluginServices, PluginDefinition } from '../../../src/plugin-host/api.js';
import { JobSpans } from './job-spans.js';
import { JsonLinesExporter } from './json-lines-exporter.js';
import { OptionsSchema, type Options } from './options.js';
import { SpanQueue, type QueueCounts } from './span-queue.js';
import { SpanTracer } from './span-tracer.js';

const BYTES_PER_MB = 1024 * 1024;

function createQueues({ clock, node }: PluginServices, options: Options): SpanQueue[] {
  const queues: SpanQueue[] = [];
  if (options.collector_url !== undefined) {
    const exporter = new OTLPTraceExporter({
      url: options.collector_url,
      timeoutMillis: options.timeout_ms,
      concurrencyLimit: 1,
    });
    queues.push(new SpanQueue('collector', exporter, clock, options));
  }
  if (options.file !== undefined) {
    const exporter = new JsonLinesExporter(options.file, options.file_mb * BYTES_PER_MB, node);
    queues.push(new SpanQueue('file', exporter, clock, options));
  }
  return queues;
}

function createMetrics(queues: readonly SpanQueue[]): Registry {
  const registry = new Registry();
  const outcomes: readonly (keyof QueueCounts)[] = ['exported', 'failed', 'dropped'];
  new Gauge({
    name: 'pepperbank_tracing_spans',
    help: 'Spans since the start, by exporter and by what became of them',
    labelNames: ['exporter', 'outcome'],
    registers: [registry],
    collect() {
      for (const { name, counts } of queues)
        for (const outcome of outcomes) this.set({ exporter: name, outcome }, counts[outcome]);
    },
  });
  return registry;
}

function start(service: PluginServices, options: Options): RunningPlugin {
  const { clock, node } = service;
  const queues = createQueues(service, options);
  const tracer = new SpanTracer(node, clock, queues);
  const jobs = new JobSpans(tracer, options.sample_ratio, () => clock.now());
  const registry = createMetrics(queues);
  service.provideTracer(tracer);
  service.onEvent((event) => {
    jobs.onEvent(event);
  });
  return {
    run: async () => {
      await Promise.all(queues.map((q) => q.run()));
    },
    status: () => ({
      sampleRatio: options.sample_ratio,
      exporters: queues.map(({ name, queued, counts }) => ({ exporter: name, queued, ...counts })),
    }),
    metrics: () => registry.metrics(),
  };
}

/** The definition of plugin `tracing`. */
export const servicePackage: PluginDefinition<Options> = {
  schema: OptionsSchema,
  validate(options) {
    const { collector_url, file, queue_spans, batch_spans } = options;
    if (collector_url === undefined && file === undefined)
      return 'collector_url: neither collector_url nor file is set, spans would not be exported';
    return batch_spans > queue_spans
      ? `batch_spans: ${batch_spans} is more than queue_spans, ${queue_spans}`
      : null;
  },
  start,
};
