// Jobs this node does not hold: read from the state service, many names in one compare-only transaction.
import type { JobId, Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, StoreCondition, StoreReply, UserResponse } from '../base/model.ts';
import { asSubmissionResponse, retryLater } from '../base/responses.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { TokenBucket } from '../base/token-bucket.ts';
import {
  decodeFinalState,
  decodeJobRecord,
  dependenciesInPart,
  dependencyPartKeys,
  type JobRecord,
} from './job-record.ts';
import { FINAL_STATE_PREFIX, OPEN_JOB_PREFIX } from './keys.ts';

interface Waiting {
  id: JobId;
  answer: (a: UserResponse) => void;
}
const MAX_WAITING = 300;
/** Part of the region's state requests that one node may use for look-ups. */
const SHARE = 0.15;
/** Jobs read for one question about a job that awaits others. */
const MAX_DERIVED = 50;

export class JobRecordReader {
  private waiting: Waiting[] = [];
  private busy = false;
  private readonly ended = new Map<JobId, 'done' | 'cancelled'>();
  private readonly budget: TokenBucket;
  private readonly io: ControllerIo;
  private readonly perBatch: number;

  constructor(io: ControllerIo, settings: Settings) {
    this.io = io;
    this.perBatch = Math.max(1, Math.min(40, settings.store.maxTransactionOps * 2 - 2));
    const rate = Math.max(1, settings.store.requestsPerS * SHARE);
    this.budget = new TokenBucket(rate, rate);
  }

  /** Questions that wait to be read. */
  get backlog(): number {
    return this.waiting.length;
  }

  /** A final state is final: any node may answer it from memory. */
  cachedFinalState(id: JobId): UserResponse | null {
    const status = this.ended.get(id);
    return status === undefined ? null : { kind: 'ended', id, status };
  }

  cacheFinalState(a: UserResponse): void {
    if (a.kind !== 'ended') return;
    this.ended.set(a.id, a.status);
    if (this.ended.size > 20_000) this.ended.delete(this.ended.keys().next().value as JobId);
  }

  readStatus(id: JobId, answer: (a: UserResponse) => void): void {
    const known = this.cachedFinalState(id);
    if (known !== null) return answer(known);
    if (this.waiting.length >= MAX_WAITING) return answer(retryLater('too many questions at once', 2, true));
    this.waiting.push({ id, answer });
    this.pump();
  }

  tick(): void {
    this.pump();
  }

  private pump(): void {
    if (this.busy || this.waiting.length === 0 || !this.budget.take(this.io.now)) return;
    this.busy = true;
    const batch = this.waiting.splice(0, this.perBatch);
    const conditions = batch.flatMap((w) => neither(w.id));
    this.io.store(
      { kind: 'compare-and-swap', conditions, puts: [], deletes: [] },
      StorePriority.query,
      (r) => this.onCompared(batch, r),
      1200,
    );
  }

  private onCompared(batch: Waiting[], r: StoreReply): void {
    this.busy = false;
    const found = new Set(r.kind === 'conflict' ? r.failed : []);
    for (const w of batch) {
      if (r.kind === 'committed') w.answer({ kind: 'not-found' });
      else if (r.kind !== 'conflict') w.answer(retryLater('the state service does not answer'));
      else if (found.has(FINAL_STATE_PREFIX + w.id)) this.readFinal(w);
      else if (found.has(OPEN_JOB_PREFIX + w.id)) this.readOpen(w);
      else w.answer({ kind: 'not-found' });
    }
    this.pump();
  }

  private get(key: string, then: (r: StoreReply) => void): void {
    this.io.store({ kind: 'get', key }, StorePriority.query, then);
  }

  private readFinal(w: Waiting): void {
    this.get(FINAL_STATE_PREFIX + w.id, (r) => {
      if (r.kind !== 'item') return w.answer(retryLater('the state service does not answer'));
      const a: UserResponse = {
        kind: 'ended',
        id: w.id,
        status: decodeFinalState(r.item).status,
      };
      this.cacheFinalState(a);
      w.answer(a);
    });
  }

  private readOpen(w: Waiting): void {
    this.get(OPEN_JOB_PREFIX + w.id, (r) => {
      if (r.kind === 'item') {
        const record = decodeJobRecord(r.item);
        if (record.cancelled) w.answer({ kind: 'ended', id: w.id, status: 'cancelled' });
        else this.awaitsOf(record, (awaits) => this.derive(w, awaits));
      } else if (r.kind === 'missing') this.readFinal(w);
      else w.answer(retryLater('the state service does not answer'));
    });
  }

