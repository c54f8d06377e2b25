// The attempt numbers that a leader gives out in its term. The numbers of a task must never repeat, must rise
// from term to term, and must stay below 2^64, as must terms: so a term has a range of numbers of its own.
import type { Attempt, Revision } from '../../types/index.ts';
import { toUint64, UINT64_MAX } from '../../types/uint64.ts';

/**
 * Numbers for each revision of the store. All versions number the attempts of a term from its revision times
 * this on, so ranges of different versions rise with their terms, whichever leads.
 */
const RANGE_PER_REVISION = 2n ** 24n;
/**
 * Terms from this one on reserve their ranges, in the upper half of the numbers: twice as large a revision has
 * no range below 2^64.
 */
const FIRST_RESERVING_TERM = 2n ** 39n;
/** Reserved ranges begin above those of all smaller terms. */
const FIRST_RESERVED = FIRST_RESERVING_TERM * RANGE_PER_REVISION;
const RESERVED_RANGE = 2n ** 31n;
/** Decimal digits that survive a conversion to a double and back. */
const EXACT_DIGITS = 15;

/** Numbers above `start` and below `end`. */
export interface AttemptRange {
  readonly start: bigint;
  readonly end: bigint;
}

/** The range that a term has without a reservation; null if it has none. */
function rangeOfTerm(term: Revision): AttemptRange | null {
  if (term >= FIRST_RESERVING_TERM) return null;
  const start = BigInt(term) * RANGE_PER_REVISION;
  return { start, end: start + RANGE_PER_REVISION };
}

/**
 * Distance between the numbers of a range. Above 2^53 only numbers of at most 15 significant digits are used:
 * workers may hold JSON's numbers as doubles, and must be able to repeat an attempt.
 */
function stepOf({ end }: AttemptRange): bigint {
  const largest = end - 1n;
  if (largest <= Number.MAX_SAFE_INTEGER) return 1n;
  return 10n ** BigInt(String(largest).length - EXACT_DIGITS);
}

/** A range with numbers left: `next` and every `step`-th number after it, below `end`. */
interface OpenRange {
  next: bigint;
  readonly step: bigint;
  readonly end: bigint;
}

/** The attempt numbers of one term, from the ranges that belong to it. */
export class AttemptNumbers {
  private readonly openRanges: OpenRange[] = [];
  private readonly reservedLength: bigint;
  /** The end of the last range; ranges to be reserved begin there or above. */
  private lastEnd: bigint;

  constructor(term: Revision) {
    const range = rangeOfTerm(term);
    this.reservedLength = range === null ? RESERVED_RANGE : RANGE_PER_REVISION;
    this.lastEnd = FIRST_RESERVED;
    if (range !== null) this.add(range);
  }

  /** How many numbers can be taken. */
  get remaining(): number {
    let count = 0n;
    for (const { next, step, end } of this.openRanges) count += (end - 1n - next) / step + 1n;
    return Number(count);
  }

  /**
   * The range to reserve next; numbers below `reservedEnd` belong to other ranges. Null if no numbers below
   * 2^64 are left. As each reservation changes the store, a range of `RANGE_PER_REVISION` ends below the
   * ranges of later terms.
   */
  nextRange(reservedEnd: bigint): AttemptRange | null {
    const start = reservedEnd > this.lastEnd ? reservedEnd : this.lastEnd;
    const end = start + this.reservedLength;
    return end - 1n > UINT64_MAX ? null : { start, end };
  }

  /** Adds a range that no other term uses, above the ranges added before. */
  add(range: AttemptRange): void {
    const step = stepOf(range);
    const next = (range.start / step + 1n) * step;
    this.openRanges.push({ next, step, end: range.end });
    this.lastEnd = range.end;
  }

  /** A new number, larger than all before. At least one must remain. */
  take(): Attempt {
    const range = this.openRanges[0]!;
    const attempt = toUint64(range.next) as Attempt;
    range.next += range.step;
    if (range.next >= range.end) this.openRanges.shift();
    return attempt;
  }
}
