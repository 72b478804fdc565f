/** Checks, once the faults of a run are over, that no job waits for long where there is room for it. */
import type { SimulatedCluster } from './simulated-cluster.js';

/** The 90 s that PROTOCOL allows, scaled down as all times of seeded runs are. */
const MAX_STARVED_MS = 30_000;
const CHECK_INTERVAL_MS = 1000;

/** Follows how long each job has been starved. */
export class StarvationCheck {
  /** From then on there are no faults; null while there may be some. */
  faultsOverAt: number | null = null;
  private readonly starvedSince = new Map<string, number>();

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly fail: (error: Error) => void,
  ) {}

  /** Checks now and then periodically. */
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
      if (now - from > MAX_STARVED_MS) this.fail(new Error(`${id} waits though a machine has room`));
    }
  }
}
