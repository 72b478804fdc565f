/** Machines that a job should not be placed on for a while, after one of its tasks failed or was refused there. */
import { evictOldest } from '../../core/bounded-map.js';
import type { Clock } from '../../core/model/clock.js';
import type { JobId, MachineName } from '../../core/model/ids.js';
import { monotonicMs, type MonotonicMs } from '../../core/model/time.js';

/** A bounded map of pairs of a job and a machine to avoid; the oldest pairs are evicted first. */
export class AvoidedMachines {
  private readonly avoidedUntil = new Map<string, MonotonicMs>();

  constructor(private readonly clock: Clock) {}

  /** Marks the machine as avoided by the job for `forMs` milliseconds; evicts the oldest pair beyond `maxPairs`. */
  avoid(job: JobId, machine: MachineName, forMs: number, maxPairs: number): void {
    const pair = pairOf(job, machine);
    this.avoidedUntil.delete(pair);
    this.avoidedUntil.set(pair, monotonicMs(this.clock.now() + forMs));
    evictOldest(this.avoidedUntil, maxPairs);
  }

  /** Whether the job should not be placed on the machine now. */
  isAvoided(job: JobId, machine: MachineName): boolean {
    const until = this.avoidedUntil.get(pairOf(job, machine));
    return until !== undefined && until > this.clock.now();
  }
}

const pairOf = (job: JobId, machine: MachineName): string => `${job} ${machine}`;
