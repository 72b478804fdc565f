/**
 * Keeps records within the largest value that the state service accepts, and the tasks of a machine within what its agent
 * can report.
 */
import { MAX_LISTED_TASKS_BYTES, allocatedTasksBytes, listedTaskBytes } from '../core/agents/report-size.js';
import { taskKey } from '../core/agents/task-key.js';
import type { Heartbeat } from '../core/model/heartbeats.js';
import type { JobRecord } from '../core/model/jobs.js';
import type { MachineRecord } from '../core/model/machines.js';
import type { MachineRoom } from '../core/records/machine-room.js';
import { jsonBytes, toStoredJob, type StoredJob } from '../core/records/stored-records.js';

/** Upper bound, in bytes, for the names of cached images in a machine's record. */
const MAX_IMAGES_BYTES = 300;
/** Upper bound for the names of cached images, as a fraction of the largest value. */
const IMAGES_FRACTION = 1 / 8;
/** Bytes reserved in each allocation for `stop`, which is added when its tasks are to be stopped. */
const STOP_FIELD_BYTES = 13;
/** Bytes reserved for what later commits add to a machine's record: `address`, `drain`, `heard`, a longer `phase`. */
const RESERVED_FIELDS_BYTES = 130;
/** Bytes assumed for the record of a machine that is yet to be rented. */
const NEW_MACHINE_RECORD_BYTES = 300;

/** Bytes that tasks which are not in a machine's record take in one of its heartbeats. */
interface UnrecordedTasks {
  readonly machine: MachineRecord;
  readonly bytes: number;
}

/**
 * Computes how many bytes of their limits a machine's record and heartbeats have left, and keeps jobs' records within the
 * limit. Records and heartbeats are never changed in place, so what is computed for one stays valid for as long as it
 * exists.
 */
export class RecordBudget {
  private readonly sizes = new WeakMap<MachineRecord, number>();
  /** Bytes that the allocated tasks of a record take in a heartbeat. */
  private readonly allocatedBytes = new WeakMap<MachineRecord, number>();
  private readonly unrecordedTasks = new WeakMap<Heartbeat, UnrecordedTasks>();

  constructor(private readonly valueBytes: number) {}

  /** Bytes that the names of cached images may take in a machine's record. */
  get imagesBytes(): number {
    return Math.min(MAX_IMAGES_BYTES, Math.floor(this.valueBytes * IMAGES_FRACTION));
  }

  /** Bytes left for further allocations, after the reserves for images and for fields that may still be added. */
  bytesLeft(machine: MachineRecord): number {
    let size = this.sizes.get(machine);
    if (size === undefined) {
      size = jsonBytes({ ...machine, images: undefined }) + STOP_FIELD_BYTES * machine.placed.length;
      this.sizes.set(machine, size);
    }
    return Math.max(0, this.valueBytes - size - this.imagesBytes - RESERVED_FIELDS_BYTES);
  }

  /** Whether the record, without the images that may be left out of it, can be stored. */
  isStorable(machine: MachineRecord): boolean {
    return jsonBytes({ ...machine, images: undefined }) <= this.valueBytes;
  }

  /**
   * What the machine's messages have left for further tasks. Its agent lists the tasks of the record and those of its
   * newest heartbeat that have left the record, until it has forgotten them; null if no heartbeat is known.
   */
  roomOf(machine: MachineRecord, heartbeat: Heartbeat | null): MachineRoom {
    const listedBytes =
      this.allocatedBytesOf(machine) + (heartbeat === null ? 0 : this.unrecordedBytesOf(machine, heartbeat));
    return {
      recordBytes: this.bytesLeft(machine),
      reportBytes: Math.max(0, MAX_LISTED_TASKS_BYTES - listedBytes),
    };
  }

  /** What the messages of a machine without tasks leave for its first ones. */
  roomOfNewMachine(): MachineRoom {
    const reservedBytes = NEW_MACHINE_RECORD_BYTES + this.imagesBytes + RESERVED_FIELDS_BYTES;
    return {
      recordBytes: Math.max(0, this.valueBytes - reservedBytes),
      reportBytes: MAX_LISTED_TASKS_BYTES,
    };
  }

  /** The job's record as it is stored: without its failures if it is above the limit with them but not without them. */
  storedJob(job: JobRecord): StoredJob {
    return (
      toStoredJob(job, this.valueBytes) ?? toStoredJob({ ...job, failing: undefined }, this.valueBytes) ?? job
    );
  }

  private allocatedBytesOf(machine: MachineRecord): number {
    let bytes = this.allocatedBytes.get(machine);
    if (bytes === undefined) {
      bytes = machine.placed.reduce((sum, allocation) => sum + allocatedTasksBytes(allocation), 0);
      this.allocatedBytes.set(machine, bytes);
    }
    return bytes;
  }

  private unrecordedBytesOf(machine: MachineRecord, heartbeat: Heartbeat): number {
    const known = this.unrecordedTasks.get(heartbeat);
    if (known?.machine === machine) return known.bytes;
    const bytes = heartbeat.tasks.length === 0 ? 0 : unrecordedBytes(machine, heartbeat);
    this.unrecordedTasks.set(heartbeat, { machine, bytes });
    return bytes;
  }
}

function unrecordedBytes(machine: MachineRecord, heartbeat: Heartbeat): number {
  const recorded = new Set<string>();
  for (const { job, attempt, tasks } of machine.placed)
    for (const index of tasks) recorded.add(taskKey(job, index, attempt));
  let bytes = 0;
  for (const { job, index, attempt } of heartbeat.tasks)
    if (!recorded.has(taskKey(job, index, attempt))) bytes += listedTaskBytes(job, index, attempt);
  return bytes;
}
