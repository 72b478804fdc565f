/** Requests and replies between plugins, over separate connections to the other controllers. */
import type { NodeName } from '../core/model/ids.js';
import type { Peer } from '../io/peers/peer.js';
import type { PeerChannel, TopicHandler } from './api.js';

/** Sends requests over a link for each peer, and routes incoming requests to the handler of their topic. */
export class TopicChannel implements PeerChannel {
  private readonly handlers = new Map<string, TopicHandler>();

  constructor(private readonly links: ReadonlyMap<string, Peer>) {}

  /** See `PeerChannel`. */
  async ask(
    node: NodeName,
    topic: string,
    payload: Uint8Array,
    timeoutMs: number,
  ): Promise<Uint8Array | null> {
    return (await this.links.get(node)?.ask(topic, payload, timeoutMs)) ?? null;
  }

  /** See `PeerChannel`. */
  async isAnswering(node: NodeName, timeoutMs: number): Promise<boolean> {
    const contact = await this.links.get(node)?.hasStateContact(timeoutMs);
    return contact != null;
  }

  /** See `PeerChannel`. A second handler for a topic replaces the first. */
  serve(topic: string, handler: TopicHandler): void {
    this.handlers.set(topic, handler);
  }

  /** Returns the reply to another controller's request; null if no handler is registered or it does not reply. */
  async answer(topic: string, payload: Uint8Array, from: string): Promise<Uint8Array | null> {
    return (await this.handlers.get(topic)?.(payload, from)) ?? null;
  }
}
