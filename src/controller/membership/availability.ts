/**
 * Decides what a controller may still do while the state service does not answer it. The controller alone cannot tell
 * whether the service is unreachable for all controllers or only for itself, so it asks its peers.
 */
import type { Peer } from '../../io/peers/peer.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from './membership.js';

/** Interval at which contact with the state service is checked. */
const CHECK_INTERVAL_MS = 700;
const PEER_ANSWER_TIMEOUT_MS = 1200;
/** How long the peers' last answers are valid. */
const PEER_ANSWERS_VALID_MS = 5000;
/** After this long without an answer of the state service, the peers are asked whether they have contact with it. */
const CONTACT_LOST_MS = 1500;
/** After this long without an answer of the state service, the controller is unhealthy, except in a state outage. */
const UNHEALTHY_AFTER_MS = 3000;

interface PeerContact {
  /** Whether any peer has contact with the state service. */
  readonly hasStateContact: boolean;
  readonly at: number;
}

/** Decides whether this controller may answer agents and users now. */
export class Availability {
  private lastPeerContact: PeerContact = { hasStateContact: true, at: Number.NEGATIVE_INFINITY };
  /**
   * Whether neither the state service nor any peer answers: all of them may have failed, or this controller's zone is
   * partitioned from them.
   */
  isIsolated = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
    private readonly peers: ReadonlyMap<string, Peer>,
  ) {}

  /**
   * Whether this controller may answer agents for its shard: its session has certainly not expired, or no controller
   * reaches the state service, so that none can have acquired the shard. A controller that reaches neither the service
   * nor any peer cannot rely on either condition: its agents have to turn to a controller that can act for them before
   * their leases expire.
   */
  get mayAnswerAgents(): boolean {
    return this.membership.hasValidLease || this.isStateOutage;
  }

  /**
   * Whether users and the load balancer should use this controller. It stays healthy while no controller reaches the
   * state service: final states can still be answered, and taking all controllers out of service would only prolong the
   * outage for users.
   */
  get isHealthy(): boolean {
    const { context } = this;
    if (!context.watcher.isReady || context.view.types === null) return false;
    return context.state.isReachable(UNHEALTHY_AFTER_MS) || this.isStateOutage;
  }

  /** Checks contact with the state service at intervals, and asks the peers about theirs while it is lost. */
  async run(): Promise<never> {
    const { clock, state } = this.context;
    for (;;) {
      await clock.sleep(CHECK_INTERVAL_MS);
      if (state.isReachable(CONTACT_LOST_MS)) {
        this.isIsolated = false;
        continue;
      }
      const answers = await Promise.all(
        [...this.peers.values()].map((peer) => peer.hasStateContact(PEER_ANSWER_TIMEOUT_MS)),
      );
      this.recordPeerAnswers(answers);
    }
  }

  /** Whether no peer has contact with the state service either and at least one said so recently; true without peers. */
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
