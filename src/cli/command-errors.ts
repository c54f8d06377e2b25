// What becomes of the errors of a command.
import { InvalidSettingsError } from '../protocol/settings.ts';
import { printError } from './output.ts';

/** Prints an error in one line; the process is to exit with 1. */
export function fail(error: unknown): void {
  printError(error);
  process.exitCode = 1;
}

type Action<A extends unknown[]> = (...args: A) => void | Promise<void>;

/** An action whose `InvalidSettingsError` ends in one line; any other error is thrown. */
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

/** An action whose errors all end in one line. */
export function reportingErrors<A extends unknown[]>(action: Action<A>): (...args: A) => Promise<void> {
  return async (...args) => {
    try {
      await action(...args);
    } catch (error) {
      fail(error);
    }
  };
}
