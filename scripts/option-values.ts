// Parsers of the values of command-line options.
import { InvalidArgumentError } from 'commander';

/** Parses a whole number from `min` to `max`; without `max` there is no upper bound. */
export const wholeNumber =
  (min: number, max = Number.POSITIVE_INFINITY) =>
  (text: string): number => {
    const value = Number(text);
    const end = max === Number.POSITIVE_INFINITY ? 'on' : `to ${max}`;
    if (!Number.isInteger(value) || value < min || value > max)
      throw new InvalidArgumentError(`a whole number from ${min} ${end} is expected`);
    return value;
  };
