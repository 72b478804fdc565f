/** The options of the package: section `[packages.tracing]` of the operators' file. */
import { Type, type Static } from '@sinclair/typebox';

const positive = (value: number) => Type.Number({ exclusiveMinimum: 0, default: value });
const whole = (value: number) => Type.Integer({ minimum: 1, default: value });

/** What the section may hold, with its defaults. */
export const OptionsSchema = Type.Object(
  {
    /** Where an OpenTelemetry collector takes traces over OTLP/HTTP, for instance http://127.0.0.1:4318/v1/traces. */
    collector_url: Type.Optional(Type.String({ pattern: '^https?://[^ ]+$' })),
    /** A file that gets one span a line, as JSON. */
    file: Type.Optional(Type.String({ minLength: 1 })),
    /** The file is begun anew at this size, and one older one is kept. */
    file_mb: positive(16),
    /** The part of the jobs that is traced, the same ones at every controller. Failovers always are. */
    sample_ratio: Type.Number({ minimum: 0, maximum: 1, default: 0.1 }),
    /** Spans that wait to be sent; those beyond are dropped and counted. */
    queue_spans: whole(2048),
    batch_spans: whole(256),
    flush_ms: positive(1000),
    /** An export without an answer for so long has failed. */
    timeout_ms: positive(3000),
  },
  { additionalProperties: false, default: {} },
);

/** The options, complete with defaults. */
export type Options = Static<typeof OptionsSchema>;
