// Back-pressure on submissions: a semaphore that limits how many are not accepted yet.

/** Counts pending submissions and makes callers wait while there are too many. */
export class SubmissionLimiter {
  private pending = 0;
  private readonly waiters: (() => void)[] = [];
  private disabled = false;

  /** `maxPending`: number of pending submissions from which on callers wait. */
  constructor(private readonly maxPending: number) {}

  /** Counts a submission that is now pending. */
  acquire(): void {
    this.pending++;
  }

  /** Ends the count of a submission that is no longer pending, and wakes the next waiting caller. */
  release(): void {
    this.pending--;
    this.waiters.shift()?.();
  }

  /** Wakes all waiting callers and lets later ones pass, as nothing is submitted any more. */
  disable(): void {
    this.disabled = true;
    for (const wake of this.waiters.splice(0)) wake();
  }

  /**
   * Resolves when fewer than the maximum number of submissions are pending. Rejects with the reason of the
   * signal if it is aborted.
   */
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
        // An aborted caller must leave the queue, or a release would wake it in place of the next caller.
        const index = this.waiters.indexOf(wake);
        if (index >= 0) this.waiters.splice(index, 1);
        resolve();
      };
      signal?.addEventListener('abort', wake, { once: true });
      this.waiters.push(wake);
    });
  }
}
