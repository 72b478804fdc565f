/** Jobs of the stand-ins: what was submitted, and what was told about it. */

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
  doneTasks: Set<number>;
  observedCancelledAt: number | null;
  observedFinalState: string | null;
  /** When its user last got an answer about it. */
  answeredAt: number | null;
  accepted: boolean;
  /** Its user has asked to call it off. */
  isCancellationRequested: boolean;
  /** The jobs that it names. */
  readonly needs: readonly string[];
}

type Known = Pick<SubmittedJob, 'body' | 'kind' | 'tasks' | 'runMs'>;

/** A job about which nothing has been told yet. */
export const newJob = (
  known: Known & Partial<Pick<SubmittedJob, 'staggerMs' | 'alwaysFails' | 'needs'>>,
): SubmittedJob => ({
  staggerMs: 0,
  alwaysFails: false,
  needs: [],
  ...known,
  doneTasks: new Set(),
  observedCancelledAt: null,
  observedFinalState: null,
  answeredAt: null,
  accepted: false,
  isCancellationRequested: false,
});
