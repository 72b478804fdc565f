/**
 * The operators' own settings, in TOML files of their own. Everything has a default; an unknown name is an error, since it
 * is most likely misspelled.
 */
import { Type, type Static } from '@sinclair/typebox';
import { SettingsError, firstSchemaError, parseToml } from './platform-settings.js';

const seconds = (value: number) => Type.Number({ exclusiveMinimum: 0, default: value });
const section = { additionalProperties: false, default: {} };

/** The operators' settings file, with its defaults. */
export const OperatorSettingsSchema = Type.Object(
  {
    sessions: Type.Object(
      {
        /** Life of a controller's session and of the leadership without renewal. */
        ttl_s: seconds(8),
        renew_every_s: seconds(1.2),
      },
      section,
    ),
    slices: Type.Object(
      {
        /** A controller's session must be this old before a team is moved to it. */
        settled_s: seconds(10),
      },
      section,
    ),
    placement: Type.Object(
      {
        /** Machines whose fitness differs by less fit equally well; one that has cached the image is preferred. */
        h_slack: Type.Number({ minimum: 0, default: 0.6 }),
        /** A job that may preempt others waits this long for room to become free by itself. */
        patience_s: seconds(2),
        /**
         * Room is reserved for a gang of n tasks that has waited for this divided by the square root of n, for one gang
         * at a time in a shard: the larger a gang, the less likely it finds room by chance.
         */
        hold_after_s: seconds(240),
        /**
         * Smaller jobs wait behind a gang that waits for its team's quota, unless they have waited this long: users expect
         * a job to start within 90 s while there is room for it.
         */
        behind_s: seconds(60),
        /** For this long, jobs that may use spot machines leave empty on-demand machines to pending gangs. */
        yield_s: seconds(60),
        /** Room made by preemption is reserved for its job this long. */
        claim_s: seconds(15),
      },
      section,
    ),
    fleet: Type.Object(
      {
        /** An empty machine is returned after this many times the usual boot time of its type. */
        idle_boot_factor: seconds(1),
        /** A boot counts as late after the first multiple of the type's usual time, and as failed after the second. */
        late_boot_factor: seconds(1.5),
        lost_boot_factor: seconds(5),
        /** How long a refused type, zone and billing kind is not requested again. */
        refused_s: seconds(8),
        /** A machine whose latest runs all took this many times the usual time is drained and returned. */
        slow_factor: seconds(1.7),
        slow_runs: Type.Integer({ minimum: 1, default: 3 }),
        /** Arrivals are counted over this window to forecast demand. */
        forecast_window_s: seconds(150),
        /** Headroom, in standard deviations above the expected load. */
        spare_spread: Type.Number({ minimum: 0, default: 0.3 }),
        /** Time for which a task occupies its machine beside fetching and running. */
        overhead_s: seconds(5),
      },
      section,
    ),
    /** Sections of packages by name; each package checks its own. */
    packages: Type.Record(Type.String(), Type.Object({}, { additionalProperties: true }), { default: {} }),
    users: Type.Object(
      {
        /** Bounds of the limit on users' requests in progress. */
        least_in_progress: Type.Integer({ minimum: 1, default: 4 }),
        most_in_progress: Type.Integer({ minimum: 1, default: 200 }),
      },
      section,
    ),
  },
  section,
);
/** The operators' settings, complete with defaults. */
export type OperatorSettings = Static<typeof OperatorSettingsSchema>;

/** Reads the text of an operators' settings file. Throws `SettingsError`. */
export function readOperatorSettings(text: string): OperatorSettings {
  return readOperatorSettingsFiles([{ path: 'the file', text }]);
}

/** A file of operators' settings. */
export interface OperatorSettingsFile {
  readonly path: string;
  readonly text: string;
}

type Table = Record<string, unknown>;
/** Tables are plain objects with or without a prototype; dates and lists are none. */
function isTable(value: unknown): value is Table {
  if (typeof value !== 'object' || value === null) return false;
  const prototype: unknown = Object.getPrototypeOf(value);
  return prototype === null || prototype === Object.prototype;
}

/** Merges the settings of one file into those before it; returns the path of a setting that is set twice, or null. */
function mergeSettings(into: Table, from: Table, path: string): string | null {
  for (const [name, value] of Object.entries(from)) {
    const known = into[name];
    const here = path === '' ? name : `${path}.${name}`;
    if (known === undefined) into[name] = value;
    else if (!isTable(known) || !isTable(value)) return here;
    else {
      const duplicate = mergeSettings(known, value, here);
      if (duplicate !== null) return duplicate;
    }
  }
  return null;
}

/** Reads several files as one; a setting may stand in one of them only. Throws `SettingsError` with file and path. */
export function readOperatorSettingsFiles(files: readonly OperatorSettingsFile[]): OperatorSettings {
  const all: Table = {};
  for (const { path, text } of files) {
    const raw = parseToml(text, path);
    const schemaError = firstSchemaError(OperatorSettingsSchema, structuredClone(raw));
    if (schemaError !== null) throw new SettingsError(`${path}: ${schemaError}`);
    const duplicate = mergeSettings(all, raw as Table, '');
    if (duplicate !== null) throw new SettingsError(`${path}: ${duplicate}: another file sets it, too`);
  }
  const schemaError = firstSchemaError(OperatorSettingsSchema, all);
  if (schemaError !== null) throw new SettingsError(schemaError);
  return all as OperatorSettings;
}
