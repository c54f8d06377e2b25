// Who is sent back first when more is submitted than can be written: a team that asks for more than its even part of what was
// asked lately. What is remembered of a team halves every few seconds and is kept for teams of the settings only, so no flood
// of names pushes another out.
import { addMs, elapsedMs, type Instant, LONG_AGO, type TeamName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

const HALF_MS = 5000;
const TIDY_MS = 1000;
/** A team that asks for this many times its even part is over. */
const OVER = 1.5;
/** No team that has asked for fewer lately is over, whatever the others ask. */
const MANY = 4;
/** Below this a team has not asked lately. */
const FAINT = 0.3;
const AFTER_MAX_S = 20;

interface Asked {
  n: number;
  at: Instant;
}

export class TeamThrottle {
  private readonly teams = new Map<TeamName, Asked>();
  private active = 0;
  private total = 0;
  private nextTidy: Instant = LONG_AGO;

  constructor(private readonly io: ControllerIo) {}

  /** A new job of the team has been submitted, taken in or not. */
  recordSubmission(team: TeamName): void {
    const n = this.lately(team) + 1;
    this.teams.set(team, { n, at: this.io.now });
    this.total++;
    this.tidy();
  }

  private lately(team: TeamName): number {
    const a = this.teams.get(team);
    return a === undefined ? 0 : a.n * 0.5 ** (elapsedMs(this.io.now, a.at) / HALF_MS);
  }

  /** Sums are made anew once a second: between two of them they only lag. */
  private tidy(): void {
    if (this.io.now < this.nextTidy) return;
    this.nextTidy = addMs(this.io.now, TIDY_MS);
    this.total = 0;
    this.active = 0;
    for (const team of this.teams.keys()) {
      const n = this.lately(team);
      if (n < FAINT) this.teams.delete(team);
      else {
        this.total += n;
        this.active++;
      }
    }
  }

  /** How many times its even part of what was asked lately the team asks for; 1 for the only one that asks. */
  overuseFactor(team: TeamName): number {
    return this.total <= 0 ? 1 : (this.lately(team) * Math.max(1, this.active)) / this.total;
  }

  /** While too much is asked for: with one team asking it is that one, with more of them those beyond their part. */
  isThrottled(team: TeamName): boolean {
    return this.active <= 1 || (this.lately(team) > MANY && this.overuseFactor(team) > OVER);
  }

  /** When a team that is sent back should come again: later, the more it asks beyond its part. */
  retryAfterS(team: TeamName, waitS: number): number {
    return Math.min(AFTER_MAX_S, waitS * Math.max(1, this.overuseFactor(team)));
  }
}
