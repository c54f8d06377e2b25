// Error types thrown by scripts and experiments.
import { SwiftfordError } from '../src/types/errors.ts';

/** An option, a file or a revision given to a script is invalid or incomplete. */
export class InvalidInputError extends SwiftfordError {
  readonly code = 'invalid-input';
}

/** A run did not produce what its script requires, such as a report, a leader or an expected state. */
export class FailedRunError extends SwiftfordError {
  readonly code = 'failed-run';
}
