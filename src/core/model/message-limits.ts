/** Limits of the protocol on the size of messages. */

/** Maximum size in bytes of the body of a request, whoever sends it. */
export const MAX_BODY_BYTES = 64 * 1024;
