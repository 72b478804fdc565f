/** Limits bandwidth with a token bucket that holds at most one second's worth of bytes. */

/** Limits the bytes that are sent to one standby. */
export class ByteBudget {
  private remainingBytes: number;
  private refilledAtMs: number | null = null;

  constructor(private readonly bytesPerSecond: number) {
    this.remainingBytes = bytesPerSecond;
  }

  /** Number of bytes that may be sent now; not above 0 when the budget is spent. */
  available(nowMs: number): number {
    const earned =
      this.refilledAtMs === null ? 0 : ((nowMs - this.refilledAtMs) / 1000) * this.bytesPerSecond;
    this.remainingBytes = Math.min(this.bytesPerSecond, this.remainingBytes + earned);
    this.refilledAtMs = nowMs;
    return this.remainingBytes;
  }

  /** Deducts bytes that were sent; a message may overdraw the budget, and the next ones wait until it is refilled. */
  spend(bytes: number): void {
    this.remainingBytes -= bytes;
  }
}