  /**
   * A job that awaits others is cancelled when any of them is, through any number of others, though its own record
   * does not say so. That none was cancelled when looked at, later than the job's own record, makes `queued` true.
   */
  private derive(w: Waiting, awaits: JobId[] | null): void {
    if (awaits === null) return w.answer(retryLater('the state service does not answer'));
    const seen = new Set(awaits);
    const todo = [...seen];
    let reads = 0;
    const next = (): void => {
      const id = todo.pop();
      if (id === undefined)
        return w.answer({ kind: 'status', id: w.id, status: 'queued', done: 0, running: 0 });
      if (++reads > MAX_DERIVED || !this.budget.take(this.io.now))
        return w.answer(retryLater('the jobs that it awaits are being read', 2));
      this.readDependency(id, (n) => {
        if (n === null) return w.answer(retryLater('the state service does not answer'));
        if (n === 'cancelled') return this.cancelled(w);
        for (const a of n === 'done' ? [] : n)
          if (!seen.has(a)) {
            seen.add(a);
            todo.push(a);
          }
        next();
      });
    };
    next();
  }

  /** All that a job awaits, with the further values of its record; null when they cannot be read. */
  private awaitsOf(record: JobRecord, then: (awaits: JobId[] | null) => void): void {
    const all = [...(record.spec.dependsOn ?? [])];
    const keys = dependencyPartKeys(record.spec.id, record.dependencyParts);
    const next = (): void => {
      const key = keys.shift();
      if (key === undefined) return then(all);
      this.get(key, (r) => {
        if (r.kind !== 'item') return then(null);
        all.push(...dependenciesInPart(r.item));
        next();
      });
    };
    next();
  }

  private cancelled(w: Waiting): void {
    const a: UserResponse = { kind: 'ended', id: w.id, status: 'cancelled' };
    this.cacheFinalState(a);
    w.answer(a);
  }

  /** Done, cancelled, or what it awaits in turn; the final record first, so that none is missed between the two. */
  private readDependency(
    id: JobId,
    then: (n: 'done' | 'cancelled' | JobId[] | null) => void,
    again = true,
  ): void {
    this.get(FINAL_STATE_PREFIX + id, (f) => {
      if (f.kind === 'item') return then(decodeFinalState(f.item).status);
      if (f.kind !== 'missing') return then(null);
      this.get(OPEN_JOB_PREFIX + id, (o) => {
        if (o.kind === 'item') {
          const record = decodeJobRecord(o.item);
          if (record.cancelled) then('cancelled');
          else this.awaitsOf(record, then);
        } else if (o.kind === 'missing' && again) this.readDependency(id, then, false);
        else then(null);
      });
    });
  }

  /** Which of the jobs were ever accepted, as the state service says; null when that cannot be known now. */
  findExisting(ids: JobId[], then: (found: Map<JobId, 'open' | 'over'> | null) => void): void {
    const found = new Map<JobId, 'open' | 'over'>();
    const compare = (from: number): void => {
      const batch = ids.slice(from, from + this.perBatch);
      if (batch.length === 0) return then(found);
      if (!this.budget.take(this.io.now)) return then(null);
      const op = {
        kind: 'compare-and-swap' as const,
        conditions: batch.flatMap(neither),
        puts: [],
        deletes: [],
      };
      this.io.store(op, StorePriority.query, (r) => {
        if (r.kind !== 'committed' && r.kind !== 'conflict') return then(null);
        const there = new Set(r.kind === 'conflict' ? r.failed : []);
        for (const id of batch) {
          if (there.has(FINAL_STATE_PREFIX + id)) found.set(id, 'over');
          else if (there.has(OPEN_JOB_PREFIX + id)) found.set(id, 'open');
        }
        compare(from + batch.length);
      });
    };
    compare(0);
  }

  /** The first service among open jobs, null if there is none. */
  findFirstService(ids: JobId[], then: (id: JobId | 'unclear' | null) => void): void {
    const [id, ...rest] = ids;
    if (id === undefined) return then(null);
    if (!this.budget.take(this.io.now)) return then('unclear');
    this.get(OPEN_JOB_PREFIX + id, (r) => {
      // What is no longer open was no service, or was cancelled.
      if (r.kind === 'item' && decodeJobRecord(r.item).spec.kind === 'service') then(id);
      else if (r.kind === 'item' || r.kind === 'missing') this.findFirstService(rest, then);
      else then('unclear');
    });
  }

  /** Answers a submission of a job that is on record already. */
  answerRepeatedSubmission(id: JobId, answer: (a: UserResponse) => void): void {
    this.readStatus(id, (a) => {
      answer(a.kind === 'not-found' ? retryLater('the job is changing') : asSubmissionResponse(a));
    });
  }
}

/** True of a job that was never accepted. */
const neither = (id: JobId): StoreCondition[] =>
  [OPEN_JOB_PREFIX, FINAL_STATE_PREFIX].map((prefix) => ({ key: prefix + id, revision: 0 as Revision }));
