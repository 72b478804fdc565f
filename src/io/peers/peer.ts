/** The interface through which a controller calls another one. */

/** Another controller. Calls to it only save time: correctness depends on none of its answers. */
export interface Peer {
  /** Forwards the cancellation of a job; resolves to the peer's outcome, or to null if no answer came in time. */
  forwardCancellation(job: string, timeoutMs: number): Promise<string | null>;
  /** Asks whether the peer has contact with the state service; resolves to null if no answer came in time. */
  hasStateContact(timeoutMs: number): Promise<boolean | null>;
  /** Sends a plugin's request; resolves to the answer, or to null if none came in time or the peer has none. */
  ask(topic: string, payload: Uint8Array, timeoutMs: number): Promise<Uint8Array | null>;
}
