/** The platform's settings file: unknown fields are ignored; a missing or invalid field is an error that names it. */
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
const nonNegative = Type.Number({ minimum: 0 });
const positiveInteger = Type.Integer({ minimum: 1 });

/** JSON schema of the platform's settings file; fields that it does not define are ignored. */
export const PlatformSettingsSchema = Type.Object({
  node: text,
  area: text,
  bind: address,
  internal_addr: address,
  others: Type.Optional(Type.Array(Type.Object({ node: text, area: text, endpoint: address }))),
  outside: Type.Object({ cloud: address, state: address }),
  cluster: Type.Object({
    count: positiveInteger,
    zones: Type.Array(text, { minItems: 1 }),
    time_bound_ms: nonNegative,
    teams: Type.Array(
      Type.Object({
        name: text,
        cpus: nonNegative,
        cpus_max: nonNegative,
        gpus: nonNegative,
        gpus_max: nonNegative,
      }),
    ),
    objectives: Type.Optional(
      Type.Array(
        Type.Object({
          kind: text,
          class: Type.Optional(text),
          within_s: Type.Optional(nonNegative),
          share: Type.Optional(nonNegative),
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
      txn_ops: positiveInteger,
      /** Limits that replace those above at some time, without notice; a limit that is absent here does not change. */
      next: Type.Optional(
        Type.Object({
          rps: Type.Optional(positive),
          write_rps: Type.Optional(positive),
          value_kb: Type.Optional(positive),
          txn_ops: Type.Optional(positiveInteger),
        }),
      ),
    }),
    cloud: Type.Object({ rps: positive, list_lag_s: nonNegative }),
    quota: Type.Object({ cpu: positive, ram_mb: positive, max_connections: positiveInteger }),
  }),
});
/** The content of the platform's settings file, under its own field names. */
export type PlatformSettingsFile = Static<typeof PlatformSettingsSchema>;

/** Thrown for settings that cannot be used; the message names the setting and says what is wrong with it. */
export class SettingsError extends CodedError {
  readonly code = 'invalid_settings';
}

/** Validates `value` and fills in its defaults. Returns the first error as `FIELD: REASON`; null if valid. */
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

/** Parses TOML. Throws a `SettingsError` of one line, which starts with `path` if given. */
export function parseToml(textOfFile: string, path?: string): unknown {
  try {
    return parse(textOfFile);
  } catch (cause) {
    const file = path === undefined ? '' : `${path}: `;
    const [firstLine = ''] = (cause as Error).message.split('\n');
    throw new SettingsError(`${file}not TOML: ${firstLine}`, { cause });
  }
}

/** The platform's settings under the names that the program uses. */
export interface PlatformSettings {
  readonly node: ReturnType<typeof nodeName>;
  readonly zone: Zone;
  /** Host and port to listen on for users, agents, operators and the load balancer. */
  readonly bind: string;
  /** Host and port to listen on for other controllers. */
  readonly peerBind: string;
  readonly peers: readonly {
    readonly node: ReturnType<typeof nodeName>;
    readonly zone: Zone;
    readonly address: string;
  }[];
  /** Host and port of the cloud. */
  readonly cloud: string;
  /** Host and port of the state service. */
  readonly state: string;
  /** Number of controllers, including this one. */
  readonly controllerCount: number;
  readonly zones: readonly Zone[];
  readonly teams: readonly Team[];
  readonly objectives: NonNullable<PlatformSettingsFile['cluster']['objectives']>;
  readonly agentTimings: PlatformSettingsFile['cluster']['workers'];
  readonly stateLimits: PlatformSettingsFile['cluster']['state'];
  readonly cloudLimits: PlatformSettingsFile['cluster']['cloud'];
  /** Resource limits of this process. */
  readonly processLimits: PlatformSettingsFile['cluster']['quota'];
}

/** Parses the platform's settings file. Throws `SettingsError` if the text is not TOML or does not fit the schema. */
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
    controllerCount: cluster.count,
    zones: cluster.zones.map(zoneName),
    teams: cluster.teams.map(teamFromSettings),
    objectives: cluster.objectives ?? [],
    agentTimings: cluster.workers,
    stateLimits: cluster.state,
    cloudLimits: cluster.cloud,
    processLimits: cluster.quota,
  };
}

/** Converts a team's settings; a maximum of 0 in the file means no quota, which is null in `Team`. */
function teamFromSettings(team: PlatformSettingsFile['cluster']['teams'][number]): Team {
  const limit = capacityVector(team.cpus_max, 0, team.gpus_max);
  return {
    name: teamName(team.name),
    guarantee: capacityVector(team.cpus, 0, team.gpus),
    cpuQuota: team.cpus_max > 0 ? limit[CPU] : null,
    gpuQuota: team.gpus_max > 0 ? limit[GPU] : null,
  };
}
