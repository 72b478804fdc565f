/** The base of all errors that this program throws itself. */

/** An error with a stable code, which callers and logs can tell apart, and the error that caused it, where there is one. */
export abstract class CodedError extends Error {
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** A violated assumption of the program itself, such as a task index beyond the window of its job: a defect. */
export class InvariantError extends CodedError {
  readonly code = 'invariant_violated';
}

/** Something cannot be known or done now, such as while the state service is out of reach; a later attempt may succeed. */
export class UnavailableError extends CodedError {
  readonly code = 'unavailable';
}
