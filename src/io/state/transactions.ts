/** Transactions: filled up to the limits of the state service, and committed until their outcome is known. */
import { key, parseKey } from '../../core/records/keys.js';
import { jsonBytes, shrinkMachineRecord } from '../../core/records/stored-records.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { ClusterView } from '../../core/state/cluster-view.js';
import { REQUEST_PRIORITY, type RequestPriority } from '../rate-limiter.js';
import type { Guard, WriteOperation } from './state-messages.js';
import { Unavailable, type StateClient, type StateServiceLimits } from './state-client.js';
import type { StateWatcher } from './state-watcher.js';

/** Changes that must be committed together, with the versions that they were made from. */
export interface ChangeSet {
  readonly operations: readonly WriteOperation[];
  readonly guards: readonly Guard[];
}

/** The state service takes so many guards for each change that a transaction may make. */
export const GUARDS_PER_OPERATION = 4;

/** The distinct guards of a change, no more than a transaction takes. */
export class GuardSet {
  private readonly guards = new Map<string, Guard>();

  constructor(private readonly most: number) {}

  /** Adds all of them, or none where they would be too many. */
  add(guards: readonly Guard[]): boolean {
    const fresh = new Set(guards.map((g) => g.key).filter((k) => !this.guards.has(k)));
    if (this.guards.size + fresh.size > this.most) return false;
    for (const g of guards) this.guards.set(g.key, g);
    return true;
  }

  list(): Guard[] {
    return [...this.guards.values()];
  }
}

/** A transaction filled with groups. */
export interface PackedTransaction extends ChangeSet {
  readonly changeSets: readonly ChangeSet[];
}

/** A guard that the view shows to have failed. Transactions that fail cost as much as those that do not. */
export const isOutdated = (view: ClusterView, guards: readonly Guard[]) =>
  guards.some((g) => view.versionOf(g.key) !== g.version);

/**
 * The group with values within the limit, or null where that can't be: the service would refuse it for ever, and what
 * comes behind it would wait. Only what was stored under a higher limit is that large; it is left until it shrinks.
 */
function fitChangeSet(group: ChangeSet, valueBytes: number): ChangeSet | null {
  const operations: WriteOperation[] = [];
  for (const op of group.operations) {
    const small = fitOperation(op, valueBytes);
    if (small === null) return null;
    operations.push(small);
  }
  return { operations, guards: group.guards };
}

function fitOperation(op: WriteOperation, valueBytes: number): WriteOperation | null {
  if (op.value === undefined || jsonBytes(op.value) <= valueBytes) return op;
  if (parseKey(op.key).kind !== 'machine') return null;
  const value = shrinkMachineRecord(op.value as MachineRecord, valueBytes);
  return value === null ? null : { ...op, value };
}

/**
 * Fills transactions with groups, in order, as far as the state service's limits go. Each is put together only when its
 * turn comes, so that what has been overtaken meanwhile is left out.
 */
export function* packTransactions(
  groups: readonly ChangeSet[],
  base: readonly Guard[],
  limits: Pick<StateServiceLimits, 'operationsPerTransaction' | 'valueBytes'>,
  view: ClusterView,
): Generator<PackedTransaction> {
  const { operationsPerTransaction } = limits;
  for (let i = 0; i < groups.length;) {
    const operations: WriteOperation[] = [];
    const packed: ChangeSet[] = [];
    const guards = new Map<string, Guard>(base.map((g) => [g.key, g]));
    let bytes = 200 + 80 * guards.size;
    for (; i < groups.length; i++) {
      if (isOutdated(view, groups[i]!.guards)) continue;
      const g = fitChangeSet(groups[i]!, limits.valueBytes);
      if (g === null) continue;
      const size = JSON.stringify(g.operations).length + 80 * g.guards.length;
      const more = g.guards.filter((x) => !guards.has(x.key)).length;
      const full =
        operations.length + g.operations.length > operationsPerTransaction ||
        bytes + size > 60_000 ||
        guards.size + more > operationsPerTransaction * GUARDS_PER_OPERATION;
      if (operations.length > 0 && full) break;
      operations.push(...g.operations);
      packed.push(g);
      for (const x of g.guards) guards.set(x.key, x);
      bytes += size;
    }
    if (operations.length > 0) yield { operations, guards: [...guards.values()], changeSets: packed };
  }
}

/** What became of a transaction; `rejected`: malformed or above a limit, now and for ever. */
export type CommitOutcome = 'ok' | 'conflict' | 'refused' | 'rejected';

/**
 * Commits and comes back only when the outcome is known. A transaction without an answer may still be applied
 * minutes later, so one of the keys it is guarded on is written anew: from then on its guards fail.
 */
