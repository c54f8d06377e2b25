// Weighted max-min shares of several resources at once: every part grows at the rate of its weight until it has all that
// it asks for, or one of the resources that it needs is used up. Growth is counted in dominant shares: the part of the
// resource of which it takes the greatest part ("Dominant Resource Fairness", Ghodsi and others).

/** One number for each resource, in the same order everywhere. */
export type Amounts = readonly number[];

export interface ShareDemand {
  /** All that it uses and asks for. */
  demand: Amounts;
  /** What it has before anything is shared out; no more of this than it asks for is counted. */
  guaranteed: Amounts;
  weight: number;
}

const EPS = 1e-9;

/** The greatest part that an amount takes of any resource. */
export function dominantShare(amount: Amounts, capacity: Amounts): number {
  let most = 0;
  for (let r = 0; r < capacity.length; r++)
    if (amount[r]! > 0) most = Math.max(most, capacity[r]! > 0 ? amount[r]! / capacity[r]! : 1);
  return most;
}

/** For each part the fraction of its demand that it gets, from 0 to 1. Work: n log n in the parts. */
export function maxMinShares(parts: readonly ShareDemand[], capacity: Amounts): number[] {
  const left = [...capacity];
  const base = parts.map((p) => baseOf(p));
  shrink(base, parts, left);
  const got = base.map((f) => f);
  // What is left of each part's demand grows at the weight's rate, measured in dominant shares of the whole.
  const rest = parts.map((p, i) => p.demand.map((d) => d * (1 - base[i]!)));
  const size = rest.map((r) => dominantShare(r, capacity));
  const order = [...parts.keys()].filter((i) => size[i]! > EPS);
  order.sort((a, b) => size[a]! / parts[a]!.weight - size[b]! / parts[b]!.weight);
  const rate = capacity.map(() => 0);
  const grows = new Set<number>();
  /** What a part takes of each resource while the level rises by one. */
  const pull = (i: number, r: number): number => (rest[i]![r]! / size[i]!) * parts[i]!.weight;
  const join = (i: number, sign: 1 | -1): void => {
    for (let r = 0; r < rate.length; r++) rate[r] = rate[r]! + sign * pull(i, r);
  };
  for (const i of order) {
    grows.add(i);
    join(i, 1);
  }
  let level = 0;
  let next = 0;
  const rise = (to: number): void => {
    for (let r = 0; r < left.length; r++) left[r] = left[r]! - Math.max(0, rate[r]!) * (to - level);
    level = to;
  };
  const stop = (i: number, share: number): void => {
    got[i] = got[i]! + (1 - base[i]!) * Math.min(1, share / size[i]!);
    grows.delete(i);
    join(i, -1);
  };
  while (grows.size > 0) {
    while (next < order.length && !grows.has(order[next]!)) next++;
    const first = order[next]!;
    const full = size[first]! / parts[first]!.weight;
    let scarce = -1;
    let at = full;
    for (let r = 0; r < left.length; r++) {
      if (rate[r]! <= EPS) continue;
      const empty = level + Math.max(0, left[r]!) / rate[r]!;
      if (empty < at) {
        at = empty;
        scarce = r;
      }
    }
    rise(Math.max(level, at));
    if (scarce < 0) stop(first, size[first]!);
    else for (const i of [...grows]) if (rest[i]![scarce]! > EPS) stop(i, level * parts[i]!.weight);
  }
  return got;
}

/** The fraction of its demand that a part is guaranteed: all resources together, as its tasks need them together. */
function baseOf(p: ShareDemand): number {
  let f = Number.POSITIVE_INFINITY;
  for (let r = 0; r < p.demand.length; r++)
    if (p.demand[r]! > EPS) f = Math.min(f, p.guaranteed[r]! / p.demand[r]!);
  return Number.isFinite(f) ? Math.min(1, Math.max(0, f)) : 0;
}

/** With less capacity than is guaranteed in all, all guarantees shrink alike. */
function shrink(base: number[], parts: readonly ShareDemand[], left: number[]): void {
  let by = 1;
  const sums = left.map((_, r) => parts.reduce((s, p, i) => s + p.demand[r]! * base[i]!, 0));
  for (let r = 0; r < left.length; r++)
    if (sums[r]! > EPS) by = Math.min(by, Math.max(0, left[r]!) / sums[r]!);
  for (let i = 0; i < base.length; i++) base[i] = base[i]! * by;
  for (let r = 0; r < left.length; r++) left[r] = left[r]! - sums[r]! * by;
}
