/** Keeps records within the largest value that the state service accepts. */
import type { JobRecord } from '../core/model/jobs.js';
import type { MachineRecord } from '../core/model/machines.js';
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

/** Computes how many bytes of the limit a machine's record has left, and keeps jobs' records within the limit. */
export class RecordBudget {
  private readonly sizes = new WeakMap<MachineRecord, number>();

  constructor(private readonly valueBytes: number) {}

  /** Bytes that the names of cached images may take in a machine's record. */
  get imagesBytes(): number {
    return Math.min(MAX_IMAGES_BYTES, Math.floor(this.valueBytes * IMAGES_FRACTION));
  }

  /** Bytes left for further allocations, after the reserves for images and for fields that may still be added. */
  bytesLeft(machine: MachineRecord): number {
    // Records are never changed in place, so a size stays valid for as long as its record exists.
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

  /** Bytes left for the first allocations of a machine that is yet to be rented. */
  bytesLeftOnNewMachine(): number {
    const reservedBytes = NEW_MACHINE_RECORD_BYTES + this.imagesBytes + RESERVED_FIELDS_BYTES;
    return Math.max(0, this.valueBytes - reservedBytes);
  }

  /** The job's record as it is stored: without its failures if it is above the limit with them but not without them. */
  storedJob(job: JobRecord): StoredJob {
    return (
      toStoredJob(job, this.valueBytes) ?? toStoredJob({ ...job, failing: undefined }, this.valueBytes) ?? job
    );
  }
}
