/** Questions and answers between packages, over connections of their own to the other controllers. */
import type { NodeName } from '../core/model/ids.js';
import type { Peer } from '../io/peers/peer.js';
import type { PeerChannel, TopicHandler } from './api.js';

/** Topics by name, and the links to ask on. */
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
    const contact = await this.links.get(node)?.contact(timeoutMs);
    return contact != null;
  }

  /** See `PeerChannel`; a later handler replaces the one before. */
  serve(topic: string, handler: TopicHandler): void {
    this.handlers.set(topic, handler);
  }

  /** Answers another controller. */
  async answer(topic: string, payload: Uint8Array, from: string): Promise<Uint8Array | null> {
    return (await this.handlers.get(topic)?.(payload, from)) ?? null;
  }
}
