/** Checks, once the faults of a run are over, that no job waits for long although a machine has room for it. */
import type { SimulatedCluster } from './simulated-cluster.js';

/** Longest time that a job may starve: the 90 s of the protocol, scaled down like all times of seeded runs. */
const MAX_STARVED_MS = 30_000;
const CHECK_INTERVAL_MS = 1000;

/** Tracks how long each job has been starved, and fails the run if that is too long. */
export class StarvationCheck {
  /** Simulated time in ms from which on the run has no faults; null while it may have some, and starvation is allowed. */
  faultsOverAt: number | null = null;
  private readonly starvedSince = new Map<string, number>();

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly fail: (error: Error) => void,
  ) {}

  /** Checks all jobs, and repeats the check at a fixed interval. */
  run(): void {
    this.check();
    this.cluster.time.after(CHECK_INTERVAL_MS, () => {
      this.run();
    });
  }

  private check(): void {
    const { now } = this.cluster.time;
    const starved = new Set(this.cluster.starvedJobs());
    for (const id of this.starvedSince.keys()) if (!starved.has(id)) this.starvedSince.delete(id);
    for (const id of starved) {
      const since = this.starvedSince.get(id) ?? now;
      this.starvedSince.set(id, since);
      const from = Math.max(since, this.faultsOverAt ?? Number.POSITIVE_INFINITY);
      if (now - from > MAX_STARVED_MS) this.fail(new Error(`${id} waits although a machine has room`));
    }
  }
}
