/** Leases of the simulated state service. */
import type { VirtualTime } from './virtual-time.js';

/** Maximum time by which a lease outlives its requested time to live. */
const MAX_EXTRA_TTL_MS = 100;

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

/** Grants, renews and expires leases; the state service removes the rows that are bound to an ended lease. */
export class LeaseTable {
  private readonly leases = new Map<number, Lease>();
  private nextId = 1;

  constructor(private readonly time: VirtualTime) {}

  /** Grants a lease and returns its id. */
  grant(ttlMs: number): number {
    const id = this.nextId++;
    this.leases.set(id, { ttlMs, expiresAt: this.expiryOf(ttlMs) });
    return id;
  }

  has(id: number): boolean {
    return this.leases.has(id);
  }

  renew(id: number): void {
    const lease = this.leases.get(id)!;
    lease.expiresAt = this.expiryOf(lease.ttlMs);
  }

  delete(id: number): void {
    this.leases.delete(id);
  }

  /** Ids of the leases that have run out and are not deleted yet. */
  expired(): number[] {
    return [...this.leases].filter(([, lease]) => lease.expiresAt < this.time.now).map(([id]) => id);
  }

  /** Restarts the time to live of every lease, as the state service does after an outage. */
  extendAll(): void {
    for (const lease of this.leases.values()) lease.expiresAt = this.time.now + lease.ttlMs;
  }

  private expiryOf(ttlMs: number): number {
    return this.time.now + ttlMs + this.time.int(0, MAX_EXTRA_TTL_MS);
  }
}
