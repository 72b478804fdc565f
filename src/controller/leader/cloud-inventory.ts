/**
 * Keeps the records consistent with the cloud: machine types, machines that have failed or no longer exist, and
 * machines that have no record.
 */
import { addToCount } from '../../core/collections.js';
import { LOG_EVENT } from '../../core/log-events.js';
import type { MachineName, NodeName } from '../../core/model/ids.js';
import type { MachineRecord, MachineType } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import { key } from '../../core/records/keys.js';
import { splitBySize } from '../../core/records/stored-records.js';
import type { CloudClient } from '../../io/cloud/cloud-client.js';
import type { ListedMachine } from '../../io/cloud/cloud-messages.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from '../membership/membership.js';
import type { LeaderTransactions } from './leader-transactions.js';
import { isMarkedForRelease, markForRelease, newMachineRecord } from './machine-changes.js';
import { maxListLagS, type UnregisteredMachines } from './unregistered-machines.js';

const LIST_INTERVAL_MS = 4000;
/** A machine counts as delisted once the list has lacked it for longer than the list's longest lag plus this margin. */
const DELISTED_MARGIN_S = 4;
/** The machine types are read again once in this many lists, since prices change. */
const LISTS_PER_TYPES_REFRESH = 8;

/** Dependencies of `CloudInventory`. */
export interface CloudInventoryOptions {
  readonly context: ControllerContext;
  readonly membership: Membership;
  readonly cloud: CloudClient;
  readonly transactions: LeaderTransactions;
  readonly unregisteredMachines: UnregisteredMachines;
  /** Called after each comparison that leaves machines to register. */
  readonly onMachinesFound: () => void;
}

/** Compares the records with the cloud's list of machines, and registers machines that have no record. */
export class CloudInventory {
  private readonly context: ControllerContext;
  private readonly transactions: LeaderTransactions;
  private readonly unregisteredMachines: UnregisteredMachines;
  /** When the cloud last listed each machine that has a record. */
  private readonly lastListedAt = new Map<MachineName, MonotonicMs>();

  constructor(private readonly options: CloudInventoryOptions) {
    this.context = options.context;
    this.transactions = options.transactions;
    this.unregisteredMachines = options.unregisteredMachines;
  }

  /** Compares the records with the cloud's list at intervals while this controller leads; failures are logged. */
  async run(): Promise<never> {
    const { context } = this;
    const { membership, cloud } = this.options;
    for (let round = 0; ; round++) {
      await context.clock.sleep(LIST_INTERVAL_MS);
      if (!membership.isLeader || !context.watcher.isReady) continue;
      try {
        if (round % LISTS_PER_TYPES_REFRESH === 0) await this.refreshTypes();
        const requestedAt = context.clock.now();
        const list = await cloud.list();
        if (list !== null) await this.compare(list, requestedAt);
      } catch (error) {
        context.log.error({ err: error }, LOG_EVENT.cloudInventoryFailed);
      }
    }
  }

  /**
   * Reads the machine types from the cloud and records them if they have changed; without an answer the recorded types
   * stay. Throws `ProtocolError` on a malformed answer.
   */
  async refreshTypes(): Promise<void> {
    const { view, state } = this.context;
    const types = await this.options.cloud.types();
    if (types === null) return;
    if (JSON.stringify(view.types) === JSON.stringify(types)) return;
    const parts = splitBySize(types, state.limits.valueBytes);
    // A list that needs several parts is not rewritten while its type names are the same. It may be stored in one
    // record, written under a higher size limit, and an older process that reads only that record would miss the types
    // in the other parts.
    if (parts.length > 1 && haveSameNames(view.types, types)) return;
    const operations: WriteOperation[] = parts.map((value, part) => ({
      key: part === 0 ? key.types : key.moreTypes(part),
      value,
    }));
    for (let part = parts.length; view.entries.has(key.moreTypes(part)); part++)
      operations.push({ key: key.moreTypes(part), value: undefined });
    // The parts may need several transactions. That is safe, since readers apply each part by itself.
    await this.transactions.commitEach(operations, REQUEST_PRIORITY.starts);
  }

