/** Decides whether a standby takes a shard now, from what it knows; without input or output. */
import type { NodeName } from '../../../src/core/model/ids.js';

/** What one other controller said of a holder that does not answer. */
export interface Witness {
  readonly node: NodeName;
  /** Null: no answer. */
  readonly reaches: boolean | null;
  /** How far it is with the shard, where it is a warm standby of it itself. */
  readonly applied: number | null;
}

/** What is known at the moment of the decision. */
export interface FailoverInput {
  readonly isWarm: boolean;
  /** The last entry that this standby has applied. */
  readonly applied: number;
  /** The holder answered this standby itself. */
  readonly holderAnswers: boolean;
  readonly witnesses: readonly Witness[];
  readonly witnessesNeeded: number;
  /** This standby's place in the order of the shard's standbys, from 0. */
  readonly rank: number;
  /** How long the holder has been confirmed out of reach. */
  readonly confirmedForMs: number;
  readonly rankDelayMs: number;
  readonly backoffLeftMs: number;
  readonly isStateReachable: boolean;
}

/** Why a failover waits or is left out. */
export type DeferralReason =
  | 'not_warm'
  | 'holder_answers'
  | 'holder_reached_by_another'
  | 'no_witness'
  | 'fresher_standby'
  | 'not_first'
  | 'backoff'
  | 'state_unreachable';

/** The decision. */
export type FailoverDecision =
  { readonly kind: 'take' } | { readonly kind: 'wait'; readonly reason: DeferralReason };

const wait = (reason: DeferralReason): FailoverDecision => ({ kind: 'wait', reason });

/**
 * Why the holder is not confirmed to be out of reach, or null where it is: nobody who was asked reaches it, and enough of
 * them said so. A cut between two controllers must not be taken for the death of one of them.
 */
export function unconfirmedReason(
  input: Pick<FailoverInput, 'holderAnswers' | 'witnesses' | 'witnessesNeeded'>,
): DeferralReason | null {
  if (input.holderAnswers) return 'holder_answers';
  if (input.witnesses.some((w) => w.reaches === true)) return 'holder_reached_by_another';
  const confirming = input.witnesses.filter((w) => w.reaches === false).length;
  return confirming < input.witnessesNeeded ? 'no_witness' : null;
}

/** Whether another warm standby of the shard should go first: it has applied more, or as much and is before this one. */
function reasonToDefer({ witnesses, applied, rank }: FailoverInput): DeferralReason | null {
  if (witnesses.some((w) => w.applied !== null && w.applied > applied)) return 'fresher_standby';
  return rank > 0 ? 'not_first' : null;
}

/** Whether to take the shard now. */
export function decideFailover(input: FailoverInput): FailoverDecision {
  const doubt = unconfirmedReason(input);
  if (doubt !== null) return wait(doubt);
  if (!input.isStateReachable) return wait('state_unreachable');
  if (!input.isWarm) return wait('not_warm');
  if (input.backoffLeftMs > 0) return wait('backoff');
  // Whoever should go first is given its time, and not more: it may be gone as well.
  const turnAfterMs = input.rankDelayMs * Math.max(1, input.rank);
  const ahead = reasonToDefer(input);
  if (ahead !== null && input.confirmedForMs < turnAfterMs) return wait(ahead);
  return { kind: 'take' };
}
