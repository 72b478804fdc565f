/** Final states of jobs: kept by the state service for ever, remembered here within bounds. */
import type { FinalRecord, JobId } from '../core/types.js';
import { key, parseKey } from '../core/keys.js';
import { URGENCY } from '../io/rate-limiter.js';
import type { StateClient } from '../io/state/client.js';
import type { Op } from '../io/wire.js';

const KEPT = 5000;

/** A bounded cache of final states over reads of the state service. */
export class FinalStates {
  private readonly known = new Map<JobId, FinalRecord>();
  /** How many final states were asked for. */
  reads = 0;

  constructor(private readonly state: StateClient) {}

  cached(id: JobId): FinalRecord | undefined {
    return this.known.get(id);
  }

  /** Takes in final states that this process has just committed. */
  committed(ops: readonly Op[]): void {
    for (const op of ops) {
      const parsed = parseKey(op.key);
      if (parsed.kind === 'final' && op.value !== undefined)
        this.remember(parsed.job, op.value as FinalRecord);
    }
  }

  private remember(id: JobId, final: FinalRecord): void {
    if (this.known.size >= KEPT) {
      const oldest = this.known.keys().next().value;
      if (oldest !== undefined) this.known.delete(oldest);
    }
    this.known.set(id, final);
  }

  /** Reads the job's final state; undefined where it has none. */
  async read(id: JobId): Promise<FinalRecord | undefined> {
    const known = this.known.get(id);
    if (known !== undefined) return known;
    this.reads++;
    const { value } = await this.state.get(key.final(id), URGENCY.users);
    if (value === undefined) return undefined;
    const final = value as FinalRecord;
    this.remember(id, final);
    return final;
  }
}
