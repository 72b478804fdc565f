/** Which images machines have cached, according to heartbeats and machines' records. */
import type { Heartbeat, ReportedTask } from '../../core/model/heartbeats.js';
import type { MachineName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import { jsonBytes } from '../../core/records/stored-records.js';
import type { ControllerContext } from '../controller-context.js';

/** Limit on the known sizes of images; beyond it all of them are cleared. */
const MAX_IMAGE_SIZES = 4000;
/** Bytes of `,"images":[]` in a machine's record, without the names. */
const IMAGES_FIELD_BYTES = 12;

/** Tracks the images that machines have fetched for their tasks. */
export class ObservedImages {
  /** Images of each machine, the most recently used last. */
  private readonly images = new Map<MachineName, Set<string>>();
  private readonly sizesGb = new Map<string, number>();

  constructor(private readonly context: ControllerContext) {}

  /** Records the images that the machine has fetched for the tasks in its heartbeat. */
  observe({ machine, tasks }: Heartbeat): void {
    for (const task of tasks) {
      const spec = this.context.view.jobs.get(task.job)?.spec;
      if (spec === undefined || !hasFetchedImage(task)) continue;
      this.recordUse(machine, spec.image);
      if (this.sizesGb.size > MAX_IMAGE_SIZES) this.sizesGb.clear();
      this.sizesGb.set(spec.image, spec.imageGb);
    }
  }

  /** Whether the machine has cached the image, according to heartbeats seen here or to its record. */
  has(machine: MachineRecord, image: string): boolean {
    return this.images.get(machine.name)?.has(image) === true || machine.images?.includes(image) === true;
  }

  /**
   * The images that the machine's record should name, the most recently used last: no more than fit into the machine's
   * cache and into the record's bytes for images. Without them the next owner would place tasks where their images must
   * be fetched.
   */
  cachedOn(machine: MachineRecord): string[] {
    const mostRecentFirst = [...this.knownOn(machine)].reverse();
    let cacheGbLeft = this.context.view.typesByName.get(machine.type)?.cacheGb ?? 0;
    let bytesLeft = this.context.recordBudget.imagesBytes - IMAGES_FIELD_BYTES;
    const cached: string[] = [];
    for (const image of mostRecentFirst) {
      cacheGbLeft -= this.sizesGb.get(image) ?? 0;
      bytesLeft -= jsonBytes(image) + 1;
      if (cacheGbLeft < 0 || bytesLeft < 0) break;
      cached.push(image);
    }
    return cached.reverse();
  }

  /** Forgets a machine that no longer has a record. */
  forgetMachine(machine: MachineName): void {
    this.images.delete(machine);
  }

  private recordUse(machine: MachineName, image: string): void {
    let images = this.images.get(machine);
    if (images === undefined) {
      images = new Set();
      this.images.set(machine, images);
    }
    moveToEnd(images, image);
  }

  private knownOn(machine: MachineRecord): Set<string> {
    const known = new Set(machine.images);
    for (const image of this.images.get(machine.name) ?? []) moveToEnd(known, image);
    return known;
  }
}

const hasFetchedImage = ({ state, exitReason }: ReportedTask): boolean =>
  state !== 'fetching' && (state !== 'exited' || exitReason === 'done');

function moveToEnd(images: Set<string>, image: string): void {
  images.delete(image);
  images.add(image);
}
