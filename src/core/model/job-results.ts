/** Results of users' requests about jobs. */
import type { JobState } from './jobs.js';

/** The outcome of a submission. */
export type SubmissionResult =
  /** `accepted`: the job was committed. `known`: a job with the same id was submitted earlier. */
  | { readonly kind: 'accepted' | 'known'; readonly state: JobState }
  /** The job can never run; `why` is part of the answer to its user. */
  | { readonly kind: 'impossible'; readonly why: string }
  /** The submission cannot be decided or committed now; the user should retry. */
  | { readonly kind: 'later' };

/** The outcome of a request to cancel a job. */
export type CancellationResult =
  /** The job has ended in `state`. */
  | { readonly kind: 'final'; readonly state: JobState }
  | { readonly kind: 'not_found' }
  /** The cancellation has not finished in time; the user should retry. */
  | { readonly kind: 'later' };

/** A controller's answer to a cancellation that another one forwards; the values are part of the peer protocol. */
export type ForwardedCancellationOutcome = 'taken' | 'not_mine';
