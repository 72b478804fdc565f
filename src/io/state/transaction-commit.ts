/** Commits transactions until their outcome is known. */
import { InvariantError, UnavailableError } from '../../core/errors.js';
import { key } from '../../core/records/keys.js';
import { jsonBytes } from '../../core/records/stored-records.js';
import type { ClusterView } from '../../core/state/cluster-view.js';
import { REQUEST_PRIORITY, type RequestPriority } from '../rate-limiter.js';
import { isOutdated, type ChangeSet } from './change-set.js';
import { retryWhile } from './retry.js';
import type { StateClient } from './state-client.js';
import type { Guard, WriteOperation } from './state-messages.js';
import type { StateWatcher } from './state-watcher.js';
import { packTransactions } from './transaction-packing.js';

/** How often a refused transaction is sent again before its plan is abandoned. */
const MAX_RETRIES = 3;
/**
 * Within this time of the service's last answer a refusal is attributed to the request budget rather than to an outage,
 * and the transaction is sent again.
 */
const REACHABLE_MS = 1000;
/** How long the view may take to reach the revision at which guards failed. */
const CONFLICT_VIEW_TIMEOUT_MS = 2000;
/** How long one wait for the present revision takes; it is repeated. */
const PRESENT_VIEW_TIMEOUT_MS = 5000;
/** Pause between attempts to settle a transaction whose outcome is unknown. */
const SETTLE_RETRY_MS = 200;

/** What became of a transaction; `rejected`: malformed or above a limit, so that sending it again is pointless. */
export type CommitOutcome = 'ok' | 'conflict' | 'refused' | 'rejected';

/**
 * Commits change sets in order, as many to a transaction as fit. Returns false where not all were committed. An outdated
 * change set does not hold up those behind it, and a transaction refused for the budget is sent again rather than the plan
 * begun anew. Of a transaction that the service rejects each change set is sent alone, so that only the one at fault
 * fails. After `forMs` the rest is left out.
 */
export async function commitChangeSets(
  client: StateClient,
  watcher: StateWatcher,
  changeSets: readonly ChangeSet[],
  priority: RequestPriority,
  forMs = Number.POSITIVE_INFINITY,
): Promise<boolean> {
  const deadline = client.clock.now() + forMs;
  let isComplete = true;
  for (const transaction of packTransactions(changeSets, [], client.limits, watcher.view)) {
    const outcome = await commitWithRetry(client, watcher, transaction, priority);
    if (outcome === 'rejected' && transaction.changeSets.length > 1) {
      for (const changeSet of transaction.changeSets)
        await commitWithRetry(client, watcher, changeSet, priority);
    }
    if (outcome === 'refused') return false;
    if (client.clock.now() >= deadline) return false;
    isComplete &&= outcome === 'ok';
  }
  return isComplete;
}

const commitWithRetry = (
  client: StateClient,
  watcher: StateWatcher,
  changeSet: ChangeSet,
  priority: RequestPriority,
): Promise<CommitOutcome> =>
  retryWhile(
    () => commit(client, watcher, changeSet, priority),
    (outcome) => outcome === 'refused' && client.isReachable(REACHABLE_MS),
    MAX_RETRIES,
  );

/**
 * Commits one transaction and returns only when its outcome is known. A transaction without an answer may still be
 * applied minutes later, so one of the keys that it is guarded on is rewritten: from then on its guards fail.
 */
export async function commit(
  client: StateClient,
  watcher: StateWatcher,
  changeSet: ChangeSet,
  priority: RequestPriority,
): Promise<CommitOutcome> {
  const { guards, operations } = changeSet;
  const result = await client.transact(changeSet, priority, () => isOutdated(watcher.view, guards));
  switch (result.kind) {
    case 'ok':
      watcher.applyCommitted(operations, result.revision);
      return 'ok';
    case 'refused':
    case 'rejected':
      return result.kind;
    case 'conflict':
      await watcher.waitForRevision(result.revision, CONFLICT_VIEW_TIMEOUT_MS);
      return 'conflict';
    case 'no_lease':
    case 'stale':
      return 'conflict';
    case 'unknown':
      return settleUnknown(client, watcher, changeSet, priority);
  }
}

/**
 * Settles a transaction of which no answer came: rewrites a key that it is guarded on, so that it either has been applied
 * or no longer can be, and waits until the view shows which.
 */
async function settleUnknown(
  client: StateClient,
  watcher: StateWatcher,
  changeSet: ChangeSet,
  priority: RequestPriority,
): Promise<'conflict'> {
  const pivot = choosePivot(client, watcher.view, changeSet);
  for (;;) {
    const entry = watcher.view.entries.get(pivot.key);
    // The view shows a newer version already: whatever can have been applied is in it, or soon will be.
    if (entry === undefined || entry.version > pivot.version) return waitForPresentView(client, watcher);
    if (entry.version === pivot.version) {
      const operation = rewriteOf(pivot, entry.value);
      const result = await client.transact({ guards: [pivot], operations: [operation] }, priority);
      if (result.kind === 'ok') watcher.applyCommitted([operation], result.revision);
      if (result.kind === 'ok' || result.kind === 'conflict' || result.kind === 'no_lease')
        return waitForPresentView(client, watcher);
    }
    await client.clock.sleep(SETTLE_RETRY_MS);
  }
}

/** Writes the same value again under a new version. */
function rewriteOf({ key: pivotKey }: Guard, value: unknown): WriteOperation {
  const { lease } = value as { lease?: number };
  return { key: pivotKey, value, reason: 'settling', ...(lease === undefined ? {} : { lease }) };
}

/**
 * The guarded key to rewrite after a transaction without an answer; preferably one that the transaction writes itself,
 * since the versions of the others matter to others. A value stored under a higher limit cannot be written again.
 */
function choosePivot(client: StateClient, view: ClusterView, { guards, operations }: ChangeSet): Guard {
  const isWithinLimit = (guard: Guard) =>
    jsonBytes(view.entries.get(guard.key)?.value ?? null) <= client.limits.valueBytes;
  const candidates = guards.filter((guard) => guard.version > 0 && isWithinLimit(guard));
  const pivot =
    candidates.find((guard) => operations.some((operation) => operation.key === guard.key)) ??
    candidates.find((guard) => guard.key !== key.leader) ??
    candidates[0];
  if (pivot === undefined) throw new InvariantError('a transaction must be guarded on a key that exists');
  return pivot;
}

/**
 * Waits, however long it takes, until the view holds everything that was committed before the call. Continuing with an
 * older view could place a task a second time whose first placement is not in it yet.
 */
async function waitForPresentView(client: StateClient, watcher: StateWatcher): Promise<'conflict'> {
  for (;;) {
    try {
      const revision = await client.currentRevision(REQUEST_PRIORITY.starts);
      while (!(await watcher.waitForRevision(revision, PRESENT_VIEW_TIMEOUT_MS)));
      return 'conflict';
    } catch (error) {
      if (!(error instanceof UnavailableError)) throw error;
      await client.clock.sleep(SETTLE_RETRY_MS);
    }
  }
}
