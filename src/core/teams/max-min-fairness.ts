// Weighted max-min fair shares of several resources at once, by progressive filling: the allocation of every
// party grows at the rate of its weight until it has all its demand, or a resource that it needs is used up.
// Growth is measured in dominant shares ("Dominant Resource Fairness", Ghodsi et al.).

/** One number for each resource, in the same order everywhere; see `Resources`. */
export type Amounts = readonly number[];

/** A party among which resources are divided. */
export interface ShareDemand {
  /** All that it uses and asks for. */
  demand: Amounts;
  /** What it has before the rest is divided; no more of this than its demand counts. */
  guaranteed: Amounts;
  /** Relative rate at which its allocation grows. */
  weight: number;
}

const EPSILON = 1e-9;

/**
 * The greatest fraction that an amount takes of any resource's capacity; 1 for a resource of which there is
 * none.
 */
export function dominantShare(amount: Amounts, capacity: Amounts): number {
  let most = 0;
  for (let r = 0; r < capacity.length; r++)
    if (amount[r]! > 0) most = Math.max(most, capacity[r]! > 0 ? amount[r]! / capacity[r]! : 1);
  return most;
}

/** For each party the fraction of its demand that it gets, from 0 to 1. Work: n log n in the parties. */
export function maxMinShares(parties: readonly ShareDemand[], capacity: Amounts): number[] {
  return new ProgressiveFilling(parties, capacity).run();
}

/** One division of resources among parties, which are known by their index. */
class ProgressiveFilling {
  /** Capacity of each resource that is not allocated yet. */
  private readonly left: number[];
  /** Fraction of its demand that each party is guaranteed. */
  private readonly guaranteed: number[];
  /** Fraction of its demand that each party gets. */
  private readonly granted: number[];
  /** What each party demands beyond its guarantee, and the dominant share of that. */
  private readonly rest: number[][];
  private readonly restShare: number[];
  /** Parties with demand beyond their guarantee, those that have all of it first. */
  private readonly order: number[];
  /** Parties whose allocation still grows. */
  private readonly growing = new Set<number>();
  /** What the growing parties together take of each resource while the level rises by one. */
  private readonly rate: number[];
  /** The dominant share that a party of weight 1 has reached beyond its guarantee. */
  private level = 0;

  constructor(
    private readonly parties: readonly ShareDemand[],
    capacity: Amounts,
  ) {
    this.left = [...capacity];
    this.guaranteed = parties.map(guaranteedFraction);
    allocateGuarantees(this.guaranteed, parties, this.left);
    this.granted = [...this.guaranteed];
    this.rest = parties.map((party, i) => party.demand.map((amount) => amount * (1 - this.guaranteed[i]!)));
    this.restShare = this.rest.map((amounts) => dominantShare(amounts, capacity));
    this.order = [...parties.keys()].filter((i) => this.restShare[i]! > EPSILON);
    this.order.sort((a, b) => this.fullLevel(a) - this.fullLevel(b));
    this.rate = capacity.map(() => 0);
  }

  /** The fraction of its demand that each party gets. */
  run(): number[] {
    for (const i of this.order) {
      this.growing.add(i);
      this.changeRate(i, 1);
    }
    let next = 0;
    while (this.growing.size > 0) {
      while (next < this.order.length && !this.growing.has(this.order[next]!)) next++;
      this.fillUntilNextStop(this.order[next]!);
    }
    return this.granted;
  }

  /** Raises the level until the party has all its demand, or before that a resource is used up. */
  private fillUntilNextStop(party: number): void {
    let stopLevel = this.fullLevel(party);
    let usedUp: number | null = null;
    for (let r = 0; r < this.left.length; r++) {
      if (this.rate[r]! <= EPSILON) continue;
      const usedUpLevel = this.level + Math.max(0, this.left[r]!) / this.rate[r]!;
      if (usedUpLevel < stopLevel) {
        stopLevel = usedUpLevel;
        usedUp = r;
      }
    }
    this.raiseLevel(Math.max(this.level, stopLevel));
    if (usedUp === null) return this.stop(party, this.restShare[party]!);
    for (const i of [...this.growing])
      if (this.rest[i]![usedUp]! > EPSILON) this.stop(i, this.level * this.parties[i]!.weight);
  }

  /** The level at which the party has all its demand. */
  private fullLevel(party: number): number {
    return this.restShare[party]! / this.parties[party]!.weight;
  }

  private changeRate(party: number, sign: 1 | -1): void {
    const { weight } = this.parties[party]!;
    for (let r = 0; r < this.rate.length; r++) {
      const taken = (this.rest[party]![r]! / this.restShare[party]!) * weight;
      this.rate[r] = this.rate[r]! + sign * taken;
    }
  }

  private raiseLevel(to: number): void {
    for (let r = 0; r < this.left.length; r++)
      this.left[r] = this.left[r]! - Math.max(0, this.rate[r]!) * (to - this.level);
    this.level = to;
  }

  /** The party's allocation stops growing at this dominant share. */
  private stop(party: number, share: number): void {
    const fraction = Math.min(1, share / this.restShare[party]!);
    this.granted[party] = this.granted[party]! + (1 - this.guaranteed[party]!) * fraction;
    this.growing.delete(party);
    this.changeRate(party, -1);
  }
}

/**
 * The fraction of its demand that a party is guaranteed: of all resources alike, as its tasks need them
 * together.
 */
function guaranteedFraction(party: ShareDemand): number {
  let fraction = Number.POSITIVE_INFINITY;
  for (let r = 0; r < party.demand.length; r++)
    if (party.demand[r]! > EPSILON) fraction = Math.min(fraction, party.guaranteed[r]! / party.demand[r]!);
  return Number.isFinite(fraction) ? Math.min(1, Math.max(0, fraction)) : 0;
}

/**
 * Takes the guarantees from the capacity that is left; with less capacity than that, all guarantees shrink
 * alike.
 */
function allocateGuarantees(guaranteed: number[], parties: readonly ShareDemand[], left: number[]): void {
  const sums = left.map((_, r) =>
    parties.reduce((sum, party, i) => sum + party.demand[r]! * guaranteed[i]!, 0),
  );
  let scale = 1;
  for (let r = 0; r < left.length; r++)
    if (sums[r]! > EPSILON) scale = Math.min(scale, Math.max(0, left[r]!) / sums[r]!);
  for (let i = 0; i < guaranteed.length; i++) guaranteed[i] = guaranteed[i]! * scale;
  for (let r = 0; r < left.length; r++) left[r] = left[r]! - sums[r]! * scale;
}
