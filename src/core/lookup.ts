// Jobs this node does not hold: read from the state service, many names in one compare-only transaction.
import type { JobId, Revision } from '../types/index.ts';
import { Budget, type Outbox } from './io.ts';
import { FINAL, OPEN, retry } from './jobs.ts';
import type { Settings, StateReply, UserAnswer } from './model.ts';

interface Waiting {
  id: JobId;
  answer: (a: UserAnswer) => void;
}
const MAX_WAITING = 300;
/** Part of the region's state requests that one node may use for look-ups. */
const SHARE = 0.15;

export class Lookup {
  private waiting: Waiting[] = [];
  private busy = false;
  private readonly ended = new Map<JobId, 'done' | 'cancelled'>();
  private readonly budget: Budget;
  private readonly io: Outbox;
  private readonly perBatch: number;

  constructor(io: Outbox, settings: Settings) {
    this.io = io;
    this.perBatch = Math.max(1, Math.min(40, settings.state.txnOps * 2 - 2));
    const rate = Math.max(1, settings.state.rps * SHARE);
    this.budget = new Budget(rate, rate);
  }

  /** A final state is final: any node may answer it from memory. */
  known(id: JobId): UserAnswer | null {
    const status = this.ended.get(id);
    return status === undefined ? null : { kind: 'ended', id, status };
  }

  remember(a: UserAnswer): void {
    if (a.kind !== 'ended') return;
    this.ended.set(a.id, a.status);
    if (this.ended.size > 20_000) this.ended.delete(this.ended.keys().next().value as JobId);
  }

  ask(id: JobId, answer: (a: UserAnswer) => void): void {
    const known = this.known(id);
    if (known !== null) return answer(known);
    if (this.waiting.length >= MAX_WAITING) return answer(retry('too many questions at once', 2, true));
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
    const none = 0 as Revision;
    const conditions = batch.flatMap((w) => [
      { key: OPEN + w.id, revision: none },
      { key: FINAL + w.id, revision: none },
    ]);
    this.io.state(
      { kind: 'commit', conditions, puts: [], drops: [] },
      (r) => this.onCompared(batch, r),
      1200,
    );
  }

  private onCompared(batch: Waiting[], r: StateReply): void {
    this.busy = false;
    const found = new Set(r.kind === 'conflict' ? r.failed : []);
    for (const w of batch) {
      if (r.kind === 'committed') w.answer({ kind: 'not-found' });
      else if (r.kind !== 'conflict') w.answer(retry('the state service does not answer'));
      else if (found.has(FINAL + w.id)) this.readFinal(w);
      else if (found.has(OPEN + w.id)) this.readOpen(w);
      else w.answer({ kind: 'not-found' });
    }
    this.pump();
  }

  private readFinal(w: Waiting): void {
    this.io.state({ kind: 'get', key: FINAL + w.id }, (r) => {
      if (r.kind !== 'item') return w.answer(retry('the state service does not answer'));
      const a: UserAnswer = {
        kind: 'ended',
        id: w.id,
        status: (r.item.value as { s: 'done' | 'cancelled' }).s,
      };
      this.remember(a);
      w.answer(a);
    });
  }

  private readOpen(w: Waiting): void {
    this.io.state({ kind: 'get', key: OPEN + w.id }, (r) => {
      if (r.kind === 'item') {
        const cancelled = (r.item.value as { c?: 1 }).c === 1;
        if (cancelled) w.answer({ kind: 'ended', id: w.id, status: 'cancelled' });
        else w.answer({ kind: 'status', id: w.id, status: 'queued', done: 0, running: 0 });
      } else if (r.kind === 'missing') this.readFinal(w);
      else w.answer(retry('the state service does not answer'));
    });
  }
}
