// The common base class of the errors that this program throws.

/** What an error is created with beside its text. */
export interface SwiftfordErrorOptions {
  /** The error that led to this one. */
  cause?: unknown;
}

/**
 * An error whose text says what went wrong, where, and what to do about it. `code` is stable across versions and meant
 * for programs, the text for people.
 */
export abstract class SwiftfordError extends Error {
  /** Names the kind of error, such as `INVALID_SETTINGS`. */
  abstract readonly code: string;

  constructor(message: string, options: SwiftfordErrorOptions = {}) {
    super(message, options);
    this.name = new.target.name;
  }
}
