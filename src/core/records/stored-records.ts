/** The stored form of records. The state service limits the size of values, and may lower the limit at run time. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { TASK_WINDOW } from '../jobs/done-tasks.js';
import type { JobId } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import type { Allocation, MachineRecord } from '../model/machines.js';

/** Most bytes that one more task in an allocation adds to a machine's record. */
export const TASK_INDEX_BYTES = 7;

/** Most bytes of an allocation without the values that depend on its job. */
const ALLOCATION_FIELD_NAMES_BYTES = 135;
/** Tasks whose bits fit into one character of Base64. */
const TASKS_PER_BASE64_CHARACTER = 6;
/** Most bytes that the padding and the growing counters of a set of done tasks add to a job's record. */
const DONE_SET_OVERHEAD_BYTES = 30;
/** Bytes of the brackets of a JSON array. */
const EMPTY_LIST_BYTES = 2;

/** A job's record as stored. Versions without dependencies between jobs ignore either form of `needs`. */
export interface StoredJob extends Omit<JobRecord, 'spec'> {
  /** `packedNeeds` replaces `needs` where that would not fit: Base64 of the deflated ids, separated by spaces. */
  readonly spec: JobSpec & { readonly packedNeeds?: string };
}

/** The size of a value in the state service, in bytes. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Most bytes that a further allocation of the job adds to a machine's record, without its task indexes. */
export const allocationBytes = (spec: JobSpec): number =>
  jsonBytes([spec.id, spec.team, spec.demand]) + ALLOCATION_FIELD_NAMES_BYTES;

/**
 * A smaller record with the same tasks; null if it still exceeds the limit. The list of cached images is left out. For
 * a machine that is being released, the tasks of a job are also merged into one allocation, since its agent is no longer
 * commanded by what its allocations say.
 */
export function shrinkMachineRecord(machine: MachineRecord, limitBytes: number): MachineRecord | null {
  const { images, ...rest } = machine;
  if (images !== undefined && jsonBytes(rest) <= limitBytes) return rest;
  if (machine.phase !== 'releasing') return null;
  const merged = { ...rest, placed: mergeByJob(machine.placed) };
  return jsonBytes(merged) <= limitBytes ? merged : null;
}

function mergeByJob(allocations: readonly Allocation[]): Allocation[] {
  const merged: Allocation[] = [];
  for (const allocation of allocations) {
    const position = merged.findIndex(({ job }) => job === allocation.job);
    const existing = merged[position];
    if (existing === undefined) merged.push(allocation);
    else merged[position] = { ...existing, tasks: [...existing.tasks, ...allocation.tasks] };
  }
  return merged;
}

/** The record to store for a job; null if it could exceed the limit by the time that all tasks are done. */
export function toStoredJob(record: JobRecord, limitBytes: number): StoredJob | null {
  const availableBytes = limitBytes - maxDoneSetBytes(record.spec.tasks);
  const withoutBits = { ...record, done: { ...record.done, bits: '' } };
  if (jsonBytes(withoutBits) <= availableBytes) return record;
  const { needs, ...rest } = record.spec;
  if (needs === undefined) return null;
  const spec = { ...rest, packedNeeds: packJobIds(needs) };
  return jsonBytes({ ...withoutBits, spec }) <= availableBytes ? { ...record, spec } : null;
}

/** The job's record, read from either stored form. */
export function fromStoredJob(stored: StoredJob): JobRecord {
  // A value that was not written by this program may lack a spec.
  const storedSpec = stored.spec as StoredJob['spec'] | undefined;
  if (storedSpec?.packedNeeds === undefined) return stored;
  const { packedNeeds, ...spec } = storedSpec;
  return { ...stored, spec: { ...spec, needs: unpackJobIds(packedNeeds) } };
}

/**
 * Splits a list, in order, into parts whose JSON stays within the limit; an item above the limit is a part of its own.
 */
export function splitBySize<Item>(list: readonly Item[], limitBytes: number): Item[][] {
  let current: Item[] = [];
  let currentBytes = EMPTY_LIST_BYTES;
  const parts = [current];
  for (const item of list) {
    const itemBytes = jsonBytes(item) + 1;
    if (currentBytes + itemBytes > limitBytes && current.length > 0) {
      current = [];
      currentBytes = EMPTY_LIST_BYTES;
      parts.push(current);
    }
    current.push(item);
    currentBytes += itemBytes;
  }
  return parts;
}

/** Most bytes that the set of done tasks may take in the record of a job with `tasks` tasks. */
const maxDoneSetBytes = (tasks: number): number =>
  Math.ceil(Math.min(tasks, TASK_WINDOW) / TASKS_PER_BASE64_CHARACTER) + DONE_SET_OVERHEAD_BYTES;

const packJobIds = (ids: readonly JobId[]): string => deflateRawSync(ids.join(' ')).toString('base64');

const unpackJobIds = (packed: string): JobId[] =>
  inflateRawSync(Buffer.from(packed, 'base64')).toString().split(' ') as JobId[];
