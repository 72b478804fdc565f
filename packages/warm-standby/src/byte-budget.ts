/** How many bytes may be sent now: a token bucket that holds one second's worth. */

/** Bounds what is sent to one standby. */
export class ByteBudget {
  private left: number;
  private at: number | null = null;

  constructor(private readonly bytesPerSecond: number) {
    this.left = bytesPerSecond;
  }

  /** What may be sent at this moment. */
  available(nowMs: number): number {
    const earned = this.at === null ? 0 : ((nowMs - this.at) / 1000) * this.bytesPerSecond;
    this.left = Math.min(this.bytesPerSecond, this.left + earned);
    this.at = nowMs;
    return this.left;
  }

  /** So much was sent; a message may overdraw the budget, and the next ones wait for it. */
  spend(bytes: number): void {
    this.left -= bytes;
  }
}
