/** Counts a controller's requests to the state service, and its changes by reason, for operators. */

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
  /** All requests that were sent. */
  requests = 0;
  /** Requests above the rate (429). */
  limited = 0;
  /** Requests refused in an outage (503). */
  refused = 0;
  /** Requests without an answer. */
  lost = 0;
  /** Changes in transactions whose guards failed; they use as much of the budget as those that were made. */
  conflicted = 0;
  private readonly changesByReason = new Map<WriteReason, number>();
  private readonly requestsByKind = new Map<RequestKind, number>();

  /** Counts a request. */
  sent(kind: RequestKind): void {
    this.requests++;
    this.requestsByKind.set(kind, (this.requestsByKind.get(kind) ?? 0) + 1);
  }

  /** Counts a change that was committed. */
  wrote(reason: WriteReason): void {
    this.changesByReason.set(reason, (this.changesByReason.get(reason) ?? 0) + 1);
  }

  /** The counts in the form in which they are logged. */
  snapshot() {
    const { requests, limited, refused, lost, conflicted } = this;
    return {
      requests,
      asked: Object.fromEntries(this.requestsByKind),
      limited,
      refused,
      lost,
      conflicted,
      written: Object.fromEntries(this.changesByReason),
    };
  }
}
