/** Results of users' requests about jobs. */
import type { JobState } from './jobs.js';

/** What became of a submission. */
export type SubmissionResult =
  /** Committed now, or known from an earlier submission under the same id. */
  | { readonly kind: 'accepted' | 'known'; readonly state: JobState }
  /** It can never run; `why` is part of the answer to its user. */
  | { readonly kind: 'impossible'; readonly why: string }
  /** Cannot be decided or committed now; the user should retry. */
  | { readonly kind: 'later' };

/** What became of a request to cancel. */
export type CancellationResult =
  | { readonly kind: 'final'; readonly state: JobState }
  | { readonly kind: 'not_found' }
  /** Not finished in time; the user should retry. */
  | { readonly kind: 'later' };

/** What a controller answers to a cancellation that another one forwards; the words are part of the peer protocol. */
export type ForwardedCancellationOutcome = 'taken' | 'not_mine';
