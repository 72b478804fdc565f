/**
 * What a controller may still do while the state service does not answer it. It cannot tell by itself whether the
 * service is out for all or only for this controller; the other controllers can.
 */
import type { Peer } from '../../io/peers/peer-link.js';
import type { ControllerContext } from '../controller-context.js';
import type { Membership } from './membership.js';

const ASK_MS = 700;
const ANSWER_MS = 1200;
/** How long it counts what a peer said. */
const KNOWN_MS = 5000;

/** Decides whether this controller may answer workers and users now. */
export class Availability {
  /** What the peers said last: whether any of them has contact to the state service. */
  private lastPeerReport = { contact: true, at: Number.NEGATIVE_INFINITY };
  /** Neither the state service nor any other controller answers: they may all be gone, or this one's zone is cut off. */
  isIsolated = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly membership: Membership,
    private readonly peers: ReadonlyMap<string, Peer>,
  ) {}

  /** A peer has no contact to the state service either, and none was heard to have any. */
  private get isStateOutage(): boolean {
    if (this.peers.size === 0) return true;
    return !this.lastPeerReport.contact && this.context.clock.now() - this.lastPeerReport.at < KNOWN_MS;
  }

  /**
   * Whether this controller may answer for its slice: its session surely lives, or the service is out for everybody,
   * so that nobody can have taken the slice. Cut off from the service and from all peers it can know neither: then
   * its workers have to go, before their leases run out, to a controller that can act for them.
   */
  get mayAnswerAgents(): boolean {
    return this.membership.hasValidLease || this.isStateOutage;
  }

  /**
   * Whether users and the load balancer should come here. While nobody reaches the state service final states can
   * still be told, and to be skipped for a time would only lengthen the outage for the users.
   */
  get isHealthy(): boolean {
    const { context } = this;
    if (!context.watcher.isReady || context.view.types === null) return false;
    return context.state.isReachable(3000) || this.isStateOutage;
  }

  async run(): Promise<never> {
    const { context } = this;
    for (;;) {
      await context.clock.sleep(ASK_MS);
      if (context.state.isReachable(1500)) {
        this.isIsolated = false;
        continue;
      }
      const answers = await Promise.all([...this.peers.values()].map((p) => p.contact(ANSWER_MS)));
      const contact = answers.includes(true);
      this.isIsolated = !contact && !answers.includes(false);
      if (!this.isIsolated) this.lastPeerReport = { contact, at: context.clock.now() };
    }
  }
}
