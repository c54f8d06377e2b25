// The common base class of the errors that this program throws.

/** Options of an error, besides its text. */
export interface SwiftfordErrorOptions {
  /** The error that caused this one. */
  cause?: unknown;
}

/**
 * An error whose text says what went wrong, where, and what to do about it. The text is meant for people;
 * `code` is meant for programs and is stable across versions.
 */
export abstract class SwiftfordError extends Error {
  /** The kind of error, such as `INVALID_SETTINGS`. */
  abstract readonly code: string;

  constructor(message: string, options: SwiftfordErrorOptions = {}) {
    super(message, options);
    this.name = new.target.name;
  }
}
