/** How soon an agent that does not reach the controller it was redirected to is back. */

/** At the earliest: an agent pauses before it turns to the next controller. */
export const MIN_RETURN_MS = 900;
/** At the latest: a later heartbeat says nothing about the redirect. */
export const MAX_RETURN_MS = 25_000;
