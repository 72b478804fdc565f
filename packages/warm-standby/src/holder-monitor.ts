/** How long holders have been silent, and how suspicious that is. */
import type { NodeName } from '../../../src/core/model/ids.js';
import type { MonotonicMs } from '../../../src/core/model/time.js';
import type { Options } from './options.js';
import { PhiAccrual } from './phi-accrual.js';

/** Intervals of more heartbeats than this were a failure or a pause, not the sender's usual rhythm. */
const LONGEST_USUAL_HEARTBEATS = 8;

/** Watches the holders that send to this controller. */
export class HolderMonitor {
  private readonly holders = new Map<NodeName, PhiAccrual>();

  constructor(
    private readonly heartbeatMs: number,
    private readonly options: Options['detection'],
  ) {}

  /** A message of the holder has arrived. */
  heard(holder: NodeName, now: MonotonicMs): void {
    const watched = this.holders.get(holder) ?? new PhiAccrual(this.heartbeatMs * LONGEST_USUAL_HEARTBEATS);
    this.holders.set(holder, watched);
    watched.heard(now);
  }

  /** The level of suspicion of the holder; 0 where too little is known. */
  phi(holder: NodeName, now: MonotonicMs): number {
    return this.holders.get(holder)?.phi(now) ?? 0;
  }

  /** When the holder last sent a message, on the monotonic clock; null: never. */
  lastHeardAt(holder: NodeName): number | null {
    return this.holders.get(holder)?.lastHeardAt ?? null;
  }

  /** Whether the holder has been silent for long enough, and unlikely so, to be probed. */
  isSuspected(holder: NodeName, now: MonotonicMs): boolean {
    const watched = this.holders.get(holder);
    const silenceMs = watched?.silenceMs(now) ?? null;
    if (watched === undefined || silenceMs === null) return false;
    return silenceMs >= this.options.least_silence_ms && watched.phi(now) >= this.options.phi;
  }
}
