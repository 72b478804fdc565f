/** Rents machines. Each rental is committed before it is requested from the cloud, so that no machine is rented twice. */
import { groupBy } from '../../core/collections.js';
import type { MachineTraits } from '../../core/jobs/feasibility.js';
import { LOG_EVENT } from '../../core/log-events.js';
import {
  NO_VERSION,
  type MachineName,
  type NodeName,
  type TypeName,
  type Zone,
} from '../../core/model/ids.js';
import type { RentalRecord } from '../../core/model/machines.js';
import { monotonicMs, type MonotonicMs } from '../../core/model/time.js';
import { key } from '../../core/records/keys.js';
import { jsonBytes } from '../../core/records/stored-records.js';
import type { RentalRequest } from '../../core/scaling/scaling-types.js';
import type { CloudClient } from '../../io/cloud/cloud-client.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { ChangeSet } from '../../io/state/change-set.js';
import { BackgroundTask } from '../background-task.js';
import type { ControllerContext } from '../controller-context.js';
import type { LeaderTransactions } from './leader-transactions.js';
import { newMachineRecord } from './machine-changes.js';

/** Largest number of machines that the cloud rents out per request. */
const MAX_MACHINES_PER_RENTAL = 50;
/** Allowance in bytes for a rental's record, without the names of its shards. */
const RENTAL_RECORD_BYTES = 500;

/** Rents machines and creates their records; also completes rentals that an earlier leader committed. */
export class Rentals {
  /** Until when the cloud is assumed to refuse machines of a type, zone and billing kind; by `traitsKeyOf`. */
  private readonly refusedUntil = new Map<string, MonotonicMs>();
  private readonly task: BackgroundTask;
  private rentalCount = 0;

  constructor(
    private readonly context: ControllerContext,
    private readonly cloud: CloudClient,
    private readonly transactions: LeaderTransactions,
  ) {
    this.task = new BackgroundTask({ log: context.log, failureEvent: LOG_EVENT.machineRentalFailed });
  }

  /** Whether the cloud may have machines of this type, zone and billing kind; false for a time after a refusal. */
  isAvailable(type: TypeName, zone: Zone, spot: boolean): boolean {
    return (this.refusedUntil.get(traitsKeyOf({ type, zone, spot })) ?? 0) < this.context.clock.now();
  }

  /** Starts to complete earlier rentals and to rent what is requested, unless that is in progress already. */
  start(requests: readonly RentalRequest[], shards: readonly NodeName[]): void {
    if (this.task.isRunning) return;
    if (requests.length === 0 && this.context.view.rentals.size === 0) return;
    this.task.start(() => this.rent(requests, shards));
  }

  private async rent(requests: readonly RentalRequest[], shards: readonly NodeName[]): Promise<void> {
    const { context } = this;
    // Rentals that an earlier call or an earlier leader committed and did not complete. They can be requested again,
    // since the cloud gives the same answer for the same rental name.
    for (const rental of [...context.view.rentals.values()]) await this.completeRental(rental, shards);
    for (const sameTraits of groupBy(requests, traitsKeyOf).values()) {
      const { type, zone, spot } = sameTraits[0];
      if (!this.isAvailable(type, zone, spot)) continue;
      const rental: RentalRecord = {
        name: `${context.incarnation}-${++this.rentalCount}`,
        type,
        zone,
        spot,
        owners: sameTraits.slice(0, this.maxMachines(shards)).map((request) => request.shard),
      };
      if (!(await this.transactions.commit(rentalChange(rental), REQUEST_PRIORITY.starts))) return;
      await this.completeRental(rental, shards);
    }
  }

  /** Largest number of machines in one rental: its record names a shard for each and must stay within the size limit. */
  private maxMachines(shards: readonly NodeName[]): number {
    const longestNameBytes = Math.max(...shards.map((shard) => jsonBytes(shard))) + 1;
    const bytesForNames = this.context.state.limits.valueBytes - RENTAL_RECORD_BYTES;
    return Math.min(MAX_MACHINES_PER_RENTAL, Math.floor(bytesForNames / longestNameBytes));
  }

  /**
   * Requests the rental's machines from the cloud and creates their records. Without a usable answer the rental stays
   * recorded, and is requested again later.
   */
  private async completeRental(rental: RentalRecord, shards: readonly NodeName[]): Promise<void> {
    const { context } = this;
    const answer = await this.cloud.rent(rental);
    if (answer.kind === 'unknown') return;
    const rented = answer.kind === 'rented' ? answer.machines : [];
    const { name, type, zone, spot, owners } = rental;
    context.log.info(
      { rental: name, type, zone, spot, asked: owners.length, got: rented },
      LOG_EVENT.machinesRented,
    );
    if (rented.length < owners.length) this.recordRefusal(rental);
    const changes = this.completionChanges(rental, rented, shards);
    await this.transactions.commitInOrder(changes, REQUEST_PRIORITY.starts);
  }

  private recordRefusal(rental: RentalRecord): void {
    const { clock, operator } = this.context;
    this.refusedUntil.set(traitsKeyOf(rental), monotonicMs(clock.now() + operator.fleet.refused_s * 1000));
  }

  /**
   * Creates the machines' records first and removes the rental last: it stays recorded until all its machines have
   * records, so that any leader that completes it later gets the same answer from the cloud.
   */
  private completionChanges(
    rental: RentalRecord,
    rented: readonly MachineName[],
    shards: readonly NodeName[],
  ): ChangeSet[] {
    const { context } = this;
    const guard = context.guards.forKey(key.rental(rental.name));
    const changes: ChangeSet[] = [];
    rented.forEach((name, index) => {
      if (context.view.machines.has(name)) return;
      const owner = shardFor(rental, index, shards);
      const value = newMachineRecord(context, name, { ...rental, token: 0 }, owner);
      changes.push({
        operations: [{ key: key.machine(name), value, reason: 'rental' }],
        guards: [guard, { key: key.machine(name), version: NO_VERSION }],
      });
    });
    changes.push({ operations: [{ key: guard.key, value: undefined, reason: 'rental' }], guards: [guard] });
    return changes;
  }
}

/** A key for the type, zone and billing kind of a machine. */
function traitsKeyOf({ type, zone, spot }: MachineTraits): string {
  return `${type} ${zone} ${spot}`;
}

function rentalChange(rental: RentalRecord): ChangeSet {
  const rentalKey = key.rental(rental.name);
  return {
    operations: [{ key: rentalKey, value: rental, reason: 'rental' }],
    guards: [{ key: rentalKey, version: NO_VERSION }],
  };
}

/**
 * The shard requested for the machine at this index; if it no longer exists, the next requested one that does, else the
 * first of `shards`.
 */
function shardFor(rental: RentalRecord, index: number, shards: readonly NodeName[]): NodeName {
  const owner = rental.owners.find((shard, position) => position >= index && shards.includes(shard));
  return owner ?? shards[0]!;
}
