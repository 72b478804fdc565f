/** Jobs of simulated users: what was submitted, and what has been observed of it. */

/** A job as its user knows it. */
export interface SubmittedJob {
  readonly body: Readonly<Record<string, unknown>>;
  readonly kind: string;
  readonly tasks: number;
  readonly runMs: number;
  /** How much longer each task runs than the one before it. */
  readonly staggerMs: number;
  /** Fails on every machine. */
  readonly alwaysFails: boolean;
  /** Indexes of the tasks that ended successfully. */
  readonly doneTasks: Set<number>;
  /** When its user was first answered that it is cancelled. */
  observedCancelledAt: number | null;
  /** The final state that its user was answered; it must never change. */
  observedFinalState: string | null;
  /** When its user last got an answer about it. */
  answeredAt: number | null;
  accepted: boolean;
  /** Its user has requested its cancellation. */
  isCancellationRequested: boolean;
  /** The jobs that it depends on. */
  readonly needs: readonly string[];
}

type Submission = Pick<SubmittedJob, 'body' | 'kind' | 'tasks' | 'runMs'> &
  Partial<Pick<SubmittedJob, 'staggerMs' | 'alwaysFails' | 'needs'>>;

/** A job of which nothing has been observed yet. */
export function newJob(submitted: Submission): SubmittedJob {
  return {
    staggerMs: 0,
    alwaysFails: false,
    needs: [],
    ...submitted,
    doneTasks: new Set(),
    observedCancelledAt: null,
    observedFinalState: null,
    answeredAt: null,
    accepted: false,
    isCancellationRequested: false,
  };
}
