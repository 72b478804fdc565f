/** Failure detection for the holders of shards, from the messages that they send to this controller. */
import type { NodeName } from '../../../src/core/model/ids.js';
import type { MonotonicMs } from '../../../src/core/model/time.js';
import type { Options } from './options.js';
import { PhiAccrualDetector } from './phi-accrual.js';

/**
 * Longest interval between messages, in heartbeats, that enters a detector's history: a longer one is due to a failure or a
 * pause and would make the detector slower.
 */
const MAX_INTERVAL_HEARTBEATS = 8;

/** One failure detector for each holder that sends to this controller. */
export class HolderMonitor {
  private readonly detectors = new Map<NodeName, PhiAccrualDetector>();

  constructor(
    private readonly heartbeatMs: number,
    private readonly options: Options['detection'],
  ) {}

  /** Records that a message of the holder has arrived. */
  recordArrival(holder: NodeName, now: MonotonicMs): void {
    const detector =
      this.detectors.get(holder) ?? new PhiAccrualDetector(this.heartbeatMs * MAX_INTERVAL_HEARTBEATS);
    this.detectors.set(holder, detector);
    detector.recordArrival(now);
  }

  /** The suspicion level phi of the holder; 0 where too few messages have arrived. */
  phi(holder: NodeName, now: MonotonicMs): number {
    return this.detectors.get(holder)?.phi(now) ?? 0;
  }

  /** When the last message of the holder arrived, on the monotonic clock; null where none has. */
  lastHeardAt(holder: NodeName): number | null {
    return this.detectors.get(holder)?.lastHeardAt ?? null;
  }

  /** Whether the holder is to be probed: its silence has reached `least_silence_ms`, and phi the configured level. */
  isSuspected(holder: NodeName, now: MonotonicMs): boolean {
    const detector = this.detectors.get(holder);
    const silenceMs = detector?.silenceMs(now) ?? null;
    if (detector === undefined || silenceMs === null) return false;
    return silenceMs >= this.options.least_silence_ms && detector.phi(now) >= this.options.phi;
  }
}
