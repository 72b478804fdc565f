/** Keeps a view of the shared state current by listing it once and watching it from then on. */
import { WATCHED_PREFIX, parseKey } from '../../core/keys.js';
import { revision, version, type Revision, type Version } from '../../core/types.js';
import type { Change, View } from '../../core/view.js';
import { URGENCY } from '../rate-limiter.js';
import type { Op } from '../wire.js';
import { Unavailable, type StateClient } from './client.js';

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
export class Follower {
  /** The first complete picture has been reached. */
  ready = false;
  private waiting: { rev: Revision; go: (ok: boolean) => void }[] = [];
  /** Slices that this process has written before the watch told of all that was committed until then. */
  private readonly ahead = new Map<string, Version>();
  private barrier: Promise<void> | null = null;
  private queuedBarrier: Promise<void> | null = null;

  constructor(
    private readonly client: StateClient,
    readonly view: View,
    private readonly changed: (keys: ReadonlySet<string>) => void,
    /** Told of each change that this process has committed, before the view is. */
    private readonly committed: (ops: readonly Op[]) => void = () => undefined,
  ) {}

  async run(): Promise<never> {
    for (;;) {
      try {
        const { rows, from, upTo } = await this.client.list();
        this.view.reset(rows, from);
        this.view.reached(from);
        this.changed(new Set(rows.map((r) => r.key)));
        if (from >= upTo) this.ready = true;
        let at = from;
        for (;;) {
          let r: { events: Change[]; rev: Revision } | null;
          const { clock, watchEveryMs } = this.client;
          const next = clock.now() + watchEveryMs;
          try {
            r = await this.client.follow(at, WATCH_MS);
          } catch {
            await this.client.clock.sleep(WATCH_AGAIN_MS);
            continue;
          }
          if (r === null) break;
          const keys = new Set<string>();
          for (const e of r.events) if (this.view.apply(e)) keys.add(e.key);
          at = revision(Math.max(at, r.rev));
          this.view.reached(at);
          if (at >= upTo) this.ready = true;
          for (const k of this.caughtUp()) keys.add(k);
          this.wake();
          if (keys.size > 0) this.changed(keys);
          if (clock.now() < next) await clock.sleep(next - clock.now());
        }
      } catch {
        await this.client.clock.sleep(LIST_AGAIN_MS);
      }
    }
  }

  /** What may be acted on only now that the view has reached it: listeners are told once more. */
  private caughtUp(): string[] {
    const keys = [...this.ahead].filter(([, v]) => v <= this.view.rev).map(([k]) => k);
    for (const k of keys) this.ahead.delete(k);
    return keys;
  }

  private wake(): void {
    const rest: typeof this.waiting = [];
    for (const w of this.waiting) {
      if (w.rev <= this.view.rev) w.go(true);
      else rest.push(w);
    }
    this.waiting = rest;
  }

  reached(rev: Revision, timeoutMs: number): Promise<boolean> {
    if (this.view.rev >= rev) return Promise.resolve(true);
    return new Promise((resolve) => {
      const w = {
        rev,
        go: (ok: boolean) => {
          stop();
          resolve(ok);
        },
      };
      const stop = this.client.clock.after(timeoutMs, () => {
        this.waiting = this.waiting.filter((x) => x !== w);
        resolve(false);
      });
      this.waiting.push(w);
    });
  }

  /**
   * After it, the view is at least as new as anything that any controller had told anybody before the call.
   * Calls that come while one barrier is under way share the next one.
   */
  async fresh(): Promise<void> {
    if (this.barrier === null) {
      this.barrier = this.oneBarrier().finally(() => {
        this.barrier = null;
      });
      return this.barrier;
    }
    this.queuedBarrier ??= this.barrier
      .catch(() => undefined)
      .then(() => this.client.clock.sleep(BARRIER_EVERY_MS))
      .then(() => {
        this.queuedBarrier = null;
        return this.fresh();
      });
    return this.queuedBarrier;
  }

  private async oneBarrier(): Promise<void> {
    const rev = await this.client.present(URGENCY.users);
    if (!(await this.reached(rev, WATCH_LAG_MS))) throw new Unavailable('the watch lags');
  }

  /** Takes in this process's own commit without waiting for the watch. */
  applied(ops: readonly Op[], rev: Revision): void {
    this.committed(ops);
    const keys = new Set<string>();
    for (const o of ops) {
      if (!o.key.startsWith(WATCHED_PREFIX)) continue;
      if (!this.view.apply({ key: o.key, value: o.value, version: version(rev) })) continue;
      keys.add(o.key);
      if (parseKey(o.key).kind === 'shard') this.ahead.set(o.key, version(rev));
    }
    if (keys.size > 0) this.changed(keys);
  }
}
