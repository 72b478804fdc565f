/** Keeps a view of the shared state current by listing it once and watching it from then on. */
import { WATCHED_PREFIX, parseKey } from '../../core/records/keys.js';
import { revision, version, type Revision, type Version } from '../../core/model/ids.js';
import type { KeyChange, ClusterView } from '../../core/state/cluster-view.js';
import { REQUEST_PRIORITY } from '../rate-limiter.js';
import type { WriteOperation } from './state-messages.js';
import { Unavailable, type StateClient } from './state-client.js';

/** Polls that come within so long share a barrier: each is a request of the state service's budget. */
const BARRIER_EVERY_MS = 80;
/** One watch request blocks for so long at most. */
const WATCH_MS = 8000;
/** Pauses after a watch and a listing that failed. */
const WATCH_AGAIN_MS = 250;
const LIST_AGAIN_MS = 300;
/** How long a barrier waits for the watch. */
const WATCH_LAG_MS = 1500;

/** Keeps a view current and lets others wait until it has reached a revision. */
export class StateWatcher {
  /** The first complete picture has been reached. */
  isReady = false;
  private waiters: { rev: Revision; go: (ok: boolean) => void }[] = [];
  /** Slices that this process has written before the watch told of all that was committed until then. */
  private readonly shardsAheadOfWatch = new Map<string, Version>();
  private barrier: Promise<void> | null = null;
  private queuedBarrier: Promise<void> | null = null;

  constructor(
    private readonly client: StateClient,
    readonly view: ClusterView,
    private readonly changed: (keys: ReadonlySet<string>) => void,
    /** Told of each change that this process has committed, before the view is. */
    private readonly committed: (operations: readonly WriteOperation[]) => void = () => undefined,
  ) {}

  async run(): Promise<never> {
    for (;;) {
      try {
        const { rows, from, upTo } = await this.client.list();
        this.view.resetTo(rows, from);
        this.view.advanceTo(from);
        this.changed(new Set(rows.map((r) => r.key)));
        if (from >= upTo) this.isReady = true;
        let at = from;
        for (;;) {
          let r: { events: KeyChange[]; rev: Revision } | null;
          const { clock, minWatchIntervalMs } = this.client;
          const next = clock.now() + minWatchIntervalMs;
          try {
            r = await this.client.watch(at, WATCH_MS);
          } catch {
            await this.client.clock.sleep(WATCH_AGAIN_MS);
            continue;
          }
          if (r === null) break;
          const keys = new Set<string>();
          for (const e of r.events) if (this.view.apply(e)) keys.add(e.key);
          at = revision(Math.max(at, r.rev));
          this.view.advanceTo(at);
          if (at >= upTo) this.isReady = true;
          for (const k of this.takeCaughtUp()) keys.add(k);
          this.resolveWaiters();
          if (keys.size > 0) this.changed(keys);
          if (clock.now() < next) await clock.sleep(next - clock.now());
        }
      } catch {
        await this.client.clock.sleep(LIST_AGAIN_MS);
      }
    }
  }

  /** What may be acted on only now that the view has reached it: listeners are told once more. */
  private takeCaughtUp(): string[] {
    const keys = [...this.shardsAheadOfWatch].filter(([, v]) => v <= this.view.revision).map(([k]) => k);
    for (const k of keys) this.shardsAheadOfWatch.delete(k);
    return keys;
  }

  private resolveWaiters(): void {
    const rest: typeof this.waiters = [];
    for (const w of this.waiters) {
      if (w.rev <= this.view.revision) w.go(true);
      else rest.push(w);
    }
    this.waiters = rest;
  }

  waitForRevision(rev: Revision, timeoutMs: number): Promise<boolean> {
    if (this.view.revision >= rev) return Promise.resolve(true);
    return new Promise((resolve) => {
      const w = {
        rev,
        go: (ok: boolean) => {
          stop();
          resolve(ok);
        },
      };
      const stop = this.client.clock.after(timeoutMs, () => {
        this.waiters = this.waiters.filter((x) => x !== w);
        resolve(false);
      });
      this.waiters.push(w);
    });
  }

  /**
   * After it, the view is at least as new as anything that any controller had told anybody before the call.
   * Calls that come while one barrier is under way share the next one.
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
      .then(() => this.client.clock.sleep(BARRIER_EVERY_MS))
      .then(() => {
        this.queuedBarrier = null;
        return this.waitUntilFresh();
      });
    return this.queuedBarrier;
  }

  private async runBarrier(): Promise<void> {
    const rev = await this.client.currentRevision(REQUEST_PRIORITY.users);
    if (!(await this.waitForRevision(rev, WATCH_LAG_MS))) throw new Unavailable('the watch lags');
  }

  /** Takes in this process's own commit without waiting for the watch. */
  applyCommitted(operations: readonly WriteOperation[], rev: Revision): void {
    this.committed(operations);
    const keys = new Set<string>();
    for (const o of operations) {
      if (!o.key.startsWith(WATCHED_PREFIX)) continue;
      if (!this.view.apply({ key: o.key, value: o.value, version: version(rev) })) continue;
      keys.add(o.key);
      if (parseKey(o.key).kind === 'shard') this.shardsAheadOfWatch.set(o.key, version(rev));
    }
    if (keys.size > 0) this.changed(keys);
  }
}
