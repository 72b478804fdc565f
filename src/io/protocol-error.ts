/** Answers of other services that do not follow their protocol. */
import { CodedError } from '../core/errors.js';

/** An answer that its protocol does not allow: a malformed body or an unexpected status. */
export class ProtocolError extends CodedError {
  readonly code = 'protocol_violated';
}
