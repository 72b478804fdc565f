/** Keeps records within the largest value that the state service takes. */
import type { JobRecord } from '../core/model/jobs.js';
import type { MachineRecord } from '../core/model/machines.js';
import { jsonBytes, toStoredJob, type StoredJob } from '../core/records/stored-records.js';

/** Upper bound of what a machine's record spends on the names of cached images. */
const MAX_IMAGES_BYTES = 300;
/** And the part of the largest value that they may take. */
const IMAGES_FRACTION = 1 / 8;
/** Marking an allocation as stopping adds so much. */
const STOP_MARK_BYTES = 13;
/** Address, drain mark, token heard and phase, which later changes may add. */
const LATER_FIELDS_BYTES = 130;

/** Computes how much of a record's size limit is left. */
export class RecordBudget {
  private readonly sizes = new WeakMap<MachineRecord, number>();

  constructor(private readonly valueBytes: number) {}

  /** Bytes that the names of cached images may take in a machine's record. */
  get imagesBytes(): number {
    return Math.min(MAX_IMAGES_BYTES, Math.floor(this.valueBytes * IMAGES_FRACTION));
  }

  /** Bytes left for further allocations, everything counted that may still be added to the record. */
  bytesLeft(machine: MachineRecord): number {
    // Records are never changed in place, so the size of one can be remembered.
    let size = this.sizes.get(machine);
    if (size === undefined) {
      size = jsonBytes({ ...machine, images: undefined }) + STOP_MARK_BYTES * machine.placed.length;
      this.sizes.set(machine, size);
    }
    return Math.max(0, this.valueBytes - size - this.imagesBytes - LATER_FIELDS_BYTES);
  }

  /** The job's record as it is written: within the limit where that is possible, else without its failures. */
  storedJob(job: JobRecord): StoredJob {
    return (
      toStoredJob(job, this.valueBytes) ?? toStoredJob({ ...job, failing: undefined }, this.valueBytes) ?? job
    );
  }
}
