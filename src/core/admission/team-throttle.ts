// Which teams are sent back first when more is submitted than can be written: those that submit more than an
// even share of the recent submissions. Counts decay by half every few seconds and are kept for configured
// teams only, so that no flood of names displaces another team.
import { addMs, elapsedMs, type Instant, LONG_AGO, type TeamName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

/** Half-life of the counts. */
const HALF_LIFE_MS = 5000;
const SUM_INTERVAL_MS = 1000;
/** A team that submits this many times its even share is throttled. */
const MAX_OVERUSE_FACTOR = 1.5;
/** No team with fewer recent submissions is throttled, whatever the others submit. */
const MIN_THROTTLED_COUNT = 4;
/** With a lower count a team has not submitted recently. */
const MIN_RECENT_COUNT = 0.3;
const MAX_RETRY_AFTER_S = 20;

interface DecayingCount {
  /** As of `at`. */
  count: number;
  at: Instant;
}

/** Recent submissions by team. */
export class TeamThrottle {
  private readonly counts = new Map<TeamName, DecayingCount>();
  private activeTeams = 0;
  private totalCount = 0;
  private nextSumAt: Instant = LONG_AGO;

  constructor(private readonly io: ControllerIo) {}

  /** A new job of the team has been submitted, accepted or not. */
  recordSubmission(team: TeamName): void {
    const count = this.recentCount(team) + 1;
    this.counts.set(team, { count, at: this.io.now });
    this.totalCount++;
    this.updateSums();
  }

  private recentCount(team: TeamName): number {
    const last = this.counts.get(team);
    return last === undefined ? 0 : last.count * 0.5 ** (elapsedMs(this.io.now, last.at) / HALF_LIFE_MS);
  }

  /** Sums are computed anew once a second; in between they only lag. */
  private updateSums(): void {
    if (this.io.now < this.nextSumAt) return;
    this.nextSumAt = addMs(this.io.now, SUM_INTERVAL_MS);
    this.totalCount = 0;
    this.activeTeams = 0;
    for (const team of this.counts.keys()) {
      const count = this.recentCount(team);
      if (count < MIN_RECENT_COUNT) this.counts.delete(team);
      else {
        this.totalCount += count;
        this.activeTeams++;
      }
    }
  }

  /**
   * How many times its even share of the recent submissions the team submits; 1 for the only one that does.
   */
  private overuseFactor(team: TeamName): number {
    if (this.totalCount <= 0) return 1;
    return (this.recentCount(team) * Math.max(1, this.activeTeams)) / this.totalCount;
  }

  /**
   * Whether to send the team back while there is too much to write: a team alone, or one beyond its even
   * share.
   */
  isThrottled(team: TeamName): boolean {
    if (this.activeTeams <= 1) return true;
    return this.recentCount(team) > MIN_THROTTLED_COUNT && this.overuseFactor(team) > MAX_OVERUSE_FACTOR;
  }

  /**
   * Seconds after which a team that is sent back should retry: longer, the more it submits beyond its even
   * share.
   */
  retryAfterS(team: TeamName, waitS: number): number {
    return Math.min(MAX_RETRY_AFTER_S, waitS * Math.max(1, this.overuseFactor(team)));
  }
}
