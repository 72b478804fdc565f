/**
 * Contact of a controller with the state service and its peers. The controller alone cannot tell whether the state service
 * is unreachable for all controllers or only for itself, so it asks its peers.
 */
import type { MonotonicMs } from '../../core/model/time.js';
import type { Peer } from '../../io/peers/peer.js';
import type { ControllerContext } from '../controller-context.js';

/** Interval at which contact with the state service is checked. */
const CHECK_INTERVAL_MS = 700;
const PEER_ANSWER_TIMEOUT_MS = 1200;
/** How long the peers' last answers are valid, from when they were asked. */
const PEER_ANSWERS_VALID_MS = 5000;
/** After this long without an answer of the state service, the peers are asked whether they have contact with it. */
const CONTACT_LOST_MS = 1500;
/** After this long without an answer of the state service, the controller is unhealthy, except in a state outage. */
const UNHEALTHY_AFTER_MS = 3000;

interface PeerContact {
  /** Whether any peer has contact with the state service. */
  readonly hasStateContact: boolean;
  /** When they were asked. Their answers may arrive long after that, if this process was paused meanwhile. */
  readonly askedAt: number;
}

/** Knows which of the state service and the peers this controller reaches now. */
export class Availability {
  private lastPeerContact: PeerContact = { hasStateContact: true, askedAt: Number.NEGATIVE_INFINITY };
  /** When the peers were last asked if none of them answered; null while the state service or a peer answers. */
  private isolatedAskedAt: MonotonicMs | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly peers: ReadonlyMap<string, Peer>,
  ) {}

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

  /**
   * Whether neither the state service nor any peer answers: all of them may have failed, or this controller's zone is
   * partitioned from them.
   */
  get isIsolated(): boolean {
    return this.isolatedAskedAt !== null && this.isRecent(this.isolatedAskedAt);
  }

  /**
   * Whether no controller reaches the state service: no peer does, and at least one said so recently; true without peers.
   * None can then acquire a shard.
   */
  get isStateOutage(): boolean {
    if (this.peers.size === 0) return true;
    const { hasStateContact, askedAt } = this.lastPeerContact;
    return !hasStateContact && this.isRecent(askedAt);
  }

  /** Checks contact with the state service at intervals, and asks the peers about theirs while it is lost. */
  async run(): Promise<never> {
    const { clock, state } = this.context;
    for (;;) {
      await clock.sleep(CHECK_INTERVAL_MS);
      if (state.isReachable(CONTACT_LOST_MS)) {
        this.isolatedAskedAt = null;
        continue;
      }
      const askedAt = clock.now();
      const answers = await Promise.all(
        [...this.peers.values()].map((peer) => peer.hasStateContact(PEER_ANSWER_TIMEOUT_MS)),
      );
      this.recordPeerAnswers(answers, askedAt);
    }
  }

  private isRecent(askedAt: number): boolean {
    return this.context.clock.now() - askedAt < PEER_ANSWERS_VALID_MS;
  }

  private recordPeerAnswers(answers: readonly (boolean | null)[], askedAt: MonotonicMs): void {
    const hasStateContact = answers.includes(true);
    const isIsolated = !hasStateContact && !answers.includes(false);
    this.isolatedAskedAt = isIsolated ? askedAt : null;
    if (!isIsolated) this.lastPeerContact = { hasStateContact, askedAt };
  }
}
