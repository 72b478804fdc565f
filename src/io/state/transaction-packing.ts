/** Packs change sets into transactions within the limits of the state service. */
import type { MachineRecord } from '../../core/model/machines.js';
import { parseKey } from '../../core/records/keys.js';
import { jsonBytes, shrinkMachineRecord } from '../../core/records/stored-records.js';
import type { ClusterView } from '../../core/state/cluster-view.js';
import {
  GUARDS_PER_OPERATION,
  isGuardedOnAny,
  isOutdated,
  mergeChangeSets,
  type ChangeSet,
} from './change-set.js';
import type { StateServiceLimits } from './state-limits.js';
import type { Guard, WriteOperation } from './state-messages.js';

/** Maximum estimated size of a transaction, below the state service's limit of 64 KiB. */
const MAX_TRANSACTION_BYTES = 60_000;
/** Estimated sizes of a transaction without operations and guards, and of one guard. */
const TRANSACTION_OVERHEAD_BYTES = 200;
const GUARD_BYTES = 80;

/** The limits of the state service that apply to a single transaction. */
export type TransactionLimits = Pick<StateServiceLimits, 'operationsPerTransaction' | 'valueBytes'>;

/** The operations and guards of a transaction, and the change sets that it consists of. */
export interface PackedTransaction extends ChangeSet {
  readonly changeSets: readonly ChangeSet[];
  /** Guards of the transaction as a whole, beside those of its change sets. */
  readonly baseGuards: readonly Guard[];
}

/**
 * Packs change sets into transactions, in order, as many to each as the limits allow; `baseGuards` are added to each
 * transaction. A change set that writes or guards a key which an earlier one writes begins a new transaction: once the
 * earlier one is committed, it is outdated. A transaction is built only when the generator is advanced, so that change
 * sets that have become outdated in the meantime are left out.
 */
export function* packTransactions(
  changeSets: readonly ChangeSet[],
  baseGuards: readonly Guard[],
  limits: TransactionLimits,
  view: ClusterView,
): Generator<PackedTransaction> {
  let next = 0;
  while (next < changeSets.length) {
    const builder = new TransactionBuilder(baseGuards, limits.operationsPerTransaction);
    for (; next < changeSets.length; next++) {
      const changeSet = changeSets[next]!;
      if (isOutdated(view, changeSet.guards)) continue;
      const fitted = fitChangeSet(changeSet, limits.valueBytes);
      if (fitted !== null && !builder.tryAdd(fitted)) break;
    }
    if (!builder.isEmpty) yield builder.build();
  }
}

/**
 * The transaction without the change sets that a conflict affects: those with a guard on a failed key or an outdated
 * guard, and those that share a group with one of them. Null where nothing is left, or nothing was left out.
 */
export function withoutAffected(
  transaction: PackedTransaction,
  failedKeys: readonly string[],
  view: ClusterView,
): PackedTransaction | null {
  const { changeSets, baseGuards } = transaction;
  const failed = new Set(failedKeys);
  const isAffected = (changeSet: ChangeSet) =>
    isGuardedOnAny(changeSet, failed) || isOutdated(view, changeSet.guards);
  const remaining = withoutGroupsOf(changeSets.filter(isAffected), changeSets);
  if (remaining.length === 0 || remaining.length === changeSets.length) return null;
  return { ...mergeChangeSets(remaining, baseGuards), changeSets: remaining, baseGuards };
}

/** The change sets that are not affected and share no group, directly or through others, with one that is. */
function withoutGroupsOf(affected: readonly ChangeSet[], changeSets: readonly ChangeSet[]): ChangeSet[] {
  const groups = new Set(affected.flatMap((changeSet) => changeSet.groups ?? []));
  const remaining = changeSets.filter((changeSet) => !affected.includes(changeSet));
  const joined = remaining.filter(
    (changeSet) => changeSet.groups?.some((group) => groups.has(group)) === true,
  );
  return joined.length === 0 ? remaining : withoutGroupsOf(joined, remaining);
}

/** Collects change sets for one transaction up to the limits. */
class TransactionBuilder {
  private readonly operations: WriteOperation[] = [];
  private readonly changeSets: ChangeSet[] = [];
  private readonly guards: Map<string, Guard>;
  private readonly writtenKeys = new Set<string>();
  private bytes: number;

  constructor(
    private readonly baseGuards: readonly Guard[],
    private readonly maxOperations: number,
  ) {
    this.guards = new Map(baseGuards.map((guard) => [guard.key, guard]));
    this.bytes = TRANSACTION_OVERHEAD_BYTES + GUARD_BYTES * this.guards.size;
  }

  get isEmpty(): boolean {
    return this.operations.length === 0;
  }

  /**
   * Adds a change set unless that exceeds a limit or the change set depends on one that was added; the first one is
   * always added. Returns whether it was added.
   */
  tryAdd(changeSet: ChangeSet): boolean {
    if (this.dependsOnAdded(changeSet)) return false;
    const bytes = JSON.stringify(changeSet.operations).length + GUARD_BYTES * changeSet.guards.length;
    if (!this.isEmpty && this.wouldExceedLimits(changeSet, bytes)) return false;
    this.operations.push(...changeSet.operations);
    this.changeSets.push(changeSet);
    for (const guard of changeSet.guards) this.guards.set(guard.key, guard);
    for (const { key } of changeSet.operations) this.writtenKeys.add(key);
    this.bytes += bytes;
    return true;
  }

  /** The transaction with all change sets added so far. */
  build(): PackedTransaction {
    const { operations, changeSets, baseGuards } = this;
    return { operations, guards: [...this.guards.values()], changeSets, baseGuards };
  }

  /** Whether the change set was decided from a key that another one in this transaction writes. */
  private dependsOnAdded({ operations, guards }: ChangeSet): boolean {
    const isWritten = ({ key }: { readonly key: string }) => this.writtenKeys.has(key);
    return operations.some(isWritten) || guards.some(isWritten);
  }

  private wouldExceedLimits({ operations, guards }: ChangeSet, bytes: number): boolean {
    const newGuards = guards.filter((guard) => !this.guards.has(guard.key)).length;
    return (
      this.operations.length + operations.length > this.maxOperations ||
      this.bytes + bytes > MAX_TRANSACTION_BYTES ||
      this.guards.size + newGuards > this.maxOperations * GUARDS_PER_OPERATION
    );
  }
}

/**
 * The change set with its values shrunk to the size limit, or null if one cannot be: the state service would reject the
 * change set each time, and everything behind it would wait. Only a value stored under a higher limit is that large; it
 * stays as it is until it shrinks.
 */
function fitChangeSet(changeSet: ChangeSet, valueBytes: number): ChangeSet | null {
  const operations: WriteOperation[] = [];
  for (const operation of changeSet.operations) {
    const fitted = fitOperation(operation, valueBytes);
    if (fitted === null) return null;
    operations.push(fitted);
  }
  return { ...changeSet, operations };
}

function fitOperation(operation: WriteOperation, valueBytes: number): WriteOperation | null {
  if (operation.value === undefined || jsonBytes(operation.value) <= valueBytes) return operation;
  if (parseKey(operation.key).kind !== 'machine') return null;
  const value = shrinkMachineRecord(operation.value as MachineRecord, valueBytes);
  return value === null ? null : { ...operation, value };
}
