/**
 * The operators' own settings, in a TOML file of their own. Everything has a default; here a name that is
 * not known is an error, because it is most likely misspelled.
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
        /** A controller must have been there this long before a team is moved to it. */
        settled_s: seconds(10),
      },
      section,
    ),
    placement: Type.Object(
      {
        /** Machines whose H differs by less count as fitting alike; then one that has the image is taken. */
        h_slack: Type.Number({ minimum: 0, default: 0.6 }),
        /** A job that may have others stopped for it waits this long for room to come by itself. */
        patience_s: seconds(2),
        /**
         * A gang of n tasks that has waited for this divided by the root of n has room kept for it, one gang at a time
         * in a slice: the larger it is, the less it finds room by chance.
         */
        hold_after_s: seconds(240),
        /**
         * Smaller work waits behind a gang that waits for its team's limit; but none that has waited this long, since
         * users give no job up to 90 s while there is room for it.
         */
        behind_s: seconds(60),
        /** Work that may use spot machines leaves empty ordinary ones to gangs that wait, for so long. */
        yield_s: seconds(60),
        /** Room made that way is kept for its job this long. */
        claim_s: seconds(15),
      },
      section,
    ),
    fleet: Type.Object(
      {
        /** An empty machine is returned after this many times the usual boot time of its type. */
        idle_boot_factor: seconds(1),
        /** A boot is taken for late after this many times the type's usual time, and given up after the second. */
        late_boot_factor: seconds(1.5),
        lost_boot_factor: seconds(5),
        /** How long a refused type, zone and kind is not asked for again. */
        refused_s: seconds(8),
        /** A machine whose latest runs all took this many times what is usual is drained and returned. */
        slow_factor: seconds(1.7),
        slow_runs: Type.Integer({ minimum: 1, default: 3 }),
        /** Arrivals are counted over this window to keep room ahead of need. */
        forecast_window_s: seconds(150),
        /** How many standard deviations above the expected load room is kept for. */
        spare_spread: Type.Number({ minimum: 0, default: 0.3 }),
        /** What a task holds its place beside fetching and running. */
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

/** Adds the settings of one file to those before it. The path of a setting that is there already, or null. */
function merge(into: Table, from: Table, path: string): string | null {
  for (const [name, value] of Object.entries(from)) {
    const known = into[name];
    const here = path === '' ? name : `${path}.${name}`;
    if (known === undefined) into[name] = value;
    else if (!isTable(known) || !isTable(value)) return here;
    else {
      const twice = merge(known, value, here);
      if (twice !== null) return twice;
    }
  }
  return null;
}

/** Reads several files as one; a setting may stand in one of them only. Throws `SettingsError` with file and path. */
export function readOperatorSettingsFiles(files: readonly OperatorSettingsFile[]): OperatorSettings {
  const all: Table = {};
  for (const { path, text } of files) {
    const raw = parseToml(text, path);
    const wrong = firstSchemaError(OperatorSettingsSchema, structuredClone(raw));
    if (wrong !== null) throw new SettingsError(`${path}: ${wrong}`);
    const twice = merge(all, raw as Table, '');
    if (twice !== null) throw new SettingsError(`${path}: ${twice}: another file sets it, too`);
  }
  const wrong = firstSchemaError(OperatorSettingsSchema, all);
  if (wrong !== null) throw new SettingsError(wrong);
  return all as OperatorSettings;
}
