// Tells operators when the state service or the cloud cannot be reached: at once, then at growing intervals, and when
// it is back for good. Without this a controller that can do nothing for its users says nothing at all.
import { addMs, elapsedMs, type Instant, LONG_AGO } from '../../types/index.ts';

type Log = (level: 'error' | 'info', message: string, fields: Record<string, unknown>) => void;

const FIRST_MS = 5000;
const MAX_MS = 300_000;
/** A service that answers in between is taken for back only after this long without a failure. */
const GOOD_MS = 5000;

const AWAY_MS = 3000;

export class DependencyHealth {
  /** Since when requests fail; null while they are served. */
  private downSince: Instant | null = null;
  private lastFailure: Instant = LONG_AGO;
  private lastServed: Instant = LONG_AGO;
  private tellAt: Instant = LONG_AGO;
  private gapMs = FIRST_MS;
  private failures = 0;

  constructor(
    private readonly what: string,
    private readonly addr: string,
    private readonly log: Log,
  ) {}

  /** `silent`: no answer in time, or no connection. `refused`: an answer that it is not serving. */
  recordFailure(now: Instant, why: 'silent' | 'refused'): void {
    this.failures++;
    this.lastFailure = now;
    this.downSince ??= now;
    if (now < this.tellAt) return;
    this.tellAt = addMs(now, this.gapMs);
    this.gapMs = Math.min(MAX_MS, this.gapMs * 2);
    const reason = why === 'silent' ? 'does not answer' : 'refuses requests';
    const forS = Math.round(elapsedMs(now, this.downSince) / 100) / 10;
    this.log('error', `the ${this.what} ${reason}`, { addr: this.addr, forS, failures: this.failures });
  }

  /** Nothing has been served for a while, and requests fail. */
  isUnavailable(now: Instant): boolean {
    if (this.downSince === null || this.lastServed >= this.lastFailure) return false;
    return elapsedMs(now, Math.max(this.downSince, this.lastServed) as Instant) > AWAY_MS;
  }

  recordSuccess(now: Instant): void {
    this.lastServed = now;
    if (this.downSince === null || elapsedMs(now, this.lastFailure) < GOOD_MS) return;
    const forS = Math.round(elapsedMs(this.lastFailure, this.downSince) / 100) / 10;
    this.log('info', `the ${this.what} answers again`, { addr: this.addr, forS, failures: this.failures });
    this.downSince = null;
    this.failures = 0;
    this.tellAt = LONG_AGO;
    this.gapMs = FIRST_MS;
  }
}
