// Logs why messages of other programs are invalid, at a limited rate: a whole fleet may send the same
// mistake.
import { InvalidMessageError } from '../protocol/json-fields.ts';
import type { Log } from './log.ts';

/** Where an invalid message came from. */
export type MessageSource = 'worker heartbeat' | 'request' | 'store reply' | 'cloud reply' | 'worker reply';

const LOG_INTERVAL_MS = 10_000;

interface SourceState {
  nextLogAt: number;
  /** Invalid messages since the last log line, this one included. */
  count: number;
}

/** Logs the first invalid message of each source, then one at most every 10 s with the number of them. */
export class InvalidMessageLog {
  private readonly stateBySource = new Map<MessageSource, SourceState>();

  /** `now`: monotonic time in milliseconds. */
  constructor(
    private readonly log: Log,
    private readonly now: () => number = () => performance.now(),
  ) {}

  /** Records that a message could not be decoded. */
  record(source: MessageSource, error: unknown): void {
    const state = this.stateBySource.get(source) ?? { nextLogAt: Number.NEGATIVE_INFINITY, count: 0 };
    this.stateBySource.set(source, state);
    state.count++;
    const now = this.now();
    if (now < state.nextLogAt) return;
    this.log('info', 'invalid message', { source, reason: describe(error), count: state.count });
    state.nextLogAt = now + LOG_INTERVAL_MS;
    state.count = 0;
  }
}

const describe = (error: unknown): string =>
  error instanceof InvalidMessageError ? error.message : String(error);
