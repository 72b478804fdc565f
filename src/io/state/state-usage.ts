/** What a controller asks of the state service: counts for operators, and for finding out where the write budget goes. */

/** Why a change is written. */
export type WriteReason =
  | 'submission'
  | 'end'
  | 'results'
  | 'cancellation'
  | 'start'
  | 'preemption'
  | 'machine_state'
  | 'tidying'
  | 'failing'
  | 'move'
  | 'return'
  | 'rental'
  | 'membership'
  | 'settling'
  | 'other';

/** What a request to the state service is for. */
export type RequestKind = 'read' | 'barrier' | 'transaction' | 'lease' | 'list' | 'watch';

/** Counts since the process began. */
export class StateUsage {
  requests = 0;
  /** Requests above the rate (429), refused (503) and without an answer. */
  limited = 0;
  refused = 0;
  lost = 0;
  /** Changes in transactions whose guards failed: they cost as much as those that were made. */
  conflicted = 0;
  private readonly written = new Map<WriteReason, number>();
  private readonly asked = new Map<RequestKind, number>();

  /** A request was sent. */
  sent(kind: RequestKind): void {
    this.requests++;
    this.asked.set(kind, (this.asked.get(kind) ?? 0) + 1);
  }

  wrote(reason: WriteReason): void {
    this.written.set(reason, (this.written.get(reason) ?? 0) + 1);
  }

  /** The counts as they are logged. */
  snapshot() {
    const { requests, limited, refused, lost, conflicted } = this;
    return {
      requests,
      asked: Object.fromEntries(this.asked),
      limited,
      refused,
      lost,
      conflicted,
      written: Object.fromEntries(this.written),
    };
  }
}
