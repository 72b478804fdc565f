/** How records are stored: the state service limits the size of values, and may lower the limit at run time. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { TASK_WINDOW } from '../jobs/done-tasks.js';
import type { JobId } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import type { Allocation, MachineRecord } from '../model/machines.js';

/** Bytes that one more task in an allocation adds to a machine's record, at most. */
export const TASK_INDEX_BYTES = 7;

/** Bytes of an allocation beside the values that depend on the job, at most. */
const ALLOCATION_FIELD_NAMES_BYTES = 135;
/** Tasks whose bits fit into one character of Base64. */
const TASKS_PER_BASE64_CHARACTER = 6;
/** Bytes that padding and growing counters of a set of done tasks add, at most. */
const DONE_SET_OVERHEAD_BYTES = 30;
/** The brackets of a JSON array. */
const EMPTY_LIST_BYTES = 2;

/** A job's record as the state service keeps it; versions without dependencies ignore either form of `needs`. */
export interface StoredJob extends Omit<JobRecord, 'spec'> {
  /** With the list of dependencies compressed where it would not fit: Base64 of the deflated ids, separated by spaces. */
  readonly spec: JobSpec & { readonly packedNeeds?: string };
}

/** The size of a value in the state service, in bytes. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Bytes that a further allocation of the job adds to a machine's record beside its tasks, at most. */
export const allocationBytes = (spec: JobSpec): number =>
  jsonBytes([spec.id, spec.team, spec.demand]) + ALLOCATION_FIELD_NAMES_BYTES;

/**
 * A smaller record with the same tasks: without the list of cached images, and, where the machine is being released, with
 * the tasks of a job in one allocation, since no agent is commanded by them any more. Null where neither is enough.
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

/** The record to store for a job; null where it could come to exceed the limit as tasks are done. */
export function toStoredJob(record: JobRecord, limitBytes: number): StoredJob | null {
  const availableBytes = limitBytes - maxDoneSetBytes(record.spec.tasks);
  const withoutBits = { ...record, done: { ...record.done, bits: '' } };
  if (jsonBytes(withoutBits) <= availableBytes) return record;
  const { needs, ...rest } = record.spec;
  if (needs === undefined) return null;
  const spec = { ...rest, packedNeeds: packJobIds(needs) };
  return jsonBytes({ ...withoutBits, spec }) <= availableBytes ? { ...record, spec } : null;
}

/** The job's record, in whichever form it was stored. */
export function fromStoredJob(stored: StoredJob): JobRecord {
  // A value of unknown origin may lack a spec.
  const known = stored.spec as StoredJob['spec'] | undefined;
  if (known?.packedNeeds === undefined) return stored;
  const { packedNeeds, ...spec } = known;
  return { ...stored, spec: { ...spec, needs: unpackJobIds(packedNeeds) } };
}

/** Splits a list into parts that each stay within the limit as JSON, in order; an item above the limit stands alone. */
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

/** What the set of done tasks may add to a job's record until the job ends. */
const maxDoneSetBytes = (tasks: number): number =>
  Math.ceil(Math.min(tasks, TASK_WINDOW) / TASKS_PER_BASE64_CHARACTER) + DONE_SET_OVERHEAD_BYTES;

const packJobIds = (ids: readonly JobId[]): string => deflateRawSync(ids.join(' ')).toString('base64');

const unpackJobIds = (packed: string): JobId[] =>
  inflateRawSync(Buffer.from(packed, 'base64')).toString().split(' ') as JobId[];
