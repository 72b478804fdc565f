/** The error for messages of other programs that violate their protocol. */
import { CodedError } from '../core/errors.js';

/** Thrown for a received message with a malformed body, an unexpected status or a frame that is too long. */
export class ProtocolError extends CodedError {
  readonly code = 'protocol_violated';
}
