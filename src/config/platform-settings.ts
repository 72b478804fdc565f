/**
 * The platform's settings file: unknown fields are ignored; a missing or invalid one is an error that names it.
 */
import { Type, type Static, type TSchema } from '@sinclair/typebox';
import { Ajv } from 'ajv';
import { parse } from 'smol-toml';
import { CodedError } from '../core/errors.js';
import type { Team } from '../core/model/cluster.js';
import { nodeName, teamName, zoneName, type Zone } from '../core/model/ids.js';
import { CPU, GPU, capacityVector } from '../core/model/resources.js';

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
      /** Limits that will apply at some time without notice; those not named stay. */
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
export class SettingsError extends CodedError {
  readonly code = 'invalid_settings';
}

/** Fills in defaults; returns the first schema error as a line that names the field, or null. */
export function firstSchemaError(schema: TSchema, value: unknown): string | null {
  const validate = new Ajv({ useDefaults: true, strict: false }).compile(schema);
  if (validate(value)) return null;
  const error = validate.errors?.[0];
  const params = (error?.params ?? {}) as { missingProperty?: string; additionalProperty?: string };
  const name = params.missingProperty ?? params.additionalProperty;
  const field = [
    ...(error?.instancePath ?? '').split('/').slice(1),
    ...(name === undefined ? [] : [name]),
  ].join('.');
  return `${field === '' ? 'the file' : field}: ${error?.message ?? 'invalid'}`;
}

/** Parses TOML. Throws `SettingsError`. */
export function parseToml(textOfFile: string, path?: string): unknown {
  try {
    return parse(textOfFile);
  } catch (cause) {
    const file = path === undefined ? '' : `${path}: `;
    const [firstLine = ''] = (cause as Error).message.split('\n');
    throw new SettingsError(`${file}not TOML: ${firstLine}`, { cause });
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
  const schemaError = firstSchemaError(PlatformSettingsSchema, raw);
  if (schemaError !== null) throw new SettingsError(schemaError);
  const file = raw as PlatformSettingsFile;
  const { cluster } = file;
  return {
    node: nodeName(file.node),
    zone: zoneName(file.area),
    bind: file.bind,
    peerBind: file.internal_addr,
    peers: (file.others ?? []).map((other) => ({
      node: nodeName(other.node),
      zone: zoneName(other.area),
      address: other.endpoint,
    })),
    cloud: file.outside.cloud,
    state: file.outside.state,
    nodes: cluster.count,
    zones: cluster.zones.map(zoneName),
    teams: cluster.teams.map(teamFromSettings),
    objectives: cluster.objectives ?? [],
    workers: cluster.workers,
    stateLimits: cluster.state,
    cloudLimits: cluster.cloud,
    limits: cluster.quota,
  };
}

/** A limit of 0 in the file means that there is none. */
function teamFromSettings(team: PlatformSettingsFile['cluster']['teams'][number]): Team {
  const limit = capacityVector(team.cpus_max, 0, team.gpus_max);
  return {
    name: teamName(team.name),
    guarantee: capacityVector(team.cpus, 0, team.gpus),
    limitCpu: team.cpus_max > 0 ? limit[CPU] : null,
    limitGpu: team.gpus_max > 0 ? limit[GPU] : null,
  };
}