export async function commit(
  client: StateClient,
  follower: StateWatcher,
  guards: readonly Guard[],
  operations: readonly WriteOperation[],
  priority: RequestPriority,
): Promise<CommitOutcome> {
  const r = await client.transact(guards, operations, priority, () => isOutdated(follower.view, guards));
  if (r.kind === 'ok') {
    follower.applyCommitted(operations, r.revision);
    return 'ok';
  }
  if (r.kind === 'refused' || r.kind === 'rejected') return r.kind;
  if (r.kind === 'conflict') {
    await follower.waitForRevision(r.revision, 2000);
    return 'conflict';
  }
  if (r.kind === 'no_lease' || r.kind === 'stale') return 'conflict';
  const pivot = choosePivot(client, follower.view, guards, operations);
  for (;;) {
    const known = follower.view.entries.get(pivot.key);
    // The view knows a newer version already: whatever can have been applied is in it, or soon will be.
    if (known === undefined || known.version > pivot.version) return waitForPresentView(client, follower);
    if (known.version === pivot.version) {
      const { lease } = known.value as { lease?: number };
      const op: WriteOperation = {
        key: pivot.key,
        value: known.value,
        reason: 'settling',
        ...(lease === undefined ? {} : { lease }),
      };
      const bump = await client.transact([pivot], [op], priority);
      if (bump.kind === 'ok') follower.applyCommitted([op], bump.revision);
      if (bump.kind === 'ok' || bump.kind === 'conflict' || bump.kind === 'no_lease')
        return waitForPresentView(client, follower);
    }
    await client.clock.sleep(200);
  }
}

/**
 * The guarded key to write anew after a transaction without an answer. Best one that the transaction writes itself: the
 * versions of the others mean something to others. A value stored under a higher limit can't be written back.
 */
function choosePivot(
  client: StateClient,
  view: ClusterView,
  guards: readonly Guard[],
  operations: readonly WriteOperation[],
): Guard {
  const fitsLimit = (g: Guard) =>
    jsonBytes(view.entries.get(g.key)?.value ?? null) <= client.limits.valueBytes;
  const existing = guards.filter((g) => g.version > 0 && fitsLimit(g));
  const pivot =
    existing.find((g) => operations.some((o) => o.key === g.key)) ??
    existing.find((g) => g.key !== key.leader) ??
    existing[0];
  if (pivot === undefined) throw new Error('a transaction must be guarded on a key that exists');
  return pivot;
}

/**
 * Waits, however long it takes, until the view holds all that was committed before the call. Going on with
 * an older view could place a task a second time whose first placement is not in it yet.
 */
async function waitForPresentView(client: StateClient, follower: StateWatcher): Promise<'conflict'> {
  for (;;) {
    try {
      const rev = await client.currentRevision(REQUEST_PRIORITY.starts);
      while (!(await follower.waitForRevision(rev, 5000)));
      return 'conflict';
    } catch (e) {
      if (!(e instanceof Unavailable)) throw e;
      await client.clock.sleep(200);
    }
  }
}

/** A transaction is sent so often again before its plan is given up. */
const MOST_REFUSALS = 3;
/** So long after the last answer of the service a refusal is taken for the budget's, and the transaction sent again. */
const REACHABLE_MS = 1000;

/** Commits a transaction, and sends it again where the budget refused it. */
async function commitWithRetry(
  client: StateClient,
  follower: StateWatcher,
  { operations, guards }: ChangeSet,
  priority: RequestPriority,
): Promise<CommitOutcome> {
  let outcome = await commit(client, follower, guards, operations, priority);
  for (let i = 0; i < MOST_REFUSALS && outcome === 'refused' && client.isReachable(REACHABLE_MS); i++)
    outcome = await commit(client, follower, guards, operations, priority);
  return outcome;
}

/**
 * Commits groups in order, as many to a transaction as fit. False: not all were committed. One that was overtaken does not
 * hold up those behind it, and one that the budget refused is sent again: with small transactions a plan takes seconds to
 * commit, and to begin anew with each refusal cost most of what was planned. Of a transaction that the service rejects
 * each group is sent alone, so that the one at fault takes no others with it. After the time given the rest is left out.
 */
export async function commitChangeSets(
  client: StateClient,
  follower: StateWatcher,
  groups: readonly ChangeSet[],
  priority: RequestPriority,
  forMs = Number.POSITIVE_INFINITY,
): Promise<boolean> {
  const until = client.clock.now() + forMs;
  let ok = true;
  for (const transaction of packTransactions(groups, [], client.limits, follower.view)) {
    const outcome = await commitWithRetry(client, follower, transaction, priority);
    if (outcome === 'rejected' && transaction.changeSets.length > 1) {
      for (const group of transaction.changeSets) await commitWithRetry(client, follower, group, priority);
    }
    if (outcome === 'refused') return false;
    if (client.clock.now() >= until) return false;
    ok &&= outcome === 'ok';
  }
  return ok;
}
