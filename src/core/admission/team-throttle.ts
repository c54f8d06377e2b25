// Decides which teams' submissions are rejected first when more jobs are submitted than can be written: those
// of teams with more than an even share of the recent submissions. Counts decay by half every few seconds and
// are kept for configured teams only, so that submissions under many made-up team names displace no team.
import { addMs, elapsedMs, type Instant, LONG_AGO, type TeamName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

/** Half-life of the submission counts. */
const HALF_LIFE_MS = 5000;
const SUM_INTERVAL_MS = 1000;
/** A team that submits more than this many times its even share is throttled. */
const MAX_OVERUSE_FACTOR = 1.5;
/** No team with fewer recent submissions is throttled, whatever the others submit. */
const MIN_THROTTLED_COUNT = 4;
/** A team with a lower count does not count as active. */
const MIN_RECENT_COUNT = 0.3;
const MAX_RETRY_AFTER_S = 20;

interface DecayingCount {
  /** The count at the time `at`, from which it decays. */
  count: number;
  at: Instant;
}

/** Counts recent submissions by team and decides which teams are throttled. */
export class TeamThrottle {
  private readonly counts = new Map<TeamName, DecayingCount>();
  private activeTeamCount = 0;
  private totalCount = 0;
  private nextSumAt: Instant = LONG_AGO;

  constructor(private readonly io: ControllerIo) {}

  /** Counts a new job that the team has submitted, whether it is accepted or not. */
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

  /**
   * Recomputes the sums over all teams once a second. In between, the total grows with each submission but
   * does not decay.
   */
  private updateSums(): void {
    if (this.io.now < this.nextSumAt) return;
    this.nextSumAt = addMs(this.io.now, SUM_INTERVAL_MS);
    this.totalCount = 0;
    this.activeTeamCount = 0;
    for (const team of this.counts.keys()) {
      const count = this.recentCount(team);
      if (count < MIN_RECENT_COUNT) this.counts.delete(team);
      else {
        this.totalCount += count;
        this.activeTeamCount++;
      }
    }
  }

  /**
   * The team's recent submissions as a multiple of an even share of those of all active teams; 1 for the only
   * active team.
   */
  private overuseFactor(team: TeamName): number {
    if (this.totalCount <= 0) return 1;
    return (this.recentCount(team) * Math.max(1, this.activeTeamCount)) / this.totalCount;
  }

  /**
   * Whether to reject the team's submissions while the write budget is short: true for the only active team,
   * and for a team with more than `MIN_THROTTLED_COUNT` recent submissions that submits more than
   * `MAX_OVERUSE_FACTOR` times its even share.
   */
  isThrottled(team: TeamName): boolean {
    if (this.activeTeamCount <= 1) return true;
    return this.recentCount(team) > MIN_THROTTLED_COUNT && this.overuseFactor(team) > MAX_OVERUSE_FACTOR;
  }

  /**
   * Seconds after which a rejected team should retry: `baseRetryS`, or more in proportion to how far the team
   * exceeds its even share.
   */
  retryAfterS(team: TeamName, baseRetryS: number): number {
    return Math.min(MAX_RETRY_AFTER_S, baseRetryS * Math.max(1, this.overuseFactor(team)));
  }
}
