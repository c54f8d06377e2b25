// Prints the errors of commands and sets the exit code.
import { InvalidSettingsError } from '../protocol/settings.ts';
import { printError } from './output.ts';

/** Prints an error in one line and sets the exit code to 1. */
export function fail(error: unknown): void {
  printError(error);
  process.exitCode = 1;
}

type Action<A extends unknown[]> = (...args: A) => void | Promise<void>;

/** Wraps an action: an `InvalidSettingsError` is printed in one line, any other error is rethrown. */
export function reportingInvalidSettings<A extends unknown[]>(
  action: Action<A>,
): (...args: A) => Promise<void> {
  return async (...args) => {
    try {
      await action(...args);
    } catch (error) {
      if (!(error instanceof InvalidSettingsError)) throw error;
      fail(error);
    }
  };
}

/** Wraps an action: any error is printed in one line. */
export function reportingErrors<A extends unknown[]>(action: Action<A>): (...args: A) => Promise<void> {
  return async (...args) => {
    try {
      await action(...args);
    } catch (error) {
      fail(error);
    }
  };
}
