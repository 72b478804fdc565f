/** The options of the package: section `[packages.warm_standby]` of the operators' file. */
import { Type, type Static } from '@sinclair/typebox';

const section = { additionalProperties: false, default: {} };
const positive = (value: number) => Type.Number({ exclusiveMinimum: 0, default: value });
const whole = (value: number) => Type.Integer({ minimum: 1, default: value });

/** What the section may hold, with its defaults. */
export const OptionsSchema = Type.Object(
  {
    /** Standbys of each shard; 0: none, and nothing to hand over to. */
    degree: Type.Integer({ minimum: 0, default: 1 }),
    /** Named groups of controllers that may fail together; without any, the zones of the platform's settings. */
    failure_domains: Type.Array(
      Type.Object(
        {
          name: Type.String({ minLength: 1, maxLength: 100 }),
          networks: Type.Array(Type.String({ minLength: 1 }), { minItems: 1 }),
        },
        { additionalProperties: false },
      ),
      { default: [] },
    ),
    replication: Type.Object(
      {
        heartbeat_ms: positive(300),
        answer_ms: positive(1000),
        /** The tail of a shard's log that is kept for standbys that fall behind. */
        tail_entries: whole(4000),
        batch_entries: whole(400),
        /** Most that is sent to one standby. */
        bytes_per_s: positive(65_536),
        /** A standby that is further behind is not warm. */
        max_lag_entries: whole(1000),
        max_lag_ms: positive(3000),
      },
      section,
    ),
    detection: Type.Object(
      {
        /** Suspicion level at which a holder is probed: 8 means one chance in 10^8 that it was only late. */
        phi: positive(8),
        /** Never probed before it was silent for so long. */
        least_silence_ms: positive(1000),
        probe_ms: positive(700),
        /** So many other controllers must confirm that they do not reach the holder. */
        witnesses: Type.Integer({ minimum: 0, default: 1 }),
      },
      section,
    ),
    takeover: Type.Object(
      {
        /** What the next standby in order waits for the one before it. */
        rank_delay_ms: positive(700),
        /** Pause after a failover of a shard; doubled with each further one up to the longest. */
        backoff_ms: positive(10_000),
        longest_backoff_ms: positive(300_000),
        /** Without a failover for so long the pause begins anew. */
        calm_ms: positive(600_000),
      },
      section,
    ),
    handover: Type.Object(
      {
        drain_ms: positive(3000),
        /** How long a controller that has handed over takes on nothing, if it is not restarted. */
        hold_ms: positive(120_000),
      },
      section,
    ),
  },
  section,
);

/** The options, complete with defaults. */
export type Options = Static<typeof OptionsSchema>;
