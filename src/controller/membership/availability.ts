/**
 * What a controller may still do while the state service does not answer it. By itself it cannot tell whether the service
 * is out for all controllers or only for this one; the other controllers can.
 */
import type { Peer } from '../../io/peers/peer.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from './membership.js';

/** Interval at which contact to the state service is checked. */
const CHECK_INTERVAL_MS = 700;
const PEER_ANSWER_TIMEOUT_MS = 1200;
/** How long the peers' last answers count. */
const PEER_ANSWERS_VALID_MS = 5000;
/** Without an answer for this long the peers are asked about their contact. */
const CONTACT_LOST_MS = 1500;
/** Without an answer for this long the controller is unhealthy, unless there is a state outage. */
const UNHEALTHY_AFTER_MS = 3000;

interface PeerContact {
  /** Whether any peer has contact to the state service. */
  readonly hasStateContact: boolean;
  readonly at: number;
}

/** Decides whether this controller may answer agents and users now. */
export class Availability {
  private lastPeerContact: PeerContact = { hasStateContact: true, at: Number.NEGATIVE_INFINITY };
  /** Neither the state service nor any other controller answers: all may have failed, or this one's zone is cut off. */
  isIsolated = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
    private readonly peers: ReadonlyMap<string, Peer>,
  ) {}

  /**
   * Whether this controller may answer for its shard: its session is certainly alive, or the service is out for all, so
   * that nobody can have acquired the shard. Cut off from the service and from all peers it knows neither: then its
   * agents must go, before their leases expire, to a controller that can act for them.
   */
  get mayAnswerAgents(): boolean {
    return this.membership.hasValidLease || this.isStateOutage;
  }

  /**
   * Whether users and the load balancer should use this controller. While no controller reaches the state service, final
   * states can still be answered, and taking all controllers out of service would only prolong the outage for users.
   */
  get isHealthy(): boolean {
    const { context } = this;
    if (!context.watcher.isReady || context.view.types === null) return false;
    return context.state.isReachable(UNHEALTHY_AFTER_MS) || this.isStateOutage;
  }

  /** Checks contact to the state service for ever, and asks the peers while it is lost. */
  async run(): Promise<never> {
    const { clock, state } = this.context;
    for (;;) {
      await clock.sleep(CHECK_INTERVAL_MS);
      if (state.isReachable(CONTACT_LOST_MS)) {
        this.isIsolated = false;
        continue;
      }
      const answers = await Promise.all(
        [...this.peers.values()].map((peer) => peer.contact(PEER_ANSWER_TIMEOUT_MS)),
      );
      this.recordPeerAnswers(answers);
    }
  }

  /** No peer has contact to the state service either, and at least one peer said so recently. */
  private get isStateOutage(): boolean {
    if (this.peers.size === 0) return true;
    const { hasStateContact, at } = this.lastPeerContact;
    return !hasStateContact && this.context.clock.now() - at < PEER_ANSWERS_VALID_MS;
  }

  private recordPeerAnswers(answers: readonly (boolean | null)[]): void {
    const hasStateContact = answers.includes(true);
    this.isIsolated = !hasStateContact && !answers.includes(false);
    if (!this.isIsolated) this.lastPeerContact = { hasStateContact, at: this.context.clock.now() };
  }
}
