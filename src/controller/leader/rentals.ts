/** Rents machines: each request is committed before the cloud is asked, so that nothing is ever rented twice. */
import { LOG_EVENT } from '../../core/log-events.js';
import { key } from '../../core/records/keys.js';
import type { RentalRequest } from '../../core/scaling/scaling-types.js';
import { jsonBytes } from '../../core/records/stored-records.js';
import {
  NO_VERSION,
  type MachineName,
  type NodeName,
  type TypeName,
  type Zone,
} from '../../core/model/ids.js';
import type { MachineRecord, RentalRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { CloudClient } from '../../io/cloud/cloud-client.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { ChangeSet } from '../../io/state/transactions.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { LeaderTransactions } from './leader-transactions.js';
import type { UnregisteredMachine } from './unregistered-machines.js';

/** The cloud rents at most so many machines by one request. */
const MOST_RENTED = 50;
/** What a rental's record takes beside the names of the slices. */
const RENTAL_BYTES = 500;

/** One type, zone and kind of machine. */
const kindOf = (r: { type: TypeName; zone: Zone; spot: boolean }) => `${r.type} ${r.zone} ${r.spot}`;

/** The first record of a machine. */
export const newMachine = (
  context: ControllerContext,
  name: MachineName,
  known: UnregisteredMachine,
  owner: NodeName,
): MachineRecord => ({
  name,
  type: known.type,
  zone: known.zone,
  spot: known.spot,
  owner,
  floor: known.token + 1,
  phase: 'booting',
  placed: [],
  since: context.clock.wallClock(),
});

/** The change that has a machine returned to the cloud; only the cloud's answer to that frees its tasks. */
export function markForReturn(machine: MachineRecord): WriteOperation {
  const value: MachineRecord = { ...machine, phase: 'releasing' };
  return { key: key.machine(machine.name), value, reason: 'return' };
}

/** Rents machines and records them, whoever decided the rental. */
export class Rentals {
  private readonly refusedUntil = new Map<string, MonotonicMs>();
  private number = 0;
  private busy = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly cloud: CloudClient,
    private readonly transactions: LeaderTransactions,
  ) {}

  /** False while the cloud refuses this type, zone and kind. */
  isAvailable(type: TypeName, zone: Zone, spot: boolean): boolean {
    return (this.refusedUntil.get(kindOf({ type, zone, spot })) ?? 0) < this.context.clock.now();
  }

  /** Begins to rent unless that is under way. */
  start(needs: readonly RentalRequest[], shards: readonly NodeName[]): void {
    if (this.busy) return;
    if (needs.length === 0 && this.context.view.rentals.size === 0) return;
    this.busy = true;
    void this.rent(needs, shards)
      .catch((e: unknown) => {
        this.context.log.error({ err: e }, LOG_EVENT.machineRentalFailed);
      })
      .finally(() => {
        this.busy = false;
      });
  }

  private async rent(needs: readonly RentalRequest[], shards: readonly NodeName[]): Promise<void> {
    const { context } = this;
    // Rentals that an earlier round, or an earlier leader, decided and did not bring to an end: their names
    // give the same answer again, so nothing is rented twice.
    for (const r of [...context.view.rentals.values()]) await this.carryOut(r, shards);
    for (const list of byKind(needs).values()) {
      const { type, zone, spot } = list[0]!;
      if (!this.isAvailable(type, zone, spot)) continue;
      const rental: RentalRecord = {
        name: `${context.incarnation}-${++this.number}`,
        type,
        zone,
        spot,
        owners: list.slice(0, this.mostAtOnce(shards)).map((need) => need.shard),
      };
      const k = key.rental(rental.name);
      const group = {
        operations: [{ key: k, value: rental, reason: 'rental' as const }],
        guards: [{ key: k, version: NO_VERSION }],
      };
      if (!(await this.transactions.commit(group, REQUEST_PRIORITY.starts))) return;
      await this.carryOut(rental, shards);
    }
  }

  /** The rental's record names a slice for each machine, and has to fit the limit for a value. */
  private mostAtOnce(shards: readonly NodeName[]): number {
    const longest = Math.max(...shards.map((s) => jsonBytes(s))) + 1;
    return Math.min(MOST_RENTED, Math.floor((this.context.state.limits.valueBytes - RENTAL_BYTES) / longest));
  }

  private async carryOut(rental: RentalRecord, shards: readonly NodeName[]): Promise<void> {
    const { context } = this;
    const answer = await this.cloud.rent(rental);
    if (answer.kind === 'unknown') return;
    const got = answer.kind === 'rented' ? answer.machines : [];
    const { name, type, zone, spot, owners } = rental;
    context.log.info({ rental: name, type, zone, spot, asked: owners.length, got }, LOG_EVENT.machinesRented);
    if (got.length < owners.length)
      this.refusedUntil.set(
        kindOf(rental),
        (context.clock.now() + context.operator.fleet.refused_s * 1000) as MonotonicMs,
      );
    await this.transactions.commitInOrder(this.recordsOf(rental, got, shards), REQUEST_PRIORITY.starts);
  }

  private recordsOf(
    rental: RentalRecord,
    got: readonly MachineName[],
    shards: readonly NodeName[],
  ): ChangeSet[] {
    const { context } = this;
    const guard = context.guards.forKey(key.rental(rental.name));
    const groups: ChangeSet[] = [];
    got.forEach((name, i) => {
      if (context.view.machines.has(name)) return;
      const owner = rental.owners.find((o, at) => at >= i && shards.includes(o)) ?? shards[0]!;
      const value = newMachine(context, name, { ...rental, token: 0 }, owner);
      groups.push({
        operations: [{ key: key.machine(name), value, reason: 'rental' }],
        guards: [guard, { key: key.machine(name), version: NO_VERSION }],
      });
    });
    // The rental stays on record until all its machines are: whoever goes on with it gets the same answer.
    groups.push({ operations: [{ key: guard.key, value: undefined, reason: 'rental' }], guards: [guard] });
    return groups;
  }
}

function byKind(needs: readonly RentalRequest[]): Map<string, RentalRequest[]> {
  const kinds = new Map<string, RentalRequest[]>();
  for (const need of needs) {
    const list = kinds.get(kindOf(need));
    if (list === undefined) kinds.set(kindOf(need), [need]);
    else list.push(need);
  }
  return kinds;
}
