// Logs that the store or the cloud is unavailable: at once, then at growing intervals, and when it serves
// again. Without this a controller that can do nothing for its users would say nothing at all.
import { addMs, elapsedMs, type Instant, LONG_AGO } from '../../types/index.ts';
import type { Log, LogFields } from './log.ts';

/** Interval between the first two lines, and between any two at most; it doubles with each. */
const FIRST_INTERVAL_MS = 5000;
const MAX_INTERVAL_MS = 300_000;
/** A service that serves some requests is available again only after this long without a failure. */
const RECOVERED_AFTER_MS = 5000;
/** Without any success for this long, while requests fail, a service is unavailable. */
const UNAVAILABLE_AFTER_MS = 3000;

/** Whether a service that the controller depends on serves its requests. */
export class DependencyHealth {
  /** Since when requests have been failing; null while they are served. */
  private failingSince: Instant | null = null;
  private lastFailure: Instant = LONG_AGO;
  private lastSuccess: Instant = LONG_AGO;
  private nextLogAt: Instant = LONG_AGO;
  private logIntervalMs = FIRST_INTERVAL_MS;
  private failures = 0;

  constructor(
    private readonly service: string,
    private readonly addr: string,
    private readonly log: Log,
  ) {}

  /** `silent`: no reply in time, or no connection. `refused`: a reply that it does not serve. */
  recordFailure(now: Instant, reason: 'silent' | 'refused'): void {
    this.failures++;
    this.lastFailure = now;
    this.failingSince ??= now;
    if (now < this.nextLogAt) return;
    this.nextLogAt = addMs(now, this.logIntervalMs);
    this.logIntervalMs = Math.min(MAX_INTERVAL_MS, this.logIntervalMs * 2);
    const text = reason === 'silent' ? 'does not answer' : 'refuses requests';
    this.log('error', `the ${this.service} ${text}`, this.logFields(now, this.failingSince));
  }

  /** Whether nothing has been served for a while, and requests fail. */
  isUnavailable(now: Instant): boolean {
    if (this.failingSince === null || this.lastSuccess >= this.lastFailure) return false;
    const since = Math.max(this.failingSince, this.lastSuccess) as Instant;
    return elapsedMs(now, since) > UNAVAILABLE_AFTER_MS;
  }

  /** A request was served. */
  recordSuccess(now: Instant): void {
    this.lastSuccess = now;
    if (this.failingSince === null || elapsedMs(now, this.lastFailure) < RECOVERED_AFTER_MS) return;
    const fields = this.logFields(this.lastFailure, this.failingSince);
    this.log('info', `the ${this.service} answers again`, fields);
    this.failingSince = null;
    this.failures = 0;
    this.nextLogAt = LONG_AGO;
    this.logIntervalMs = FIRST_INTERVAL_MS;
  }

  private logFields(until: Instant, since: Instant): LogFields {
    const forS = Math.round(elapsedMs(until, since) / 100) / 10;
    return { addr: this.addr, forS, failures: this.failures };
  }
}
