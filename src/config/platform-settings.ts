/**
 * The platform's settings file: unknown fields are ignored, a missing or invalid one ends the start with a
 * line that names it.
 */
import { Type, type Static, type TSchema } from '@sinclair/typebox';
import { Ajv } from 'ajv';
import { parse } from 'smol-toml';
import type { Team } from '../core/model/cluster.js';
import { nodeName, teamName, zoneName, type Zone } from '../core/model/ids.js';
import { GPU, capacityVector } from '../core/model/resources.js';

const text = Type.String({ minLength: 1, maxLength: 200 });
const address = Type.String({ pattern: '^[0-9A-Za-z.-]+:[0-9]{1,5}$' });
const positive = Type.Number({ exclusiveMinimum: 0 });
const amount = Type.Number({ minimum: 0 });
const whole = Type.Integer({ minimum: 1 });

/** The platform's settings file; fields that are not named here are ignored. */
export const PlatformSettingsSchema = Type.Object({
  node: text,
  area: text,
  bind: address,
  internal_addr: address,
  others: Type.Optional(Type.Array(Type.Object({ node: text, area: text, endpoint: address }))),
  outside: Type.Object({ cloud: address, state: address }),
  cluster: Type.Object({
    count: whole,
    zones: Type.Array(text, { minItems: 1 }),
    time_bound_ms: amount,
    teams: Type.Array(
      Type.Object({ name: text, cpus: amount, cpus_max: amount, gpus: amount, gpus_max: amount }),
    ),
    objectives: Type.Optional(
      Type.Array(
        Type.Object({
          kind: text,
          class: Type.Optional(text),
          within_s: Type.Optional(amount),
          share: Type.Optional(amount),
        }),
      ),
    ),
    workers: Type.Object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: Type.Object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: whole,
      /** What it will have from some moment on, without notice; what is not named stays. */
      next: Type.Optional(
        Type.Object({
          rps: Type.Optional(positive),
          write_rps: Type.Optional(positive),
          value_kb: Type.Optional(positive),
          txn_ops: Type.Optional(whole),
        }),
      ),
    }),
    cloud: Type.Object({ rps: positive, list_lag_s: amount }),
    quota: Type.Object({ cpu: positive, ram_mb: positive, max_connections: whole }),
  }),
});
/** The platform's settings as they are written. */
export type PlatformSettingsFile = Static<typeof PlatformSettingsSchema>;

/** Settings that cannot be used; the message says what is wrong with them. */
export class SettingsError extends Error {}

/** Fills in defaults; gives the first thing wrong as a line naming the field, or null. */
export function firstSchemaError(schema: TSchema, value: unknown): string | null {
  const validate = new Ajv({ useDefaults: true, strict: false }).compile(schema);
  if (validate(value)) return null;
  const e = validate.errors?.[0];
  const params = (e?.params ?? {}) as { missingProperty?: string; additionalProperty?: string };
  const name = params.missingProperty ?? params.additionalProperty;
  const field = [...(e?.instancePath ?? '').split('/').slice(1), ...(name === undefined ? [] : [name])].join(
    '.',
  );
  return `${field === '' ? 'the file' : field}: ${e?.message ?? 'invalid'}`;
}

/** Parses TOML. Throws `SettingsError`. */
export function parseToml(textOfFile: string, path?: string): unknown {
  try {
    return parse(textOfFile);
  } catch (e) {
    const file = path === undefined ? '' : `${path}: `;
    throw new SettingsError(`${file}not TOML: ${(e as Error).message.split('\n')[0] ?? ''}`);
  }
}

/** The platform's settings as the program uses them. */
export interface PlatformSettings {
  readonly node: ReturnType<typeof nodeName>;
  readonly zone: Zone;
  readonly bind: string;
  readonly peerBind: string;
  readonly peers: readonly {
    readonly node: ReturnType<typeof nodeName>;
    readonly zone: Zone;
    readonly address: string;
  }[];
  readonly cloud: string;
  readonly state: string;
  readonly nodes: number;
  readonly zones: readonly Zone[];
  readonly teams: readonly Team[];
  readonly objectives: NonNullable<PlatformSettingsFile['cluster']['objectives']>;
  readonly workers: PlatformSettingsFile['cluster']['workers'];
  readonly stateLimits: PlatformSettingsFile['cluster']['state'];
  readonly cloudLimits: PlatformSettingsFile['cluster']['cloud'];
  readonly limits: PlatformSettingsFile['cluster']['quota'];
}

/** Reads the text of the platform's settings file. Throws `SettingsError`. */
export function readPlatformSettings(textOfFile: string): PlatformSettings {
  const raw = parseToml(textOfFile);
  const wrong = firstSchemaError(PlatformSettingsSchema, raw);
  if (wrong !== null) throw new SettingsError(wrong);
  const p = raw as PlatformSettingsFile;
  const c = p.cluster;
  return {
    node: nodeName(p.node),
    zone: zoneName(p.area),
    bind: p.bind,
    peerBind: p.internal_addr,
    peers: (p.others ?? []).map((o) => ({
      node: nodeName(o.node),
      zone: zoneName(o.area),
      address: o.endpoint,
    })),
    cloud: p.outside.cloud,
    state: p.outside.state,
    nodes: c.count,
    zones: c.zones.map(zoneName),
    teams: c.teams.map((t) => {
      const limit = capacityVector(t.cpus_max, 0, t.gpus_max);
      return {
        name: teamName(t.name),
        guarantee: capacityVector(t.cpus, 0, t.gpus),
        limitCpu: t.cpus_max > 0 ? limit[0] : null,
        limitGpu: t.gpus_max > 0 ? limit[GPU] : null,
      };
    }),
    objectives: c.objectives ?? [],
    workers: c.workers,
    stateLimits: c.state,
    cloudLimits: c.cloud,
    limits: c.quota,
  };
}
