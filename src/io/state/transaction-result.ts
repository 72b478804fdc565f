/** Results of transactions, as far as their sender knows them. */
import type { Revision } from '../../core/model/ids.js';

/** A transaction that was not committed since guards failed: `failed` has their keys, `revision` is when they did. */
export interface TransactionConflict {
  readonly kind: 'conflict';
  readonly revision: Revision;
  readonly failed: readonly string[];
}

/** Result of a transaction, as far as its sender knows. */
export type TransactionResult =
  | { readonly kind: 'ok'; readonly revision: Revision }
  | TransactionConflict
  /** Rejected with operations that name a lease: taken to mean that the lease does not exist any more. */
  | { readonly kind: 'no_lease' }
  /** The transaction was not committed: the queue is full, the rate limit is exceeded, or there is an outage. */
  | { readonly kind: 'refused' }
  /** The transaction was not committed: it is malformed or exceeds a limit, and would be rejected each time. */
  | { readonly kind: 'rejected' }
  /** The transaction was not sent: it was outdated by the time that the rate limiter granted it. */
  | { readonly kind: 'stale' }
  /** No response came: the transaction may have been committed, or may still be. */
  | { readonly kind: 'unknown' };
