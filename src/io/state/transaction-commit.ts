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
import { packTransactions, withoutAffected, type PackedTransaction } from './transaction-packing.js';

/** Maximum number of retries of a refused transaction, before the rest of the change sets is given up. */
const MAX_RETRIES = 3;
/**
 * A refusal within this time of the state service's latest answer is attributed to the rate limit rather than to an
 * outage, and the transaction is retried.
 */
const REACHABLE_MS = 1000;
/** Longest wait for the view to reach the revision at which guards failed. */
const CONFLICT_VIEW_TIMEOUT_MS = 2000;
/** Longest single wait for the view to reach the current revision; the wait is repeated until it has. */
const CURRENT_VIEW_TIMEOUT_MS = 5000;
/** Pause between attempts to settle a transaction with an unknown outcome. */
const SETTLE_RETRY_MS = 200;

/**
 * Outcome of a transaction. `conflict`: it was outdated, its guards failed, a lease no longer exists, or it was settled
 * after an unknown outcome; `rejected`: it is malformed or above a limit, so that a retry is pointless.
 */
export type CommitOutcome = 'ok' | 'conflict' | 'refused' | 'rejected';

/** How one attempt to commit a transaction ended. */
export interface CommitAttempt {
  readonly outcome: CommitOutcome;
  /** The keys whose guards failed in the state service; empty for any other outcome than that. */
  readonly failedKeys: readonly string[];
  /** Whether the change sets of the transaction that did not conflict may be committed now, from the same plan. */
  readonly isRestSound: boolean;
}

/**
 * Commits change sets in order, as many to a transaction as fit; returns false if a transaction was not committed or
 * `timeLimitMs` has passed, after which the rest is left out. Outdated change sets are skipped and do not hold up those
 * behind them. A transaction that the rate limit refuses is retried rather than planned again.
 */
export async function commitChangeSets(
  client: StateClient,
  watcher: StateWatcher,
  changeSets: readonly ChangeSet[],
  priority: RequestPriority,
  timeLimitMs = Number.POSITIVE_INFINITY,
): Promise<boolean> {
  const deadline = client.clock.now() + timeLimitMs;
  let isComplete = true;
  const send = (changeSet: ChangeSet) => attemptWithRetry(client, watcher, changeSet, priority);
  for (const transaction of packTransactions(changeSets, [], client.limits, watcher.view)) {
    const outcome = await commitTransaction(watcher.view, transaction, send);
    if (outcome === 'refused') return false;
    if (client.clock.now() >= deadline) return false;
    isComplete &&= outcome === 'ok';
  }
  return isComplete;
}

/**
 * Commits a packed transaction with `send` so that a change set at fault does not hold up the others: after a conflict
 * those that it does not affect are committed without the rest, and each change set of a rejected transaction is sent
 * alone. Returns `ok` only if all change sets were committed together.
 */
export async function commitTransaction(
  view: ClusterView,
  transaction: PackedTransaction,
  send: (changeSet: ChangeSet) => Promise<CommitAttempt>,
): Promise<CommitOutcome> {
  const { outcome, failedKeys, isRestSound } = await send(transaction);
  if (outcome === 'rejected' && transaction.changeSets.length > 1) {
    const guards = (changeSet: ChangeSet) => [...transaction.baseGuards, ...changeSet.guards];
    for (const changeSet of transaction.changeSets) await send({ ...changeSet, guards: guards(changeSet) });
  }
  if (outcome !== 'conflict' || !isRestSound) return outcome;
  const rest = withoutAffected(transaction, failedKeys, view);
  if (rest === null) return 'conflict';
  const restOutcome = await commitTransaction(view, rest, send);
  return restOutcome === 'ok' ? 'conflict' : restOutcome;
}

const attemptWithRetry = (
  client: StateClient,
  watcher: StateWatcher,
  changeSet: ChangeSet,
  priority: RequestPriority,
): Promise<CommitAttempt> =>
  retryWhile(
    () => attemptCommit(client, watcher, changeSet, priority),
    ({ outcome }) => outcome === 'refused' && client.isReachable(REACHABLE_MS),
    MAX_RETRIES,
  );

/**
 * Commits one transaction and resolves only once its outcome is known. A transaction without an answer may still be
 * applied minutes later, so one of its guarded keys is rewritten: from then on its guards fail. Throws `InvariantError`
 * if none of them can be rewritten.
 */
export async function commit(
  client: StateClient,
  watcher: StateWatcher,
  changeSet: ChangeSet,
  priority: RequestPriority,
): Promise<CommitOutcome> {
  return (await attemptCommit(client, watcher, changeSet, priority)).outcome;
}

