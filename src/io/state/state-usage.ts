/** Counters of a controller's requests to the state service and of its writes by reason, logged for operators. */

/** Why a key is written: a label of the counters, without effect on the write. */
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

/** Kind of a request to the state service; a `barrier` is an empty transaction that reads the current revision. */
export type RequestKind = 'read' | 'barrier' | 'transaction' | 'lease' | 'list' | 'watch';

/** Counters of requests and writes since the process started. */
export class StateUsage {
  /** Requests sent, whatever their answer. */
  requests = 0;
  /** Requests refused for exceeding the rate limit (status 429). */
  limited = 0;
  /** Requests refused in an outage (status 503). */
  refused = 0;
  /** Requests without a usable response: failed, timed out or with a malformed body. */
  lost = 0;
  /** Writes in transactions whose guards failed; they use as much of the write budget as committed writes. */
  conflicted = 0;
  private readonly writesByReason = new Map<WriteReason, number>();
  private readonly requestsByKind = new Map<RequestKind, number>();

  /** Counts a request that is about to be sent. */
  countRequest(kind: RequestKind): void {
    this.requests++;
    this.requestsByKind.set(kind, (this.requestsByKind.get(kind) ?? 0) + 1);
  }

  /** Counts a committed write. */
  countWrite(reason: WriteReason): void {
    this.writesByReason.set(reason, (this.writesByReason.get(reason) ?? 0) + 1);
  }

  /** The counters as fields of the log line for operators. */
  snapshot() {
    const { requests, limited, refused, lost, conflicted } = this;
    return {
      requests,
      asked: Object.fromEntries(this.requestsByKind),
      limited,
      refused,
      lost,
      conflicted,
      written: Object.fromEntries(this.writesByReason),
    };
  }
}
