/** Final states of jobs: stored permanently in the state service, and cached here up to a bounded number. */
import { evictOldest } from '../core/bounded-map.js';
import { UnavailableError } from '../core/errors.js';
import type { JobId, Revision } from '../core/model/ids.js';
import type { FinalRecord } from '../core/model/jobs.js';
import { key, parseKey } from '../core/records/keys.js';
import { REQUEST_PRIORITY } from '../io/rate-limiter.js';
import type { StateClient } from '../io/state/state-client.js';
import type { WriteOperation } from '../io/state/state-messages.js';

/** Bounds the cache to a few MB; evicted final states are read again on demand. */
const MAX_CACHED = 15_000;

/**
 * Limit on the requests of one read. The first may have been sent before the read began, so that its answer may be too
 * old; the answer to a later one is not, so that more than two are not needed.
 */
const MAX_REQUESTS_PER_READ = 3;

/** An answer to a read and its revision; `final` is undefined where the job had no final state at that revision. */
interface FinalRead {
  readonly final: FinalRecord | undefined;
  readonly revision: Revision;
}

/** A bounded cache of final states that were read from the state service or committed by this process. */
export class FinalStateCache {
  private readonly finalStates = new Map<JobId, FinalRecord>();
  private readonly pendingReads = new Map<JobId, Promise<FinalRead>>();
  /** Number of reads sent to the state service. */
  reads = 0;

  constructor(private readonly state: StateClient) {}

  /** The job's final state if it is cached; undefined does not mean that there is none. */
  cached(id: JobId): FinalRecord | undefined {
    return this.finalStates.get(id);
  }

  /** Caches final states that this process has just committed. */
  recordCommitted(operations: readonly WriteOperation[]): void {
    for (const { key: changedKey, value } of operations) {
      const parsed = parseKey(changedKey);
      if (parsed.kind === 'final' && value !== undefined) this.add(parsed.job, value as FinalRecord);
    }
  }

  private add(id: JobId, final: FinalRecord): void {
    this.finalStates.set(id, final);
    evictOldest(this.finalStates, MAX_CACHED);
  }

  /**
   * The job's final state; undefined where it has none at a revision of at least `atLeast`. Concurrent reads of one job
   * share a request; where its answer is older than `atLeast` and has no final state, another one is sent. Throws
   * `UnavailableError` where the state service does not answer, or all answers are too old.
   */
  async read(id: JobId, atLeast: Revision): Promise<FinalRecord | undefined> {
    for (let attempts = 0; attempts < MAX_REQUESTS_PER_READ; attempts++) {
      const cached = this.finalStates.get(id);
      if (cached !== undefined) return cached;
      const { final, revision } = await this.readShared(id);
      if (final !== undefined || revision >= atLeast) return final;
    }
    throw new UnavailableError(`final state of ${id}: all answers are older than revision ${atLeast}`);
  }

  private readShared(id: JobId): Promise<FinalRead> {
    let pendingRead = this.pendingReads.get(id);
    if (pendingRead === undefined) {
      pendingRead = this.request(id).finally(() => this.pendingReads.delete(id));
      this.pendingReads.set(id, pendingRead);
    }
    return pendingRead;
  }

  private async request(id: JobId): Promise<FinalRead> {
    this.reads++;
    const { value, revision } = await this.state.get(key.final(id), REQUEST_PRIORITY.users);
    if (value === undefined) return { final: undefined, revision };
    const final = value as FinalRecord;
    this.add(id, final);
    return { final, revision };
  }
}
