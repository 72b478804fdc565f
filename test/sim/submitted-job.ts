/** Jobs of the stand-ins: what was submitted, and what was told about it. */

/** A job as its user knows it. */
export interface Submitted {
  readonly body: Readonly<Record<string, unknown>>;
  readonly kind: string;
  readonly tasks: number;
  readonly runMs: number;
  /** How much longer each task runs than the one before it. */
  readonly apartMs: number;
  /** Fails on every machine. */
  readonly broken: boolean;
  doneTasks: Set<number>;
  toldCancelledAt: number | null;
  toldFinal: string | null;
  /** When its user last got an answer about it. */
  answeredAt: number | null;
  accepted: boolean;
  /** Its user has asked to call it off. */
  asked: boolean;
  /** The jobs that it names. */
  readonly needs: readonly string[];
}

type Known = Pick<Submitted, 'body' | 'kind' | 'tasks' | 'runMs'>;

/** A job about which nothing has been told yet. */
export const newJob = (
  known: Known & Partial<Pick<Submitted, 'apartMs' | 'broken' | 'needs'>>,
): Submitted => ({
  apartMs: 0,
  broken: false,
  needs: [],
  ...known,
  doneTasks: new Set(),
  toldCancelledAt: null,
  toldFinal: null,
  answeredAt: null,
  accepted: false,
  asked: false,
});
