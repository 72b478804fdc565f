/** The options of plugin `tracing`: section `[packages.tracing]` of the operators' file. */
import { Type, type Static } from '@sinclair/typebox';

const positiveNumber = (value: number) => Type.Number({ exclusiveMinimum: 0, default: value });
const positiveInteger = (value: number) => Type.Integer({ minimum: 1, default: value });

/** Schema of the section, with its defaults. */
export const OptionsSchema = Type.Object(
  {
    /** URL at which an OpenTelemetry collector accepts traces over OTLP/HTTP, such as http://127.0.0.1:4318/v1/traces. */
    collector_url: Type.Optional(Type.String({ pattern: '^https?://[^ ]+$' })),
    /** File to which spans are written, one JSON object per line. */
    file: Type.Optional(Type.String({ minLength: 1 })),
    /** Size at which the file is rotated, in MiB; one older file is kept. */
    file_mb: positiveNumber(16),
    /** Fraction of the jobs that are traced, the same jobs at every controller. Failovers are always traced. */
    sample_ratio: Type.Number({ minimum: 0, maximum: 1, default: 0.1 }),
    /** Spans queued for an exporter at most; further ones are dropped and counted. */
    queue_spans: positiveInteger(2048),
    /** Spans in one export at most. */
    batch_spans: positiveInteger(256),
    /** Interval between exports. */
    flush_ms: positiveNumber(1000),
    /** An export without an answer within this time counts as failed. */
    timeout_ms: positiveNumber(3000),
  },
  { additionalProperties: false, default: {} },
);

/** The options of plugin `tracing`, with defaults filled in. */
export type Options = Static<typeof OptionsSchema>;
