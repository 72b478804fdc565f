/** Keeps a view of the shared state current by listing it once and watching it from then on. */
import { UnavailableError } from '../../core/errors.js';
import { revision, version, type Revision, type Version } from '../../core/model/ids.js';
import { WATCHED_PREFIX, parseKey } from '../../core/records/keys.js';
import type { ClusterView } from '../../core/state/cluster-view.js';
import { REQUEST_PRIORITY } from '../rate-limiter.js';
import type { KeyListing, StateClient } from './state-client.js';
import type { WatchedChanges, WriteOperation } from './state-messages.js';

/** Calls within this time share a barrier: each barrier is a request of the state service's budget. */
const BARRIER_INTERVAL_MS = 80;
/** The longest time for which one watch request blocks. */
const WATCH_MS = 8000;
/** Pauses after a watch and after a listing that failed. */
const WATCH_RETRY_MS = 250;
const LIST_RETRY_MS = 300;
/** How long a barrier waits for the watch. */
const MAX_WATCH_LAG_MS = 1500;

/** Whom a watcher notifies. */
export interface StateWatcherListeners {
  /** Called with the keys that have changed in the view. */
  readonly onChanged: (keys: ReadonlySet<string>) => void;
  /** Called with each change that this process has committed, before it is applied to the view. */
  readonly onCommitted?: (operations: readonly WriteOperation[]) => void;
}

interface RevisionWaiter {
  readonly revision: Revision;
  readonly resolve: (isReached: boolean) => void;
}

/** Keeps a view current and lets callers wait until it has reached a revision. */
export class StateWatcher {
  /** Whether the view has been complete once. */
  isReady = false;
  private waiters: RevisionWaiter[] = [];
  /** Shards that this process has written before the watch reached the revision of that write. */
  private readonly shardsAheadOfWatch = new Map<string, Version>();
  private barrier: Promise<void> | null = null;
  private queuedBarrier: Promise<void> | null = null;

  constructor(
    private readonly client: StateClient,
    readonly view: ClusterView,
    private readonly listeners: StateWatcherListeners,
  ) {}

  /** Lists and watches for ever; what fails is repeated after a pause. */
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

  /** Resolves to true once the view has reached the revision, to false after the timeout. */
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
   * Waits until the view is at least as new as anything that any controller had told a user before the call. Calls during
   * one barrier share the next one. Throws `UnavailableError` where that cannot be reached now.
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

  /** Applies this process's own commit to the view without waiting for the watch. */
  applyCommitted(operations: readonly WriteOperation[], committedAt: Revision): void {
    this.listeners.onCommitted?.(operations);
    const keys = new Set<string>();
    for (const { key, value } of operations) {
      if (!key.startsWith(WATCHED_PREFIX)) continue;
      if (!this.view.apply({ key, value, version: version(committedAt) })) continue;
      keys.add(key);
      if (parseKey(key).kind === 'shard') this.shardsAheadOfWatch.set(key, version(committedAt));
    }
    if (keys.size > 0) this.listeners.onChanged(keys);
  }

  private applyListing({ rows, from, upTo }: KeyListing): void {
    this.view.resetTo(rows, from);
    this.view.advanceTo(from);
    this.listeners.onChanged(new Set(rows.map((row) => row.key)));
    if (from >= upTo) this.isReady = true;
  }

  /** Follows all changes after the listing; returns when the keys have to be listed again. */
  private async watchFrom({ from, upTo }: KeyListing): Promise<void> {
    const { clock, minWatchIntervalMs } = this.client;
    let reached = from;
    for (;;) {
      const nextWatchAt = clock.now() + minWatchIntervalMs;
      let changes: WatchedChanges | null;
      try {
        changes = await this.client.watch(reached, WATCH_MS);
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
    const keys = new Set<string>();
    for (const event of events) if (this.view.apply(event)) keys.add(event.key);
    this.view.advanceTo(reached);
    if (reached >= upTo) this.isReady = true;
    for (const key of this.takeCaughtUpShards()) keys.add(key);
    this.resolveWaiters();
    if (keys.size > 0) this.listeners.onChanged(keys);
  }

  /** Shards that may be acted on only now that the view has reached them: listeners are notified once more. */
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
    const current = await this.client.currentRevision(REQUEST_PRIORITY.users);
    if (!(await this.waitForRevision(current, MAX_WATCH_LAG_MS)))
      throw new UnavailableError('the watch lags behind');
  }
}
