/** Another controller, as the rest of the program calls it. */

/** Another controller; the link to it only makes things faster, and nothing depends on it. */
export interface Peer {
  /** Forwards a cancellation; the peer's answer, or null where none came in time. */
  cancel(job: string, timeoutMs: number): Promise<string | null>;
  /** Whether the peer has contact to the state service; null where it does not answer. */
  contact(timeoutMs: number): Promise<boolean | null>;
  /** The answer to a package's request, or null where none came in time or the peer does not know the topic. */
  ask(topic: string, payload: Uint8Array, timeoutMs: number): Promise<Uint8Array | null>;
}
