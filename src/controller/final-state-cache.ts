/** Final states of jobs: stored by the state service for ever, cached here within bounds. */
import { evictOldest } from '../core/bounded-map.js';
import { UnavailableError } from '../core/errors.js';
import type { JobId, Revision } from '../core/model/ids.js';
import type { FinalRecord } from '../core/model/jobs.js';
import { key, parseKey } from '../core/records/keys.js';
import { REQUEST_PRIORITY } from '../io/rate-limiter.js';
import type { StateClient } from '../io/state/state-client.js';
import type { WriteOperation } from '../io/state/state-messages.js';

/** Bounds the cache to a few MB; what was evicted is read again on demand. */
const MAX_CACHED = 15_000;

/** A request sent after the call finds what was known by then, so that more than two are not needed. */
const MAX_READS = 3;

/** What a read has found, and the revision at which it held. */
interface FinalRead {
  readonly final: FinalRecord | undefined;
  readonly revision: Revision;
}

/** A bounded cache of final states over reads of the state service. */
export class FinalStateCache {
  private readonly known = new Map<JobId, FinalRecord>();
  private readonly reading = new Map<JobId, Promise<FinalRead>>();
  /** Number of reads sent to the state service. */
  reads = 0;

  constructor(private readonly state: StateClient) {}

  /** The final state if it is cached. */
  cached(id: JobId): FinalRecord | undefined {
    return this.known.get(id);
  }

  /** Caches final states that this process has just committed. */
  recordCommitted(operations: readonly WriteOperation[]): void {
    for (const { key: changedKey, value } of operations) {
      const parsed = parseKey(changedKey);
      if (parsed.kind === 'final' && value !== undefined) this.remember(parsed.job, value as FinalRecord);
    }
  }

  private remember(id: JobId, final: FinalRecord): void {
    this.known.set(id, final);
    evictOldest(this.known, MAX_CACHED);
  }

  /**
   * Reads the job's final state; undefined where it has none at the given revision. Concurrent reads of one job share a
   * request; where that was answered before the revision and found nothing, another one is sent. Throws
   * `UnavailableError` where the state service does not answer.
   */
  async read(id: JobId, atLeast: Revision): Promise<FinalRecord | undefined> {
    for (let attempts = 0; attempts < MAX_READS; attempts++) {
      const known = this.known.get(id);
      if (known !== undefined) return known;
      const { final, revision } = await this.readShared(id);
      if (final !== undefined || revision >= atLeast) return final;
    }
    throw new UnavailableError(`${id}: answers older than what is known`);
  }

  private readShared(id: JobId): Promise<FinalRead> {
    let reading = this.reading.get(id);
    if (reading === undefined) {
      reading = this.request(id).finally(() => this.reading.delete(id));
      this.reading.set(id, reading);
    }
    return reading;
  }

  private async request(id: JobId): Promise<FinalRead> {
    this.reads++;
    const { value, revision } = await this.state.get(key.final(id), REQUEST_PRIORITY.users);
    if (value === undefined) return { final: undefined, revision };
    const final = value as FinalRecord;
    this.remember(id, final);
    return { final, revision };
  }
}
