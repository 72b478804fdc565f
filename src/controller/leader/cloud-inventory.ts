/** Keeps the records in step with the cloud: machine types, machines that failed, are unknown, or are to be returned. */
import { LOG_EVENT } from '../../core/log-events.js';
import { key } from '../../core/records/keys.js';
import { splitBySize } from '../../core/records/stored-records.js';
import type { MachineName, NodeName } from '../../core/model/ids.js';
import type { MachineRecord, MachineType } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { CloudClient } from '../../io/cloud/cloud-client.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { ListedMachine } from '../../io/cloud/cloud-messages.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from '../membership/membership.js';
import type { LeaderTransactions } from './leader-transactions.js';
import { markForReturn, newMachine } from './rentals.js';
import { longestListLagS } from './unregistered-machines.js';
import type { UnregisteredMachines } from './unregistered-machines.js';

const LIST_EVERY_MS = 4000;
/** A machine must be missing for so much longer than any list lags. */
const GONE_MARGIN_S = 4;
/** Prices move: the types are read again with every so many lists. */
const TYPES_EVERY = 8;
/** The cloud returns at most so many machines by one request. */
const MOST_RELEASED = 100;

/** Compares the records with the cloud, adopts unknown machines and returns those marked for it. */
export class CloudInventory {
  private releasing = false;
  /** When the cloud last listed each machine that has a record. */
  private readonly listedAt = new Map<MachineName, MonotonicMs>();

  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
    private readonly cloud: CloudClient,
    private readonly transactions: LeaderTransactions,
    private readonly unknown: UnregisteredMachines,
    /** Told when there are machines to adopt. */
    private readonly found: () => void,
  ) {}

  /** Looks over the cloud's list for machines that no record knows, and for those that failed. */
  async run(): Promise<never> {
    const { context } = this;
    for (let round = 0; ; round++) {
      await context.clock.sleep(LIST_EVERY_MS);
      if (!this.membership.isLeader || !context.watcher.isReady) continue;
      try {
        if (round % TYPES_EVERY === 0) await this.refreshTypes();
        const askedAt = context.clock.now();
        const list = await this.cloud.list();
        if (list !== null) await this.compare(list, askedAt);
      } catch (e) {
        context.log.error({ err: e }, LOG_EVENT.cloudInventoryFailed);
      }
    }
  }

  async refreshTypes(): Promise<void> {
    const { context } = this;
    const types = await this.cloud.types();
    if (types === null) return;
    if (JSON.stringify(context.view.types) === JSON.stringify(types)) return;
    const parts = splitBySize(types, context.state.limits.valueBytes);
    const names = (list: readonly MachineType[] | null) => JSON.stringify(list?.map((t) => t.name));
    // A longer list that stands in one value, from before the limit fell, is left: only its prices are a little old, and
    // a process of the version before would miss what it can't find there.
    if (parts.length > 1 && names(context.view.types) === names(types)) return;
    const operations: WriteOperation[] = parts.map((value, i) => ({
      key: i === 0 ? key.types : key.moreTypes(i),
      value,
    }));
    for (let i = parts.length; context.view.entries.has(key.moreTypes(i)); i++)
      operations.push({ key: key.moreTypes(i), value: undefined });
    // A list longer than a transaction takes is written in several: its parts are read one by one in any case.
    await this.transactions.commitEach(operations, REQUEST_PRIORITY.starts);
  }

  private async compare(list: readonly ListedMachine[], askedAt: MonotonicMs): Promise<void> {
    const { context } = this;
    const failed: WriteOperation[] = [];
    const withoutRecord = new Set<MachineName>();
    for (const l of list) {
      const machine = context.view.machines.get(l.name);
      if (machine === undefined) {
        withoutRecord.add(l.name);
        this.unknown.noteListed(l);
      } else if (l.state === 'failed' && machine.phase !== 'releasing') {
        context.log.info({ machine: l.name }, LOG_EVENT.machineFailed);
        failed.push(markForReturn(machine));
      }
    }
    this.unknown.keepListed(withoutRecord);
    for (const machine of this.takenBack(list, askedAt)) {
      context.log.info({ machine: machine.name }, LOG_EVENT.machineDelisted);
      failed.push(markForReturn(machine));
    }
    if (failed.length > 0) await this.transactions.commitEach(failed, REQUEST_PRIORITY.starts);
    if (this.unknown.size > 0) this.found();
  }

  /**
   * Machines that the cloud has listed and lists no more. A machine stays listed until it is gone, and a list may be older
   * than the one before by as much as it lags. What follows is only that the machine is returned: the cloud's answer to
   * that frees its tasks. Without this a taken machine that is alone in its zone is waited for like one that is cut off.
   */
  private takenBack(list: readonly ListedMachine[], askedAt: MonotonicMs): MachineRecord[] {
    const { view, clock, settings } = this.context;
    const now = clock.now();
    for (const l of list) if (view.machines.has(l.name)) this.listedAt.set(l.name, now);
    const goneMs = (longestListLagS(settings) + GONE_MARGIN_S) * 1000;
    const gone: MachineRecord[] = [];
    for (const [name, at] of this.listedAt) {
      const machine = view.machines.get(name);
      if (machine === undefined) this.listedAt.delete(name);
      else if (askedAt - at > goneMs && machine.phase !== 'releasing') gone.push(machine);
    }
    return gone;
  }

  /** Gives unknown machines records, in the slices that have fewest. */
  async registerMachines(shards: readonly NodeName[]): Promise<void> {
    const { context } = this;
    if (this.unknown.size === 0) return;
    const count = new Map<NodeName, number>();
    for (const m of context.view.machines.values()) count.set(m.owner, (count.get(m.owner) ?? 0) + 1);
    const operations: WriteOperation[] = [];
    for (const [name, known] of this.unknown.take()) {
      if (context.view.machines.has(name)) continue;
      const owner = [...shards].sort((a, b) => (count.get(a) ?? 0) - (count.get(b) ?? 0))[0]!;
      count.set(owner, (count.get(owner) ?? 0) + 1);
      const value = newMachine(context, name, known, owner);
      context.log.info({ machine: name, to: owner, floor: value.floor }, LOG_EVENT.machineRegistered);
      operations.push({ key: key.machine(name), value, reason: 'machine_state' });
    }
    await this.transactions.commitEach(operations, REQUEST_PRIORITY.starts);
  }

  /** Returns the machines that are marked for it, unless that is under way. */
  startReleases(): void {
    const { context } = this;
    if (this.releasing) return;
    const names = [...context.view.machines.values()]
      .filter((m) => m.phase === 'releasing')
      .map((m) => m.name);
    if (names.length === 0) return;
    this.releasing = true;
    void this.release(names.slice(0, MOST_RELEASED))
      .catch((e: unknown) => {
        context.log.error({ err: e }, LOG_EVENT.machineReleaseFailed);
      })
      .finally(() => {
        this.releasing = false;
      });
  }

  private async release(names: readonly MachineName[]): Promise<void> {
    const { context } = this;
    if (!(await this.cloud.release(names))) return;
    this.unknown.noteReleased(names);
    // The cloud has said that they and everything on them are gone: their tasks are free.
    const there = names.filter((n) => context.view.machines.has(n));
    context.log.info({ machines: there }, LOG_EVENT.machinesReleased);
    await this.transactions.commitEach(
      there.map((n) => ({ key: key.machine(n), value: undefined, reason: 'return' })),
      REQUEST_PRIORITY.results,
    );
  }
}
