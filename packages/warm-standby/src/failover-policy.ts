/** Decides whether a standby takes a shard over now; pure functions of what the standby knows. */
import type { NodeName } from '../../../src/core/model/ids.js';

/** The answer of another controller to a probe about a suspected holder. */
export interface WitnessAnswer {
  readonly node: NodeName;
  /** Whether the holder answers the witness; null where the witness itself did not answer. */
  readonly reaches: boolean | null;
  /** Number of the last log entry that the witness has applied; null where it is not a warm standby of the shard. */
  readonly applied: number | null;
}

/** What a standby knows when it decides about a failover. */
export interface FailoverInput {
  readonly isWarm: boolean;
  /** Number of the last log entry that this standby has applied. */
  readonly applied: number;
  /** Whether the holder answered a probe of this standby. */
  readonly holderAnswers: boolean;
  readonly witnesses: readonly WitnessAnswer[];
  /** Number of witnesses that must confirm that they do not reach the holder. */
  readonly witnessesNeeded: number;
  /** Index of this standby in the order of the shard's standbys, from 0. */
  readonly rank: number;
  /** Milliseconds since the holder was confirmed unreachable; 0 where it is not. */
  readonly confirmedForMs: number;
  /** How long a standby waits for each one that precedes it. */
  readonly rankDelayMs: number;
  readonly backoffLeftMs: number;
  readonly isStateReachable: boolean;
}

/** Why a failover is deferred. */
export type DeferralReason =
  | 'not_warm'
  | 'holder_answers'
  | 'holder_reached_by_another'
  | 'no_witness'
  | 'fresher_standby'
  | 'not_first'
  | 'backoff'
  | 'state_unreachable';

/** Whether to take the shard over now; `wait` gives the reason for deferring it. */
export type FailoverDecision =
  { readonly kind: 'fail_over' } | { readonly kind: 'wait'; readonly reason: DeferralReason };

const wait = (reason: DeferralReason): FailoverDecision => ({ kind: 'wait', reason });

/**
 * Why the holder is not confirmed unreachable, or null where it is: neither this standby nor a witness reaches it, and
 * enough witnesses have said so. A network partition between two controllers must not be mistaken for the failure of one
 * of them.
 */
export function unconfirmedReason(
  input: Pick<FailoverInput, 'holderAnswers' | 'witnesses' | 'witnessesNeeded'>,
): DeferralReason | null {
  if (input.holderAnswers) return 'holder_answers';
  if (input.witnesses.some((w) => w.reaches === true)) return 'holder_reached_by_another';
  const confirming = input.witnesses.filter((w) => w.reaches === false).length;
  return confirming < input.witnessesNeeded ? 'no_witness' : null;
}

/**
 * Why another standby should take the shard before this one: it is warm and has applied more entries, or has a lower rank.
 * Null where none should.
 */
function precedingStandbyReason({ witnesses, applied, rank }: FailoverInput): DeferralReason | null {
  if (witnesses.some((w) => w.applied !== null && w.applied > applied)) return 'fresher_standby';
  return rank > 0 ? 'not_first' : null;
}

/** Decides whether to take the shard over now. */
export function decideFailover(input: FailoverInput): FailoverDecision {
  const unconfirmed = unconfirmedReason(input);
  if (unconfirmed !== null) return wait(unconfirmed);
  if (!input.isStateReachable) return wait('state_unreachable');
  if (!input.isWarm) return wait('not_warm');
  if (input.backoffLeftMs > 0) return wait('backoff');
  // A preceding standby may have failed as well, so this one waits for it only for a bounded time.
  const delayMs = input.rankDelayMs * Math.max(1, input.rank);
  const preceding = precedingStandbyReason(input);
  if (preceding !== null && input.confirmedForMs < delayMs) return wait(preceding);
  return { kind: 'fail_over' };
}
