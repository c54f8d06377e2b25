// Integers below 2^64, the range of the protocol's counts, versions, tokens and attempts.

/**
 * An integer from 0 to 2^64 - 1: a number if a number holds it exactly, otherwise a bigint. As each value has
 * only one form, `===` and keys of maps compare values; `<` and `>` compare numbers with bigints exactly.
 */
export type Uint64 = number | bigint;

/** The largest value. */
export const UINT64_MAX: bigint = 2n ** 64n - 1n;

/** The integer in its one form. */
export const toUint64 = (value: bigint): Uint64 => (value <= Number.MAX_SAFE_INTEGER ? Number(value) : value);

/** Whether the value is an integer below 2^64 in its one form. */
export function isUint64(value: unknown): value is Uint64 {
  if (typeof value === 'number') return Number.isSafeInteger(value) && value >= 0;
  return typeof value === 'bigint' && value > Number.MAX_SAFE_INTEGER && value <= UINT64_MAX;
}

/** The integer with these decimal digits; null if the text is not of 1 to 20 digits. */
export const parseDecimal = (text: string): bigint | null => (/^\d{1,20}$/.test(text) ? BigInt(text) : null);

/** The next larger integer. */
export const successor = (value: Uint64): Uint64 => toUint64(BigInt(value) + 1n);

/** The larger of two values. */
export const largerOf = <T extends Uint64>(first: T, second: T): T => (first >= second ? first : second);
