// One job as the callers of this process wait for it.
import type { JobState, Outcome } from './types.ts';

/** The state of a job, and the callers that wait for it to change. */
export class JobHandle {
  accepted = false;
  /** The newest state that the service gave. */
  state: JobState | null = null;
  outcome: Outcome | null = null;
  /** Why nothing more will be known of the job here. */
  error: Error | null = null;
  /** It is to be cancelled, perhaps before the session knows of it. */
  cancelRequested = false;
  private closed = false;
  private readonly listeners = new Set<() => void>();

  /** Wakes the callers that wait; they look at what has changed. */
  notify(): void {
    for (const listener of [...this.listeners]) listener();
  }

  /** The client is closed: callers that wait are rejected with an AbortError. */
  close(): void {
    this.closed = true;
    this.notify();
  }

  /**
   * Resolves when the condition holds. Rejects with the error of the job, the reason of the signal, or an
   * AbortError if the client is closed.
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

/** The error of a wait that was ended by its caller. */
export const abortError = (message: string): Error => new DOMException(message, 'AbortError');
