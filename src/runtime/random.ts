// Random number generator of the core, and the seed of a process.
import { randomBytes } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from '../core/base/io.ts';

/** A generator whose sequence is determined by the seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { below: (bound) => (bound <= 1 ? 0 : uniformInt(generator, 0, bound - 1)) };
}

/**
 * A 32-bit seed that differs at each start of a node, even with the same settings and the same time of day. A
 * process may restart within a fraction of a second; it must not repeat the random choices and the request
 * numbers of the previous process.
 */
export const randomSeed = (): number => (randomBytes(4).readInt32LE() ^ Date.now()) | 0;