  /** Creates a record for each confirmed machine that has none, in the shard that has the fewest machines. */
  async registerMachines(shards: readonly NodeName[]): Promise<void> {
    const { context } = this;
    if (this.unregisteredMachines.confirmedCount === 0) return;
    const machinesPerShard = new Map<NodeName, number>();
    for (const { owner } of context.view.machines.values()) addToCount(machinesPerShard, owner, 1);
    const operations: WriteOperation[] = [];
    for (const [name, machine] of this.unregisteredMachines.takeConfirmed()) {
      if (context.view.machines.has(name)) continue;
      const owner = shardWithFewest(shards, machinesPerShard);
      addToCount(machinesPerShard, owner, 1);
      const value = newMachineRecord(context, name, machine, owner);
      context.log.info({ machine: name, to: owner, floor: value.floor }, LOG_EVENT.machineRegistered);
      operations.push({ key: key.machine(name), value, reason: 'machine_state' });
    }
    await this.transactions.commitEach(operations, REQUEST_PRIORITY.starts);
  }

  private async compare(list: readonly ListedMachine[], requestedAt: MonotonicMs): Promise<void> {
    const { context } = this;
    const operations: WriteOperation[] = [];
    const withoutRecord = new Set<MachineName>();
    for (const listed of list) {
      const machine = context.view.machines.get(listed.name);
      if (machine === undefined) {
        withoutRecord.add(listed.name);
        this.unregisteredMachines.recordListed(listed);
      } else if (listed.state === 'failed' && !isMarkedForRelease(machine)) {
        context.log.info({ machine: listed.name }, LOG_EVENT.machineFailed);
        operations.push(markForRelease(machine));
      }
    }
    this.unregisteredMachines.retainListed(withoutRecord);
    for (const machine of this.delistedMachines(list, requestedAt)) {
      context.log.info({ machine: machine.name }, LOG_EVENT.machineDelisted);
      operations.push(markForRelease(machine));
    }
    if (operations.length > 0) await this.transactions.commitEach(operations, REQUEST_PRIORITY.starts);
    if (this.unregisteredMachines.confirmedCount > 0) this.options.onMachinesFound();
  }

  /**
   * Machines with a record that the cloud once listed and has not listed for longer than any list lags. A machine stays
   * listed for as long as it exists, but a list may be older than the previous one by as much as lists lag. Marking
   * these machines for release is safe: only the cloud's confirmation of the release frees their tasks. Unmarked, a
   * machine that is alone in its zone would be treated as partitioned.
   */
  private delistedMachines(list: readonly ListedMachine[], requestedAt: MonotonicMs): MachineRecord[] {
    const { view, clock, settings } = this.context;
    const now = clock.now();
    for (const { name } of list) if (view.machines.has(name)) this.lastListedAt.set(name, now);
    const maxMissingMs = (maxListLagS(settings) + DELISTED_MARGIN_S) * 1000;
    const delisted: MachineRecord[] = [];
    for (const [name, listedAt] of this.lastListedAt) {
      const machine = view.machines.get(name);
      if (machine === undefined) this.lastListedAt.delete(name);
      else if (requestedAt - listedAt > maxMissingMs && !isMarkedForRelease(machine)) delisted.push(machine);
    }
    return delisted;
  }
}

function haveSameNames(before: readonly MachineType[] | null, after: readonly MachineType[]): boolean {
  const namesOf = (types: readonly MachineType[] | null) => JSON.stringify(types?.map((type) => type.name));
  return namesOf(before) === namesOf(after);
}

function shardWithFewest(
  shards: readonly NodeName[],
  machinesPerShard: ReadonlyMap<NodeName, number>,
): NodeName {
  const countOf = (shard: NodeName) => machinesPerShard.get(shard) ?? 0;
  return [...shards].sort((a, b) => countOf(a) - countOf(b))[0]!;
}
