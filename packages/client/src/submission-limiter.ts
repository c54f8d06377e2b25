// Back-pressure: a semaphore over the submissions that are not accepted yet.

/** Counts submissions under way, and makes callers wait while there are too many. */
export class SubmissionLimiter {
  private pending = 0;
  private readonly waiters: (() => void)[] = [];
  private disabled = false;

  /** `maxPending`: submissions under way from which on callers wait. */
  constructor(private readonly maxPending: number) {}

  /** A submission is under way. */
  acquire(): void {
    this.pending++;
  }

  /** A submission is no longer under way: the next caller may go on. */
  release(): void {
    this.pending--;
    this.waiters.shift()?.();
  }

  /** Nothing is submitted any more: nobody waits from now on. */
  disable(): void {
    this.disabled = true;
    for (const wake of this.waiters.splice(0)) wake();
  }

  /** Resolves when few enough submissions are under way; rejects with the reason of the signal. */
  async waitForTurn(signal: AbortSignal | undefined): Promise<void> {
    while (this.pending >= this.maxPending && !this.disabled) {
      signal?.throwIfAborted();
      await this.waitForRelease(signal);
    }
    signal?.throwIfAborted();
  }

  private waitForRelease(signal: AbortSignal | undefined): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        signal?.removeEventListener('abort', wake);
        // A turn given to a caller that has gone away would be lost to the next.
        const index = this.waiters.indexOf(wake);
        if (index >= 0) this.waiters.splice(index, 1);
        resolve();
      };
      signal?.addEventListener('abort', wake, { once: true });
      this.waiters.push(wake);
    });
  }
}
