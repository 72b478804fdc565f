/** The options of plugin `warm_standby`: section `[packages.warm_standby]` of the operators' file. */
import { Type, type Static } from '@sinclair/typebox';

const section = { additionalProperties: false, default: {} };
const positiveNumber = (value: number) => Type.Number({ exclusiveMinimum: 0, default: value });
const positiveInteger = (value: number) => Type.Integer({ minimum: 1, default: value });

/** Schema of the section, with defaults. */
export const OptionsSchema = Type.Object(
  {
    /** Number of standbys of each shard; with 0 there are none, and no controller to hand a shard over to. */
    degree: Type.Integer({ minimum: 0, default: 1 }),
    /** Named groups of controllers that may fail together; without any, the zones of the platform file are used. */
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
        /** Interval at which a holder sends to each standby, with or without new entries. */
        heartbeat_ms: positiveNumber(300),
        /** Timeout of a replication message or a prepare request. */
        answer_ms: positiveNumber(1000),
        /** Number of the latest log entries kept for standbys that fall behind; beyond it they need a snapshot. */
        tail_entries: positiveInteger(4000),
        /** Maximum number of entries in one append. */
        batch_entries: positiveInteger(400),
        /** Maximum rate at which a holder sends to one standby, for each shard. */
        bytes_per_s: positiveNumber(65_536),
        /** Replication lag in entries above which a standby is not warm. */
        max_lag_entries: positiveInteger(1000),
        /** Replication lag in time above which a standby is not warm. */
        max_lag_ms: positiveNumber(3000),
      },
      section,
    ),
    detection: Type.Object(
      {
        /** Suspicion level at which a holder is probed: 8 is a chance of one in 10^8 that its message is only late. */
        phi: positiveNumber(8),
        /** Minimum silence before a holder is probed, whatever its suspicion level. */
        least_silence_ms: positiveNumber(1000),
        /** Timeout of a probe, of the holder as of a witness. */
        probe_ms: positiveNumber(700),
        /** Number of other controllers that must confirm that the holder does not answer them. */
        witnesses: Type.Integer({ minimum: 0, default: 1 }),
      },
      section,
    ),
    takeover: Type.Object(
      {
        /** How long a standby waits for each one before it in rank, or for one that has applied more entries. */
        rank_delay_ms: positiveNumber(700),
        /** Pause after a failover of a shard; it doubles with each further one up to `longest_backoff_ms`. */
        backoff_ms: positiveNumber(10_000),
        longest_backoff_ms: positiveNumber(300_000),
        /** Time without a failover of the shard after which the pause is `backoff_ms` again. */
        calm_ms: positiveNumber(600_000),
      },
      section,
    ),
    handover: Type.Object(
      {
        /** How long a handover waits for a standby to acknowledge the shard's whole log. */
        drain_ms: positiveNumber(3000),
        /** How long a controller that has handed over its shards acquires nothing, unless it is restarted. */
        hold_ms: positiveNumber(120_000),
      },
      section,
    ),
  },
  section,
);

/** The options of the plugin, with defaults filled in. */
export type Options = Static<typeof OptionsSchema>;
