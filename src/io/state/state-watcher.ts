/** Keeps a view of the shared state up to date: lists all watched keys, then watches their changes. */
import { UnavailableError } from '../../core/errors.js';
import { revision, version, type Revision, type Version } from '../../core/model/ids.js';
import { WATCHED_PREFIX, parseKey } from '../../core/records/keys.js';
import type { ClusterView } from '../../core/state/cluster-view.js';
import { REQUEST_PRIORITY } from '../rate-limiter.js';
import type { KeyListing, StateClient } from './state-client.js';
import type { Guard, WatchedChanges, WriteOperation } from './state-messages.js';
import type { TransactionConflict } from './transaction-result.js';

/** Pause before a queued barrier, so that more callers share it: each barrier uses one request of the rate limit. */
const BARRIER_INTERVAL_MS = 80;
/** Longest time for which one watch request blocks. */
const WATCH_BLOCK_MS = 8000;
/** Pauses before a failed watch request or listing is repeated. */
const WATCH_RETRY_MS = 250;
const LIST_RETRY_MS = 300;
/** Minimum interval between listings because of contradictions: a listing uses the requests of several users. */
const MIN_LISTING_INTERVAL_MS = 10_000;
/** Longest time that a barrier waits for the view to reach the current revision. */
const MAX_WATCH_LAG_MS = 1500;

/** Guarded keys whose versions in the view differ from those in the state service at a revision the view has reached. */
export interface ViewContradiction {
  readonly keys: readonly string[];
  /** The revision at which the guards failed. */
  readonly revision: Revision;
}

/** Callbacks of a watcher. */
export interface StateWatcherListeners {
  /** Called after changes were applied to the view, with the changed keys. */
  readonly onChanged: (keys: ReadonlySet<string>) => void;
  /** Called with the operations of each commit of this process, before they are applied to the view. */
  readonly onCommitted?: (operations: readonly WriteOperation[]) => void;
  /** Called when a conflict shows that the view differs from the state service: each retry would fail again. */
  readonly onContradicted?: (contradiction: ViewContradiction) => void;
}

interface RevisionWaiter {
  readonly revision: Revision;
  readonly resolve: (isReached: boolean) => void;
}

/** Keeps a view up to date and lets callers wait until it has reached a revision. */
export class StateWatcher {
  /** Whether the view has reached the end of a listing, and so was complete at least once. */
  isReady = false;
  /** Whether the view was found to differ from the state service, so that all keys are listed again. */
  private isListingDue = false;
  private waiters: RevisionWaiter[] = [];
  /** Versions of the shard records that this process wrote and the watch has not reached yet, by key. */
  private readonly shardsAheadOfWatch = new Map<string, Version>();
  private barrier: Promise<void> | null = null;
  private queuedBarrier: Promise<void> | null = null;

  constructor(
    private readonly client: StateClient,
    readonly view: ClusterView,
    private readonly listeners: StateWatcherListeners,
  ) {}

  /** Lists and watches keys for the lifetime of the process; a failed listing or watch request is repeated. */
  async run(): Promise<never> {
    for (;;) {
      try {
        const listing = await this.client.list();
        this.applyListing(listing);
        await this.watchFrom(listing);
      } catch {
        await this.client.clock.sleep(LIST_RETRY_MS);
      }
    }
  }

  /** Resolves to true once the view has reached the revision, or to false after the timeout. */
  waitForRevision(target: Revision, timeoutMs: number): Promise<boolean> {
    if (this.view.revision >= target) return Promise.resolve(true);
    return new Promise((resolve) => {
      const waiter: RevisionWaiter = {
        revision: target,
        resolve: (isReached) => {
          cancelTimeout();
          resolve(isReached);
        },
      };
      const cancelTimeout = this.client.clock.after(timeoutMs, () => {
        this.waiters = this.waiters.filter((other) => other !== waiter);
        resolve(false);
      });
      this.waiters.push(waiter);
    });
  }

  /**
   * Waits until the view has everything committed before the call, and so every state that a controller showed to a
   * user before it. Calls during one barrier share the next one. Throws `UnavailableError` if the current revision cannot be
   * read, or if the view does not reach it within `MAX_WATCH_LAG_MS`.
   */
  async waitUntilFresh(): Promise<void> {
    if (this.barrier === null) {
      this.barrier = this.runBarrier().finally(() => {
        this.barrier = null;
      });
      return this.barrier;
    }
    this.queuedBarrier ??= this.barrier
      .catch(() => undefined)
      .then(() => this.client.clock.sleep(BARRIER_INTERVAL_MS))
      .then(() => {
        this.queuedBarrier = null;
        return this.waitUntilFresh();
      });
    return this.queuedBarrier;
  }

