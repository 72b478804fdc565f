/**
 * Publishes in the state service which machines this controller answers as a proxy, so that their owners do not treat
 * them as failed. A list that does not fit into one value is split into several records.
 */
import type { ProxiedMachinesRecord } from '../../core/model/cluster.js';
import type { MachineName } from '../../core/model/ids.js';
import { key } from '../../core/records/keys.js';
import { splitBySize } from '../../core/records/stored-records.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';

/** Upper bound of a record's size in bytes without the machine names in it. */
const RECORD_OVERHEAD_BYTES = 100;

/** Writes the records of the list whose machines or lease have changed. */
export class ProxiedMachineList {
  /** Lease id and machine names of each record as last written, by part. */
  private readonly writtenContents: string[] = [];

  constructor(private readonly context: ControllerContext) {}

  /** Number of records written for the list, including those still to be removed. */
  get recordCount(): number {
    return this.writtenContents.length;
  }

  /** Writes the list under the lease. A record whose write fails is written again with the next list. */
  async publish(names: Iterable<MachineName>, lease: number): Promise<void> {
    const maxBytes = this.context.state.limits.valueBytes - RECORD_OVERHEAD_BYTES;
    const parts = splitBySize([...names].sort(), maxBytes);
    const records = Math.max(parts.length, this.writtenContents.length);
    for (let part = 0; part < records; part++) await this.publishPart(part, parts[part] ?? [], lease);
    // A record whose removal has failed is removed with the next list, or with its lease.
    while (this.writtenContents.length > parts.length && this.isRemoved(this.writtenContents.length - 1))
      this.writtenContents.pop();
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
    if (content === this.writtenContents[part] || (machines.length === 0 && this.isRemoved(part))) return;
    const recordKey = this.keyOf(part);
    const operation = operationFor(recordKey, machines, lease);
    const result = await state.transact(
      { guards: [guards.forKey(recordKey)], operations: [operation] },
      REQUEST_PRIORITY.users,
    );
    if (result.kind !== 'ok') return;
    watcher.applyCommitted([operation], result.revision);
    this.writtenContents[part] = content;
  }
}

/** The operation that writes the record, or removes it if it would be empty. */
function operationFor(recordKey: string, machines: readonly MachineName[], lease: number): WriteOperation {
  if (machines.length === 0) return { key: recordKey, value: undefined, reason: 'machine_state' };
  const value: ProxiedMachinesRecord = { machines, lease };
  return { key: recordKey, value, reason: 'machine_state', lease };
}
