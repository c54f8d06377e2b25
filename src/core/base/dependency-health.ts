// Detects and logs outages of the store and of the cloud: at once, then at growing intervals, and on
// recovery. Without these lines, the log would not show why a controller serves no requests.
import { addMs, elapsedMs, type Instant, LONG_AGO } from '../../types/index.ts';
import type { Log, LogFields } from './log.ts';

/** Interval between the first two log lines of an outage. It doubles with each line, up to the maximum. */
const FIRST_INTERVAL_MS = 5000;
const MAX_INTERVAL_MS = 300_000;
/** An outage is over when a request succeeds this long after the last failure. */
const RECOVERED_AFTER_MS = 5000;
/** A service is unavailable when its requests have failed for this long without a success. */
const UNAVAILABLE_AFTER_MS = 3000;

/** Tracks whether a service that the controller depends on serves its requests. */
export class DependencyHealth {
  /** Time of the first failure of the current outage; null without an outage. */
  private failingSince: Instant | null = null;
  private lastFailure: Instant = LONG_AGO;
  private lastSuccess: Instant = LONG_AGO;
  private nextLogAt: Instant = LONG_AGO;
  private logIntervalMs = FIRST_INTERVAL_MS;
  private failures = 0;

  constructor(
    private readonly serviceName: string,
    private readonly addr: string,
    private readonly log: Log,
  ) {}

  /** `no-answer`: no connection, or no reply in time. `refused`: the service refused the request. */
  recordFailure(now: Instant, reason: 'no-answer' | 'refused'): void {
    this.failures++;
    this.lastFailure = now;
    this.failingSince ??= now;
    if (now < this.nextLogAt) return;
    this.nextLogAt = addMs(now, this.logIntervalMs);
    this.logIntervalMs = Math.min(MAX_INTERVAL_MS, this.logIntervalMs * 2);
    const text = reason === 'no-answer' ? 'does not answer' : 'refuses requests';
    this.log('error', `the ${this.serviceName} ${text}`, this.logFields(now, this.failingSince));
  }

  /** Whether requests have been failing for a while, without any success. */
  isUnavailable(now: Instant): boolean {
    if (this.failingSince === null || this.lastSuccess >= this.lastFailure) return false;
    const since = Math.max(this.failingSince, this.lastSuccess) as Instant;
    return elapsedMs(now, since) > UNAVAILABLE_AFTER_MS;
  }

  recordSuccess(now: Instant): void {
    this.lastSuccess = now;
    if (this.failingSince === null || elapsedMs(now, this.lastFailure) < RECOVERED_AFTER_MS) return;
    const fields = this.logFields(this.lastFailure, this.failingSince);
    this.log('info', `the ${this.serviceName} answers again`, fields);
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
