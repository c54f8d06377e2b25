// Fields of type uint64 in messages between controllers. The protobuf codec has numbers, which are exact up
// to 2^53, and `Long` objects of two 32-bit words.
import Long from 'long';
import { toUint64, type Uint64 } from '../types/uint64.ts';

const WORD = 2 ** 32;
/** High words below this belong to integers that a number holds exactly. */
const EXACT_HIGH_WORDS = 2 ** 21;

/** A decoded field; 0 if it is missing. */
export function decodeUint64(value: number | Long | null | undefined): Uint64 {
  if (value === null || value === undefined) return 0;
  if (typeof value === 'number') return value;
  const high = value.high >>> 0;
  const low = value.low >>> 0;
  return high < EXACT_HIGH_WORDS ? high * WORD + low : toUint64(BigInt(high) * BigInt(WORD) + BigInt(low));
}

/** The value of a field to be encoded. */
export const encodeUint64 = (value: Uint64): number | Long =>
  typeof value === 'number' ? value : Long.fromBigInt(value, true);
