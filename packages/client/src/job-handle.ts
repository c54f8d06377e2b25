// State of one job in this client, and the callers that wait for it to change.
import type { JobState, Outcome } from './types.ts';

/** Holds the newest state of a job and wakes waiting callers when it changes. */
export class JobHandle {
  accepted = false;
  /** The newest state that the service reported. */
  state: JobState | null = null;
  outcome: Outcome | null = null;
  /** The error after which this client receives no further updates of the job; null if there is none. */
  error: Error | null = null;
  /** Set when the caller requests cancellation, which may be before the job is passed to the session. */
  cancelRequested = false;
  private closed = false;
  private readonly listeners = new Set<() => void>();

  /** Wakes the waiting callers, which check their conditions again. */
  notify(): void {
    for (const listener of [...this.listeners]) listener();
  }

  /** Called when the client is closed: waiting callers are rejected with an AbortError. */
  close(): void {
    this.closed = true;
    this.notify();
  }

  /**
   * Resolves when the condition holds. Rejects with the error of the job, with the reason of the signal, or
   * with an AbortError if the client is closed.
   */
  waitUntil(condition: () => boolean, signal: AbortSignal | undefined): Promise<void> {
    return new Promise((resolve, reject) => {
      const trySettle = (): boolean => {
        if (condition()) resolve();
        else if (this.error !== null) reject(this.error);
        else if (signal?.aborted) reject(signal.reason);
        else if (this.closed) reject(abortError('the client was closed'));
        else return false;
        return true;
      };
      if (trySettle()) return;
      const listener = (): void => {
        if (!trySettle()) return;
        this.listeners.delete(listener);
        signal?.removeEventListener('abort', listener);
      };
      this.listeners.add(listener);
      signal?.addEventListener('abort', listener, { once: true });
    });
  }
}

/** The error with which a call rejects when its wait is aborted or the client is closed. */
export const abortError = (message: string): Error => new DOMException(message, 'AbortError');
