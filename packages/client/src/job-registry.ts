// The jobs that this process waits for, kept up to date with what the session reports of them.
import { JobHandle } from './job-handle.ts';
import type { SessionListener } from './session-driver.ts';
import type { SubmissionLimiter } from './submission-limiter.ts';
import type { JobState, JournalError, Outcome } from './types.ts';

/** Handles by job id, and ids by the callers' keys. */
export class JobRegistry implements SessionListener {
  private readonly handles = new Map<string, JobHandle>();
  private readonly idsByKey = new Map<string, string>();

  /** `limiter`: is told of submissions that are no longer under way. */
  constructor(private readonly limiter: SubmissionLimiter) {}

  /** The handle of a job, if there is one. */
  get(id: string): JobHandle | undefined {
    return this.handles.get(id);
  }

  /** A new handle, in place of one whose job was given up. */
  add(id: string, key: string | null): JobHandle {
    const handle = new JobHandle();
    this.handles.set(id, handle);
    if (key !== null) this.idsByKey.set(key, id);
    return handle;
  }

  /** The job was not submitted after all: whoever waits for it gets the error. */
  discard(id: string, key: string | null, error: Error): void {
    const handle = this.handles.get(id)!;
    this.handles.delete(id);
    if (key !== null) this.idsByKey.delete(key);
    handle.error = error;
    handle.notify();
  }

  /** The id that was given to a key in this process. */
  idOf(key: string): string | undefined {
    return this.idsByKey.get(key);
  }

  /** Whether the job is known here and was not given up. */
  isTracked(id: string): boolean {
    const handle = this.handles.get(id);
    return handle !== undefined && handle.outcome?.kind !== 'gave-up';
  }

  /** The client is closed: all waiting ends. */
  close(): void {
    for (const handle of this.handles.values()) handle.close();
    this.limiter.disable();
  }

  onAccepted(id: string): void {
    const handle = this.handles.get(id)!;
    this.markAccepted(handle);
    handle.notify();
  }

  onStateChanged(state: JobState): void {
    const handle = this.handles.get(state.id)!;
    handle.state = state;
    handle.notify();
  }

  onOutcome(outcome: Outcome): void {
    const handle = this.handles.get(outcome.id)!;
    this.markAccepted(handle);
    handle.outcome = outcome;
    handle.notify();
  }

  onFailure(error: JournalError): void {
    for (const handle of this.handles.values()) {
      if (handle.outcome === null) handle.error = error;
      handle.notify();
    }
    this.limiter.disable();
  }

  private markAccepted(handle: JobHandle): void {
    if (!handle.accepted) this.limiter.release();
    handle.accepted = true;
  }
}