  /** Applies a transaction that this process committed to the view, without waiting for the watch. */
  applyCommitted(operations: readonly WriteOperation[], committedAt: Revision): void {
    this.listeners.onCommitted?.(operations);
    const changes = operations
      .filter(({ key }) => key.startsWith(WATCHED_PREFIX))
      .map(({ key, value }) => ({ key, value, version: version(committedAt) }));
    const keys = this.view.applyAll(changes);
    for (const key of keys)
      if (parseKey(key).kind === 'shard') this.shardsAheadOfWatch.set(key, version(committedAt));
    if (keys.size > 0) this.listeners.onChanged(keys);
  }

  /**
   * Waits after a conflict until the view has reached the revision at which the guards failed, for `timeoutMs` at most,
   * so that the next plan is made from what the transaction conflicted with.
   */
  async catchUpAfterConflict(
    guards: readonly Guard[],
    conflict: TransactionConflict,
    timeoutMs: number,
  ): Promise<void> {
    if (!(await this.waitForRevision(conflict.revision, timeoutMs))) return;
    const keys = this.contradictedKeys(guards, conflict);
    if (keys.length === 0) return;
    this.isListingDue = true;
    this.listeners.onContradicted?.({ keys, revision: conflict.revision });
  }

  /** The keys whose guards failed although the view, which has reached the conflict's revision, has their versions. */
  private contradictedKeys(guards: readonly Guard[], { failed }: TransactionConflict): string[] {
    const failedKeys = new Set(failed);
    return guards
      .filter(({ key, version: guarded }) => failedKeys.has(key) && this.view.versionOf(key) === guarded)
      .map(({ key }) => key)
      .filter((key) => key.startsWith(WATCHED_PREFIX));
  }

  private applyListing({ rows, from, upTo }: KeyListing): void {
    this.isListingDue = false;
    const keys = this.view.resetTo(rows, from);
    this.view.advanceTo(from);
    if (from >= upTo) this.isReady = true;
    for (const key of this.takeCaughtUpShards()) keys.add(key);
    this.resolveWaiters();
    this.listeners.onChanged(keys);
  }

  /** Applies all changes after the listing; returns when the keys must be listed again. */
  private async watchFrom({ from, upTo }: KeyListing): Promise<void> {
    const { clock, minWatchIntervalMs } = this.client;
    let reached = from;
    const mayListAt = clock.now() + MIN_LISTING_INTERVAL_MS;
    while (!this.isListingDue || clock.now() < mayListAt) {
      const nextWatchAt = clock.now() + minWatchIntervalMs;
      let changes: WatchedChanges | null;
      try {
        changes = await this.client.watch(reached, WATCH_BLOCK_MS);
      } catch {
        await clock.sleep(WATCH_RETRY_MS);
        continue;
      }
      if (changes === null) return;
      reached = revision(Math.max(reached, changes.revision));
      this.applyWatched(changes, { reached, upTo });
      if (clock.now() < nextWatchAt) await clock.sleep(nextWatchAt - clock.now());
    }
  }

  private applyWatched(
    { events }: WatchedChanges,
    { reached, upTo }: { reached: Revision; upTo: Revision },
  ): void {
    const keys = this.view.applyAll(events);
    this.view.advanceTo(reached);
    if (reached >= upTo) this.isReady = true;
    for (const key of this.takeCaughtUpShards()) keys.add(key);
    this.resolveWaiters();
    if (keys.size > 0) this.listeners.onChanged(keys);
  }

  /**
   * Removes and returns the keys in `shardsAheadOfWatch` that the view has reached. Listeners are notified of them a
   * second time: a shard may be acted on only once the view has all that former holders committed.
   */
  private takeCaughtUpShards(): string[] {
    const keys = [...this.shardsAheadOfWatch]
      .filter(([, writtenAt]) => writtenAt <= this.view.revision)
      .map(([key]) => key);
    for (const key of keys) this.shardsAheadOfWatch.delete(key);
    return keys;
  }

  private resolveWaiters(): void {
    const remaining: RevisionWaiter[] = [];
    for (const waiter of this.waiters) {
      if (waiter.revision <= this.view.revision) waiter.resolve(true);
      else remaining.push(waiter);
    }
    this.waiters = remaining;
  }

  private async runBarrier(): Promise<void> {
    const currentRevision = await this.client.currentRevision(REQUEST_PRIORITY.users);
    if (!(await this.waitForRevision(currentRevision, MAX_WATCH_LAG_MS)))
      throw new UnavailableError(
        `barrier: view at revision ${this.view.revision} after ${MAX_WATCH_LAG_MS} ms, expected ${currentRevision}`,
      );
  }
}
