/**
 * Keeps the list of machines that this controller answers as a proxy current in the state service, so that their owners do
 * not take them for failed. A list that does not fit one value is split over several records.
 */
import type { ProxiedMachinesRecord } from '../../core/model/cluster.js';
import type { MachineName } from '../../core/model/ids.js';
import { key } from '../../core/records/keys.js';
import { splitBySize } from '../../core/records/stored-records.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';

/** Bytes of a record beside the names in it. */
const RECORD_OVERHEAD_BYTES = 100;

/** Writes those records of the list that have changed, or whose lease has. */
export class ProxiedMachineList {
  /** Lease and names of each record as it was last written. */
  private readonly written: string[] = [];

  constructor(private readonly context: ControllerContext) {}

  /** Number of records that the list takes now. */
  get records(): number {
    return this.written.length;
  }

  /** Writes the list under the lease; records that are refused are written with the next list. */
  async publish(names: Iterable<MachineName>, lease: number): Promise<void> {
    const maxBytes = this.context.state.limits.valueBytes - RECORD_OVERHEAD_BYTES;
    const parts = splitBySize([...names].sort(), maxBytes);
    const records = Math.max(parts.length, this.written.length);
    for (let part = 0; part < records; part++) await this.publishPart(part, parts[part] ?? [], lease);
    // A record whose removal was refused is removed with the next list, or with its lease.
    while (this.written.length > parts.length && this.isRemoved(this.written.length - 1)) this.written.pop();
  }

  private isRemoved(part: number): boolean {
    return this.context.view.versionOf(this.keyOf(part)) === 0;
  }

  private keyOf(part: number): string {
    return key.proxiedMachines(this.context.settings.node, part);
  }

  private async publishPart(part: number, machines: readonly MachineName[], lease: number): Promise<void> {
    const { guards, state, watcher } = this.context;
    const content = `${lease} ${machines.join(' ')}`;
    if (content === this.written[part] || (machines.length === 0 && this.isRemoved(part))) return;
    const recordKey = this.keyOf(part);
    const operation = operationFor(recordKey, machines, lease);
    const result = await state.transact(
      { guards: [guards.forKey(recordKey)], operations: [operation] },
      REQUEST_PRIORITY.users,
    );
    if (result.kind !== 'ok') return;
    watcher.applyCommitted([operation], result.revision);
    this.written[part] = content;
  }
}

/** Writes the record, or removes it where it would be empty. */
function operationFor(recordKey: string, machines: readonly MachineName[], lease: number): WriteOperation {
  if (machines.length === 0) return { key: recordKey, value: undefined, reason: 'machine_state' };
  const value: ProxiedMachinesRecord = { machines, lease };
  return { key: recordKey, value, reason: 'machine_state', lease };
}
