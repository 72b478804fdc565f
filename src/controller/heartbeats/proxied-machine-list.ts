/**
 * Keeps the list of machines that this controller answers in their owners' place current in the state service, so that
 * nobody takes them for dead. It goes on in further records where it does not fit one value.
 */
import { key } from '../../core/records/keys.js';
import { splitBySize } from '../../core/records/stored-records.js';
import type { ProxiedMachinesRecord } from '../../core/model/cluster.js';
import type { MachineName } from '../../core/model/ids.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';

/** What a record takes beside the names in it. */
const RECORD_OVERHEAD_BYTES = 100;

/** Writes the list whenever it, or the lease that it hangs on, has changed. */
export class ProxiedMachineList {
  /** What stands in each record, as text. */
  private readonly written: string[] = [];

  constructor(private readonly context: ControllerContext) {}

  /** How many records the list takes now. */
  get records(): number {
    return this.written.length;
  }

  async publish(names: Iterable<MachineName>, lease: number): Promise<void> {
    const parts = splitBySize(
      [...names].sort(),
      this.context.state.limits.valueBytes - RECORD_OVERHEAD_BYTES,
    );
    const last = Math.max(parts.length, this.written.length);
    for (let part = 0; part < last; part++) await this.publishPart(part, parts[part] ?? [], lease);
    // A record whose removal was refused stands until its lease ends: it is removed with the next list.
    while (this.written.length > parts.length && this.isGone(this.written.length - 1)) this.written.pop();
  }

  private isGone(part: number): boolean {
    return this.context.view.versionOf(key.proxiedMachines(this.context.settings.node, part)) === 0;
  }

  private async publishPart(part: number, machines: readonly MachineName[], lease: number): Promise<void> {
    const { context } = this;
    const text = `${lease} ${machines.join(' ')}`;
    const k = key.proxiedMachines(context.settings.node, part);
    if (text === this.written[part] || (machines.length === 0 && this.isGone(part))) return;
    const value: ProxiedMachinesRecord | undefined = machines.length === 0 ? undefined : { machines, lease };
    const op: WriteOperation = {
      key: k,
      value,
      reason: 'machine_state',
      ...(value === undefined ? {} : { lease }),
    };
    const result = await context.state.transact([context.guards.forKey(k)], [op], REQUEST_PRIORITY.users);
    if (result.kind !== 'ok') return;
    context.watcher.applyCommitted([op], result.revision);
    this.written[part] = text;
  }
}
