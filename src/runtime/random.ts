// The source of the core's random choices.
import { randomBytes } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from '../core/base/io.ts';

/** A generator that draws the same numbers for the same seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { below: (bound) => (bound <= 1 ? 0 : uniformInt(generator, 0, bound - 1)) };
}

/**
 * A seed of 32 bits that differs from one start of a node to the next, though its settings and the time of day may be
 * the same: a process may be back within a fraction of a second, and must not make the choices and number the requests
 * that its predecessor did.
 */
export const randomSeed = (): number => (randomBytes(4).readInt32LE() ^ Date.now()) | 0;
