import { randomBytes } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from '../core/base/io.ts';

/** A seeded source for the core's random choices. */
export function seededRandom(seed: number): Random {
  const g = xoroshiro128plus(seed);
  return { below: (n) => (n <= 1 ? 0 : uniformInt(g, 0, n - 1)) };
}

/**
 * A seed that differs from one start of a node to the next, though its settings and the time of day may be the same: a
 * process may be back within a fraction of a second, and must not choose and number things as its former self did.
 */
export const randomSeed = (): number => (randomBytes(4).readInt32LE() ^ Date.now()) | 0;
