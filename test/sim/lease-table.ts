/** Leases of the simulated state service. */
import type { VirtualTime } from './virtual-time.js';

/** A lease may live for so much longer than was asked for. */
const MAX_EXTRA_MS = 100;

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

/** Grants and renews leases; the owner of the table removes the rows of those that have ended. */
export class LeaseTable {
  private readonly leases = new Map<number, Lease>();
  private nextId = 1;

  constructor(private readonly time: VirtualTime) {}

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

  expired(): number[] {
    return [...this.leases].filter(([, lease]) => lease.expiresAt < this.time.now).map(([id]) => id);
  }

  /** Gives every lease its full time anew, as the service does after an outage. */
  extendAll(): void {
    for (const lease of this.leases.values()) lease.expiresAt = this.time.now + lease.ttlMs;
  }

  private expiryOf(ttlMs: number): number {
    return this.time.now + ttlMs + this.time.int(0, MAX_EXTRA_MS);
  }
}
