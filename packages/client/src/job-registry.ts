// Registry of the jobs that this client tracks, updated by the events of the session.
import { JobHandle } from './job-handle.ts';
import type { SessionListener } from './session-driver.ts';
import type { SubmissionLimiter } from './submission-limiter.ts';
import type { JobState, JournalError, Outcome } from './types.ts';

/** Job handles by id, and ids by the callers' keys. */
export class JobRegistry implements SessionListener {
  private readonly handles = new Map<string, JobHandle>();
  private readonly idsByKey = new Map<string, string>();

  /** `limiter`: its slots are released when submissions are accepted or end. */
  constructor(private readonly limiter: SubmissionLimiter) {}

  /** The handle of a job, if there is one. */
  get(id: string): JobHandle | undefined {
    return this.handles.get(id);
  }

  /** Adds a handle for a job. Replaces the handle of the same id if the client gave that job up. */
  add(id: string, key: string | null): JobHandle {
    const handle = new JobHandle();
    this.handles.set(id, handle);
    if (key !== null) this.idsByKey.set(key, id);
    return handle;
  }

  /**
   * Removes a job that was not submitted because of an error; callers that wait for it reject with the error.
   */
  discard(id: string, key: string | null, error: Error): void {
    const handle = this.handles.get(id)!;
    this.handles.delete(id);
    if (key !== null) this.idsByKey.delete(key);
    handle.error = error;
    handle.notify();
  }

  /** The id of the job that was added under a key. */
  idOf(key: string): string | undefined {
    return this.idsByKey.get(key);
  }

  /** Whether the registry has the job and the client did not give it up. */
  isTracked(id: string): boolean {
    const handle = this.handles.get(id);
    return handle !== undefined && handle.outcome?.kind !== 'gave-up';
  }

  /** Called when the client is closed: all waiting callers are rejected. */
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
