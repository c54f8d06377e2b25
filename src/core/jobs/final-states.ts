// Bounded cache of the final states of jobs, and reads of final states from the store.
import type { JobId, WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { decodeFinalState } from '../storage/job-record.ts';
import { FINAL_STATE_PREFIX } from '../storage/keys.ts';
import type { FinalStatus } from './job-events.ts';

/** When the cache exceeds this number, the states that were cached first are evicted. */
const MAX_CACHED_STATES = 20_000;

/** How and when a job ended; `endedAt` is 0 if an earlier version stored the state without the time. */
export interface CachedFinalState {
  status: FinalStatus;
  endedAt: WallTime;
}

/** The final states that this controller has written or read during its term. */
export class FinalStates {
  private readonly states = new Map<JobId, CachedFinalState>();

  constructor(private readonly io: ControllerIo) {}

  /** The cached final state; null if none is cached, which does not mean that the job is open. */
  get(id: JobId): CachedFinalState | null {
    return this.states.get(id) ?? null;
  }

  /** Caches a final state that is known to be stored. */
  set(id: JobId, status: FinalStatus, endedAt: WallTime = 0 as WallTime): void {
    this.states.set(id, { status, endedAt });
    if (this.states.size <= MAX_CACHED_STATES) return;
    for (const oldest of this.states.keys()) {
      this.states.delete(oldest);
      break;
    }
  }

  /** Reads a final state from the store, caches it, and responds with it or with `not-found`. */
  read(id: JobId, respond: (response: UserResponse) => void): void {
    this.io.sendStoreRequest({ kind: 'get', key: FINAL_STATE_PREFIX + id }, StorePriority.query, (reply) => {
      if (reply.kind === 'item') {
        const { status, endedAt } = decodeFinalState(reply.item);
        this.set(id, status, endedAt ?? undefined);
        respond({ kind: 'ended', id, status });
      } else if (reply.kind === 'missing') respond({ kind: 'not-found' });
      else respond(retryLater('the state service does not answer'));
    });
  }
}
