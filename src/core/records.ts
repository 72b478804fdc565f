// How large records are: the state service takes values up to a limit, which may fall while we run.
import type { JobSpec, MachineRecord, Placed } from './types.js';

/** How many bytes a value has in the state service. */
export const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** What a further entry of the job adds to a machine's record, and a further task in the same entry; at most. */
export const entryBytes = (spec: JobSpec): number => bytesOf([spec.id, spec.team, spec.demand]) + ENTRY_NAMES;
const ENTRY_NAMES = 135;
export const TASK_BYTES = 7;

/**
 * A smaller record that says the same about what is placed: without the images that are known to be there; and where the
 * machine is given up, with the tasks of a job in one entry, since nobody commands them any more. Null where neither is
 * enough.
 */
export function slim(m: MachineRecord, limit: number): MachineRecord | null {
  const { images, ...rest } = m;
  if (images !== undefined && bytesOf(rest) <= limit) return rest;
  if (m.phase !== 'releasing') return null;
  const placed: Placed[] = [];
  for (const p of m.placed) {
    const at = placed.findIndex((o) => o.job === p.job);
    if (at < 0) placed.push(p);
    else placed[at] = { ...placed[at]!, tasks: [...placed[at]!.tasks, ...p.tasks] };
  }
  const merged = { ...rest, placed };
  return bytesOf(merged) <= limit ? merged : null;
}

/** A list in parts that each stay within the limit, in order. */
export function partsWithin<T>(list: readonly T[], limit: number): T[][] {
  const parts: T[][] = [[]];
  let size = 2;
  for (const x of list) {
    const more = bytesOf(x) + 1;
    if (size + more > limit && parts.at(-1)!.length > 0) {
      parts.push([]);
      size = 2;
    }
    parts.at(-1)!.push(x);
    size += more;
  }
  return parts;
}