/** Like `commit`, and tells after a conflict which guards failed. */
export async function attemptCommit(
  client: StateClient,
  watcher: StateWatcher,
  changeSet: ChangeSet,
  priority: RequestPriority,
): Promise<CommitAttempt> {
  const { guards, operations } = changeSet;
  const result = await client.transact(changeSet, priority, () => isOutdated(watcher.view, guards));
  switch (result.kind) {
    case 'ok':
      watcher.applyCommitted(operations, result.revision);
      return attempt('ok');
    case 'refused':
    case 'rejected':
      return attempt(result.kind);
    case 'conflict':
      await watcher.catchUpAfterConflict(guards, result, CONFLICT_VIEW_TIMEOUT_MS);
      return { outcome: 'conflict', failedKeys: result.failed, isRestSound: true };
    case 'stale':
    case 'no_lease':
      return attempt('conflict');
    case 'unknown':
      return attempt(await settleUnknown(client, watcher, changeSet, priority));
  }
}

/** An attempt after which no change set of the transaction is committed without a new plan. */
const attempt = (outcome: CommitOutcome): CommitAttempt => ({ outcome, failedKeys: [], isRestSound: false });

/**
 * Settles a transaction without an answer: rewrites one of its guarded keys, so that it either has been applied or no
 * longer can be, and waits until the view shows which. Callers plan again from that view, as after a conflict.
 */
async function settleUnknown(
  client: StateClient,
  watcher: StateWatcher,
  changeSet: ChangeSet,
  priority: RequestPriority,
): Promise<'conflict'> {
  const guard = chooseGuardToRewrite(client, watcher.view, changeSet);
  for (;;) {
    const entry = watcher.view.entries.get(guard.key);
    // The key was changed or removed since, so that the transaction can no longer be applied. If it has been applied,
    // the current view shows it.
    if (entry === undefined || entry.version > guard.version) return waitForCurrentView(client, watcher);
    if (entry.version === guard.version) {
      const operation = rewriteOperation(guard, entry.value);
      const result = await client.transact({ guards: [guard], operations: [operation] }, priority);
      if (result.kind === 'ok') watcher.applyCommitted([operation], result.revision);
      if (result.kind === 'ok' || result.kind === 'conflict' || result.kind === 'no_lease')
        return waitForCurrentView(client, watcher);
    }
    await client.clock.sleep(SETTLE_RETRY_MS);
  }
}

/** A write of the same value under the same lease, which only gives the key a new version. */
function rewriteOperation({ key: guardedKey }: Guard, value: unknown): WriteOperation {
  const { lease } = value as { lease?: number };
  return { key: guardedKey, value, reason: 'settling', ...(lease === undefined ? {} : { lease }) };
}

/**
 * The guard whose key is rewritten after a transaction without an answer: preferably of a key that the transaction
 * itself writes, since a new version of another key fails the guards of other transactions; of the leader's key only if
 * there is no other. A value stored under a higher limit cannot be rewritten.
 */
function chooseGuardToRewrite(
  client: StateClient,
  view: ClusterView,
  { guards, operations }: ChangeSet,
): Guard {
  const isWithinLimit = (guard: Guard) =>
    jsonBytes(view.entries.get(guard.key)?.value ?? null) <= client.limits.valueBytes;
  const candidates = guards.filter((guard) => guard.version > 0 && isWithinLimit(guard));
  const chosen =
    candidates.find((guard) => operations.some((operation) => operation.key === guard.key)) ??
    candidates.find((guard) => guard.key !== key.leader) ??
    candidates[0];
  if (chosen === undefined)
    throw new InvariantError(
      `cannot settle a transaction without an answer: expected a guarded key with a value of at most ` +
        `${client.limits.valueBytes} bytes, got ${guards.map((guard) => guard.key).join(' ') || 'no guards'}`,
    );
  return chosen;
}

/**
 * Waits without a time limit until the view has everything committed before the call: planning from an older view could
 * place a task a second time whose first placement is not in the view yet.
 */
async function waitForCurrentView(client: StateClient, watcher: StateWatcher): Promise<'conflict'> {
  for (;;) {
    try {
      const revision = await client.currentRevision(REQUEST_PRIORITY.starts);
      while (!(await watcher.waitForRevision(revision, CURRENT_VIEW_TIMEOUT_MS)));
      return 'conflict';
    } catch (error) {
      if (!(error instanceof UnavailableError)) throw error;
      await client.clock.sleep(SETTLE_RETRY_MS);
    }
  }
}
