/** Jobs of simulated users: their submissions, and what users and machines have observed of them since. */

/** A submitted job and its observed progress. */
export interface SubmittedJob {
  /** The submission, in its wire format. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly kind: string;
  readonly tasks: number;
  readonly runMs: number;
  /** Additional run time of each task over the task with the next lower index. */
  readonly staggerMs: number;
  /** Whether every task of the job fails on every machine. */
  readonly alwaysFails: boolean;
  /** Indexes of the tasks that have ended successfully. */
  readonly doneTasks: Set<number>;
  /**
   * Whether a machine was lost, or an agent's lease ran out, while it still listed a successful task of the job: its result
   * may be known to no controller, and the task then has to run again.
   */
  mayLackResults: boolean;
  /** Time of the first answer that reported the job as cancelled; null before it. */
  observedCancelledAt: number | null;
  /** Final state that was reported to the user, which must never change; null before it. */
  observedFinalState: string | null;
  /** Time of the first answer that reported the final state; null before it. */
  observedFinalAt: number | null;
  /** Time of the latest answer to the user's polls of the job; null before the first. */
  answeredAt: number | null;
  accepted: boolean;
  /** Whether the user has requested the job's cancellation. */
  isCancellationRequested: boolean;
  /** Ids of the jobs that the job depends on. */
  readonly needs: readonly string[];
}

type Submission = Pick<SubmittedJob, 'body' | 'kind' | 'tasks' | 'runMs'> &
  Partial<Pick<SubmittedJob, 'staggerMs' | 'alwaysFails' | 'needs'>>;

/** Creates the record of a job of which nothing has been observed yet. */
export function newJob(submitted: Submission): SubmittedJob {
  return {
    staggerMs: 0,
    alwaysFails: false,
    needs: [],
    ...submitted,
    doneTasks: new Set(),
    mayLackResults: false,
    observedCancelledAt: null,
    observedFinalState: null,
    observedFinalAt: null,
    answeredAt: null,
    accepted: false,
    isCancellationRequested: false,
  };
}
