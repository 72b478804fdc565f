/** How records are stored: the state service takes values up to a limit, which may fall while we run. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { TASK_WINDOW } from '../jobs/done-tasks.js';
import type { JobId } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import type { MachineRecord, Allocation } from '../model/machines.js';

/** How many bytes a value has in the state service. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** What a further entry of the job adds to a machine's record, and a further task in the same entry; at most. */
export const allocationBytes = (spec: JobSpec): number =>
  jsonBytes([spec.id, spec.team, spec.demand]) + ALLOCATION_FIELD_NAMES_BYTES;
const ALLOCATION_FIELD_NAMES_BYTES = 135;
/** What a further task in the same entry adds, at most. */
export const TASK_INDEX_BYTES = 7;

/**
 * A smaller record that says the same about what is placed: without the images that are known to be there; and where the
 * machine is given up, with the tasks of a job in one entry, since nobody commands them any more. Null where neither is
 * enough.
 */
export function shrinkMachineRecord(m: MachineRecord, limit: number): MachineRecord | null {
  const { images, ...rest } = m;
  if (images !== undefined && jsonBytes(rest) <= limit) return rest;
  if (m.phase !== 'releasing') return null;
  const placed: Allocation[] = [];
  for (const p of m.placed) {
    const at = placed.findIndex((o) => o.job === p.job);
    if (at < 0) placed.push(p);
    else placed[at] = { ...placed[at]!, tasks: [...placed[at]!.tasks, ...p.tasks] };
  }
  const merged = { ...rest, placed };
  return jsonBytes(merged) <= limit ? merged : null;
}

/**
 * A job's record as the state service keeps it. A list of dependencies that would not fit is compressed; versions before
 * pipelines ignore it in either form.
 */
export interface StoredJob extends Omit<JobRecord, 'spec'> {
  readonly spec: JobSpec & { readonly packedNeeds?: string };
}

/** What a bitmap of results may add to a job's record until it ends. */
const resultBytes = (tasks: number): number => Math.ceil(Math.min(tasks, TASK_WINDOW) / 6) + 30;

/** Null where the record could come to exceed the limit, whatever is done. */
export function toStoredJob(record: JobRecord, limit: number): StoredJob | null {
  const room = limit - resultBytes(record.spec.tasks);
  const bare = { ...record, done: { ...record.done, bits: '' } };
  if (jsonBytes(bare) <= room) return record;
  const { needs, ...spec } = record.spec;
  if (needs === undefined) return null;
  const packedNeeds = deflateRawSync(needs.join(' ')).toString('base64');
  return jsonBytes({ ...bare, spec: { ...spec, packedNeeds } }) <= room
    ? { ...record, spec: { ...spec, packedNeeds } }
    : null;
}

/** The record as the scheduler uses it, whichever version wrote it. */
export function fromStoredJob(stored: StoredJob): JobRecord {
  const known = stored.spec as StoredJob['spec'] | undefined;
  if (known?.packedNeeds === undefined) return stored;
  const { packedNeeds, ...spec } = known;
  const needs = inflateRawSync(Buffer.from(packedNeeds, 'base64')).toString().split(' ') as JobId[];
  return { ...stored, spec: { ...spec, needs } };
}

/** A list in parts that each stay within the limit, in order. */
export function splitBySize<T>(list: readonly T[], limit: number): T[][] {
  const parts: T[][] = [[]];
  let size = 2;
  for (const x of list) {
    const more = jsonBytes(x) + 1;
    if (size + more > limit && parts.at(-1)!.length > 0) {
      parts.push([]);
      size = 2;
    }
    parts.at(-1)!.push(x);
    size += more;
  }
  return parts;
}
