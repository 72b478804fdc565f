/** Final states of jobs: kept by the state service for ever, remembered here within bounds. */
import { evictOldest } from '../core/bounded-map.js';
import type { JobId, Revision } from '../core/model/ids.js';
import type { FinalRecord } from '../core/model/jobs.js';
import { key, parseKey } from '../core/records/keys.js';
import { REQUEST_PRIORITY } from '../io/rate-limiter.js';
import { Unavailable, type StateClient } from '../io/state/state-client.js';
import type { WriteOperation } from '../io/state/state-messages.js';

/** So many are remembered: a few MB. What is forgotten is read again when it is asked for. */
const KEPT = 15_000;

/** A request that is sent after the question finds what was known by then: more than two are never needed. */
const MOST_READS = 3;

/** What a read has found, and the service's revision at that moment. */
interface FinalRead {
  readonly final: FinalRecord | undefined;
  readonly rev: Revision;
}

/** A bounded cache of final states over reads of the state service. */
export class FinalStateCache {
  private readonly known = new Map<JobId, FinalRecord>();
  private readonly reading = new Map<JobId, Promise<FinalRead>>();
  /** How many final states were asked for. */
  reads = 0;

  constructor(private readonly state: StateClient) {}

  cached(id: JobId): FinalRecord | undefined {
    return this.known.get(id);
  }

  /** Takes in final states that this process has just committed. */
  recordCommitted(operations: readonly WriteOperation[]): void {
    for (const op of operations) {
      const parsed = parseKey(op.key);
      if (parsed.kind === 'final' && op.value !== undefined)
        this.remember(parsed.job, op.value as FinalRecord);
    }
  }

  private remember(id: JobId, final: FinalRecord): void {
    this.known.set(id, final);
    evictOldest(this.known, KEPT);
  }

  /**
   * Reads the job's final state; undefined where it has none at the revision given. Questions about one job that come
   * together share a request; where that was answered before the revision and found nothing, another one is made.
   */
  async read(id: JobId, atLeast: Revision): Promise<FinalRecord | undefined> {
    for (let i = 0; i < MOST_READS; i++) {
      const known = this.known.get(id);
      if (known !== undefined) return known;
      const { final, rev } = await this.readShared(id);
      if (final !== undefined || rev >= atLeast) return final;
    }
    throw new Unavailable(`${id}: answers older than what is known`);
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
    const { value, rev } = await this.state.get(key.final(id), REQUEST_PRIORITY.users);
    if (value === undefined) return { final: undefined, rev };
    const final = value as FinalRecord;
    this.remember(id, final);
    return { final, rev };
  }
}
