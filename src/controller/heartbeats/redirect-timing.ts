/** Time after which an agent comes back from a redirect to a controller that it does not reach. */

/** Shortest time to come back: an agent pauses for about a second before it tries the next controller. */
export const MIN_RETURN_MS = 900;
/** Longest time to come back: a later heartbeat says nothing about the redirect. */
export const MAX_RETURN_MS = 25_000;
