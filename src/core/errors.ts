/** Base class of the errors that this program throws, and errors that are used throughout. */

/** Base class of errors with a stable code, by which callers and logs tell them apart, and an optional cause. */
export abstract class CodedError extends Error {
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** A violated assumption of the program, such as a task index beyond the window of its job. It indicates a defect. */
export class InvariantError extends CodedError {
  readonly code = 'invariant_violated';
}

/**
 * Data or an operation is unavailable now, for example because the state service is unreachable; a retry may succeed.
 */
export class UnavailableError extends CodedError {
  readonly code = 'unavailable';
}
