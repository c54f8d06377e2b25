// Errors that scripts and experiments throw on purpose.
import { SwiftfordError } from '../src/types/errors.ts';

/** An option, a file or a revision given to a script does not have what the script needs. */
export class InvalidInputError extends SwiftfordError {
  readonly code = 'invalid-input';
}

/** A run left out what its script must have: a report, a leader, or the state that was expected of it. */
export class FailedRunError extends SwiftfordError {
  readonly code = 'failed-run';
}
