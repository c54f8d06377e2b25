// Weighted max-min fair shares of several resources, computed by progressive filling: the allocation of every
// party grows at the rate of its weight until the party's whole demand is allocated, or a resource that it
// needs is exhausted. Growth is measured in dominant shares ("Dominant Resource Fairness", Ghodsi et al.).

/** One number for each resource, always in the same order; see `Resources`. */
export type Amounts = readonly number[];

/** The demand of one of the parties (teams or classes) among which resources are divided. */
export interface ShareDemand {
  /** The resources that the party uses plus those that it requests. */
  demand: Amounts;
  /** The resources that the party gets before the rest is divided; counts only up to the demand. */
  guaranteed: Amounts;
  /** Relative rate at which the party's allocation grows. */
  weight: number;
}

const EPSILON = 1e-9;

/**
 * The largest fraction that the amount takes of the capacity of any resource; 1 if it needs a resource of
 * which there is no capacity.
 */
export function dominantShare(amount: Amounts, capacity: Amounts): number {
  let largest = 0;
  for (let resource = 0; resource < capacity.length; resource++)
    if (amount[resource]! > 0)
      largest = Math.max(largest, capacity[resource]! > 0 ? amount[resource]! / capacity[resource]! : 1);
  return largest;
}

/**
 * For each party, the fraction of its demand that is allocated to it, from 0 to 1. Cost: n log n in the
 * number of parties.
 */
export function maxMinShares(parties: readonly ShareDemand[], capacity: Amounts): number[] {
  return new ProgressiveFilling(parties, capacity).run();
}

/** One division of resources among parties, which are identified by their index. */
class ProgressiveFilling {
  /** Capacity of each resource that is not allocated yet. */
  private readonly unallocated: number[];
  /** Fraction of each party's demand that is guaranteed. */
  private readonly guaranteed: number[];
  /** Fraction of each party's demand that is allocated. */
  private readonly allocated: number[];
  /** Each party's demand beyond its guarantee. */
  private readonly excessDemand: number[][];
  /** Dominant share of each party's demand beyond its guarantee. */
  private readonly excessShare: number[];
  /** Parties with demand beyond their guarantee, ordered by the level at which all of it is allocated. */
  private readonly order: number[];
  /** Parties whose allocation still grows. */
  private readonly growing = new Set<number>();
  /** Amount of each resource that the growing parties together take while the level rises by one. */
  private readonly rate: number[];
  /** Filling level: the dominant share that a party of weight 1 has been allocated beyond its guarantee. */
  private level = 0;

  constructor(
    private readonly parties: readonly ShareDemand[],
    capacity: Amounts,
  ) {
    this.unallocated = [...capacity];
    this.guaranteed = parties.map(guaranteedFraction);
    allocateGuarantees(this.guaranteed, parties, this.unallocated);
    this.allocated = [...this.guaranteed];
    this.excessDemand = parties.map((party, index) =>
      party.demand.map((amount) => amount * (1 - this.guaranteed[index]!)),
    );
    this.excessShare = this.excessDemand.map((amounts) => dominantShare(amounts, capacity));
    this.order = [...parties.keys()].filter((party) => this.excessShare[party]! > EPSILON);
    this.order.sort((a, b) => this.fullLevel(a) - this.fullLevel(b));
    this.rate = capacity.map(() => 0);
  }

  /** Returns the fraction of its demand that is allocated to each party. */
  run(): number[] {
    for (const party of this.order) {
      this.growing.add(party);
      this.changeRate(party, 1);
    }
    let next = 0;
    while (this.growing.size > 0) {
      while (next < this.order.length && !this.growing.has(this.order[next]!)) next++;
      this.fillUntilNextStop(this.order[next]!);
    }
    return this.allocated;
  }

  /** Raises the level until the party's whole demand is allocated, or a resource is exhausted before that. */
  private fillUntilNextStop(party: number): void {
    let stopLevel = this.fullLevel(party);
    let exhaustedResource: number | null = null;
    for (let resource = 0; resource < this.unallocated.length; resource++) {
      if (this.rate[resource]! <= EPSILON) continue;
      const exhaustionLevel = this.level + Math.max(0, this.unallocated[resource]!) / this.rate[resource]!;
      if (exhaustionLevel < stopLevel) {
        stopLevel = exhaustionLevel;
        exhaustedResource = resource;
      }
    }
    this.raiseLevel(Math.max(this.level, stopLevel));
    if (exhaustedResource === null) return this.stop(party, this.excessShare[party]!);
    for (const growing of [...this.growing])
      if (this.excessDemand[growing]![exhaustedResource]! > EPSILON)
        this.stop(growing, this.level * this.parties[growing]!.weight);
  }

  /** The level at which the party's whole demand is allocated. */
  private fullLevel(party: number): number {
    return this.excessShare[party]! / this.parties[party]!.weight;
  }

  /** Adds the party's growth to the rate (1) or removes it (-1). */
  private changeRate(party: number, sign: 1 | -1): void {
    const { weight } = this.parties[party]!;
    for (let resource = 0; resource < this.rate.length; resource++) {
      const taken = (this.excessDemand[party]![resource]! / this.excessShare[party]!) * weight;
      this.rate[resource] = this.rate[resource]! + sign * taken;
    }
  }

  private raiseLevel(to: number): void {
    for (let resource = 0; resource < this.unallocated.length; resource++)
      this.unallocated[resource] =
        this.unallocated[resource]! - Math.max(0, this.rate[resource]!) * (to - this.level);
    this.level = to;
  }

  /** Ends the growth of the party's allocation at this dominant share beyond its guarantee. */
  private stop(party: number, share: number): void {
    const fraction = Math.min(1, share / this.excessShare[party]!);
    this.allocated[party] = this.allocated[party]! + (1 - this.guaranteed[party]!) * fraction;
    this.growing.delete(party);
    this.changeRate(party, -1);
  }
}

/**
 * The fraction of its demand that a party is guaranteed. It is the same for all resources, because tasks need
 * them in a fixed proportion.
 */
function guaranteedFraction(party: ShareDemand): number {
  let fraction = Number.POSITIVE_INFINITY;
  for (let resource = 0; resource < party.demand.length; resource++)
    if (party.demand[resource]! > EPSILON)
      fraction = Math.min(fraction, party.guaranteed[resource]! / party.demand[resource]!);
  return Number.isFinite(fraction) ? Math.min(1, Math.max(0, fraction)) : 0;
}

/**
 * Subtracts the guarantees from the unallocated capacity. If the capacity is below the sum of the guarantees,
 * all of them are reduced by the same factor.
 */
function allocateGuarantees(
  guaranteed: number[],
  parties: readonly ShareDemand[],
  unallocated: number[],
): void {
  const sums = unallocated.map((_, resource) =>
    parties.reduce((sum, party, index) => sum + party.demand[resource]! * guaranteed[index]!, 0),
  );
  let scale = 1;
  for (let resource = 0; resource < unallocated.length; resource++)
    if (sums[resource]! > EPSILON)
      scale = Math.min(scale, Math.max(0, unallocated[resource]!) / sums[resource]!);
  for (let index = 0; index < guaranteed.length; index++) guaranteed[index] = guaranteed[index]! * scale;
  for (let resource = 0; resource < unallocated.length; resource++)
    unallocated[resource] = unallocated[resource]! - sums[resource]! * scale;
}
