// JSON in which integers of up to 64 bits keep their exact value; numbers alone would round them above 2^53.
import { parse, stringify } from 'lossless-json';

/**
 * Matches text with a value in an object or list that is an integer of 16 digits from 9 * 10^15 on, or of
 * more: a number may not hold it. May match the content of a string too.
 */
const LARGE_INTEGER = /[:[,\s](?:9\d{15}|\d{17})/;
const INTEGER = /^-?\d+$/;
/** Longer integers are out of range in any case, and are read as numbers. */
const MAX_INTEGER_LENGTH = '18446744073709551615'.length;

function parseNumber(text: string): number | bigint {
  const value = Number(text);
  const isExact = Number.isSafeInteger(value) || !INTEGER.test(text) || text.length > MAX_INTEGER_LENGTH;
  return isExact ? value : BigInt(text);
}

/**
 * Parses JSON like `JSON.parse`, except that integers which a number does not hold exactly become bigints.
 * Throws an error if the text is not JSON.
 */
export function parseJson(text: string): unknown {
  if (!LARGE_INTEGER.test(text)) return JSON.parse(text);
  // As with `JSON.parse`, the last value of a repeated key counts.
  return parse(text, null, { parseNumber, onDuplicateKey: ({ newValue }) => newValue });
}

/** Encodes a value like `JSON.stringify`, except that bigints are encoded as integers. */
export function stringifyJson(value: unknown): string {
  try {
    return JSON.stringify(value);
  } catch (error) {
    // `JSON.stringify` is several times as fast, but refuses bigints, which are rare.
    if (!(error instanceof TypeError)) throw error;
    return stringify(value) as string;
  }
}
