/** The error for messages of other programs that violate their protocol. */
import { CodedError } from '../core/errors.js';

/** A received message violates its protocol, by a malformed body, an unexpected status or a frame that is too long. */
export class ProtocolError extends CodedError {
  readonly code = 'protocol_violated';
}
