/**
 * The operators' settings, in TOML files apart from the platform's. Every setting has a default. An unknown
 * name is an error, since it is most likely misspelled.
 */
import { Type, type Static } from '@sinclair/typebox';
import { SettingsError, firstSchemaError, parseToml } from './platform-settings.js';

const seconds = (value: number) => Type.Number({ exclusiveMinimum: 0, default: value });
const section = { additionalProperties: false, default: {} };

/** JSON schema of an operators' settings file, with the defaults of all settings. */
export const OperatorSettingsSchema = Type.Object(
  {
    sessions: Type.Object(
      {
        /** Lease of a controller's session and of the leadership: both end after this time without renewal. */
        ttl_s: seconds(8),
        renew_every_s: seconds(1.2),
      },
      section,
    ),
    slices: Type.Object(
      {
        /** Minimum age of a controller's session before the shard named after it returns to it from another holder. */
        settled_s: seconds(10),
      },
      section,
    ),
    placement: Type.Object(
      {
        /**
         * Machines whose fitness differs by less than this count as fitting a task equally well; one that has cached
         * the image is preferred.
         */
        h_slack: Type.Number({ minimum: 0, default: 0.6 }),
        /** A job that may preempt others first waits this long for capacity to become free without preemption. */
        patience_s: seconds(2),
        /**
         * Capacity is reserved for a gang of n tasks once it has waited for this time divided by the square
         * root of n, for one gang at a time per shard: the larger a gang is, the less likely it finds enough
         * free capacity by chance.
         */
        hold_after_s: seconds(240),
        /**
         * Smaller jobs are held back for a gang that waits for its team's quota until they have waited this
         * long: users expect a job to start within 90 s while there is capacity for it.
         */
        behind_s: seconds(60),
        /** For this long after submission, jobs that may use spot machines leave empty on-demand ones to pending gangs. */
        yield_s: seconds(60),
        /** Capacity freed by preemption is reserved this long for the job that it was freed for. */
        claim_s: seconds(15),
      },
      section,
    ),
    fleet: Type.Object(
      {
        /** An empty machine is released once it has been empty for this multiple of the usual boot time of its type. */
        idle_boot_factor: seconds(1),
        /**
         * A boot counts as late after this multiple of the usual boot time of the machine type: scaling plans then no
         * longer count on the machine.
         */
        late_boot_factor: seconds(1.5),
        /**
         * A boot counts as failed after this multiple of the usual boot time of the machine type and a fixed grace
         * period: the machine is then released.
         */
        lost_boot_factor: seconds(5),
        /**
         * After the cloud refused a machine type in a zone, spot or on demand, it is not requested again for this long.
         */
        refused_s: seconds(8),
        /** A machine whose latest `slow_runs` runs all took this multiple of the usual time is drained and released. */
        slow_factor: seconds(1.7),
        slow_runs: Type.Integer({ minimum: 1, default: 3 }),
        /** Arrivals are counted over this window to forecast demand. */
        forecast_window_s: seconds(150),
        /** Spare capacity to keep, in standard deviations above the expected load. */
        spare_spread: Type.Number({ minimum: 0, default: 0.3 }),
        /** Time for which a task occupies its machine in addition to fetching its image and running. */
        overhead_s: seconds(5),
      },
      section,
    ),
    /** Sections `[packages.NAME]` of plugins by name; each is checked against the schema of its plugin. */
    packages: Type.Record(Type.String(), Type.Object({}, { additionalProperties: true }), { default: {} }),
    users: Type.Object(
      {
        /** Lower and upper bound of the adaptive limits on users' requests in progress. */
        least_in_progress: Type.Integer({ minimum: 1, default: 4 }),
        most_in_progress: Type.Integer({ minimum: 1, default: 200 }),
      },
      section,
    ),
  },
  section,
);
/** The operators' settings with all defaults filled in. */
export type OperatorSettings = Static<typeof OperatorSettingsSchema>;

/** Parses one operators' settings file. Throws `SettingsError` if the text is not TOML or does not fit the schema. */
export function readOperatorSettings(text: string): OperatorSettings {
  return readOperatorSettingsFiles([{ path: 'the file', text }]);
}

/** The path and the text of an operators' settings file. */
export interface OperatorSettingsFile {
  readonly path: string;
  readonly text: string;
}

type Table = Record<string, unknown>;
/** Tells whether a TOML value is a table: a plain object, with or without a prototype. Dates and arrays are not. */
function isTable(value: unknown): value is Table {
  if (typeof value !== 'object' || value === null) return false;
  const prototype: unknown = Object.getPrototypeOf(value);
  return prototype === null || prototype === Object.prototype;
}

/** Merges `source` into `target`. Returns the path of the first setting that both contain; null if there is none. */
function mergeSettings(target: Table, source: Table, tablePath: string): string | null {
  for (const [name, value] of Object.entries(source)) {
    const existing = target[name];
    const settingPath = tablePath === '' ? name : `${tablePath}.${name}`;
    if (existing === undefined) target[name] = value;
    else if (!isTable(existing) || !isTable(value)) return settingPath;
    else {
      const duplicate = mergeSettings(existing, value, settingPath);
      if (duplicate !== null) return duplicate;
    }
  }
  return null;
}

/**
 * Parses several operators' settings files and merges them; each setting may be in one of them only. Throws
 * `SettingsError`, whose message names the file and the setting.
 */
export function readOperatorSettingsFiles(files: readonly OperatorSettingsFile[]): OperatorSettings {
  const merged: Table = {};
  for (const { path, text } of files) {
    const raw = parseToml(text, path);
    const schemaError = firstSchemaError(OperatorSettingsSchema, structuredClone(raw));
    if (schemaError !== null) throw new SettingsError(`${path}: ${schemaError}`);
    const duplicate = mergeSettings(merged, raw as Table, '');
    if (duplicate !== null)
      throw new SettingsError(
        `${path}: ${duplicate}: another file sets it too, expected one file per setting`,
      );
  }
  const schemaError = firstSchemaError(OperatorSettingsSchema, merged);
  if (schemaError !== null) throw new SettingsError(schemaError);
  return merged as OperatorSettings;
}
