/**
 * On what basis a controller may answer an agent's heartbeat with 200. An agent stays with the controller that answers
 * it, also if it has to drop the answer because of a lower fencing token, and then loses its lease. A controller that is
 * not entitled to act for the machine therefore has to send the agent elsewhere (PROTOCOL, "Workers -> controller nodes").
 */

/** How far a controller holds a shard, according to its view. */
export type ShardHolding =
  /** It holds the shard, and its view has all commits of the former holders. */
  | 'complete'
  /** It has acquired the shard, but its view may lack commits of the former holders. */
  | 'acquiring'
  /** Another controller holds the shard, or none does. */
  | 'none';

/** What a controller knows about its session with the state service. */
export type SessionStatus =
  /** The session has certainly not expired. */
  | 'valid'
  /** The session may have expired: its renewal has not been answered in time. */
  | 'lapsed'
  /** There is no session, or it began after the shard was acquired and the view is older than the session. */
  | 'ended';

/** What a controller knows when a heartbeat arrives. */
export interface ControllerStanding {
  /** How far the controller holds the shard of the agent's machine. */
  readonly holding: ShardHolding;
  readonly session: SessionStatus;
  /** Whether the state service has answered this controller recently. */
  readonly hasStateContact: boolean;
  /** Whether the state service answers no controller, as far as this one knows: then none can acquire a shard. */
  readonly isStateOutage: boolean;
  /** Whether this controller reaches neither the state service nor any other controller. */
  readonly isIsolated: boolean;
  /** Whether the agent has seen a higher fencing token than the machine's present one in this controller's view. */
  readonly agentHasHigherToken: boolean;
}

/** On what basis a controller answers an agent. */
export type AnswerBasis =
  /** As the holder of the machine's shard; only these answers carry start commands. */
  | 'holder'
  /** As the new holder of the shard; without commands until its view has all commits of the former holders. */
  | 'acquiring'
  /** In place of the holder, for an agent that does not reach it. */
  | 'proxy'
  /** Without the state service, for an agent that reaches no other controller. */
  | 'sole_contact';

/**
 * The only basis on which a controller may answer a heartbeat with 200; null if it must not. `proxy` and `sole_contact`
 * depend on the agent's earlier heartbeats as well.
 */
export function answerBasis(standing: ControllerStanding): AnswerBasis | null {
  if (standing.agentHasHigherToken) return null;
  if (standing.holding === 'none') {
    if (standing.session === 'valid' && standing.hasStateContact) return 'proxy';
  } else if (mayActAsHolder(standing)) return standing.holding === 'complete' ? 'holder' : 'acquiring';
  return standing.isIsolated ? 'sole_contact' : null;
}

/**
 * Whether a controller that holds a shard in its view may act as its holder: no other controller can have acquired the
 * shard since, as far as this one can know.
 */
export function mayActAsHolder({
  session,
  isStateOutage,
}: Pick<ControllerStanding, 'session' | 'isStateOutage'>): boolean {
  return session === 'valid' || (session === 'lapsed' && isStateOutage);
}
