// Jobs of the share: acceptance, done bitmaps, cancels and final states. Everything a user is told
// is committed first; the job's record changes by compare-and-set only, so done and cancelled exclude each other.
import type { JobId, Revision, TeamName, WallTime } from '../../types/index.ts';
import { retry } from '../base/answers.ts';
import type { Outbox } from '../base/io.ts';
import type { Condition, Item, JobSpec, Put, UserAnswer } from '../base/model.ts';
import { Rank } from '../base/statebudget.ts';
import { FINAL, MORE, OPEN } from '../record/keys.ts';
import {
  decodeFinalState,
  decodeJobRecord,
  encodeFinalState,
  encodeJobRecord,
  type FinalState,
  type JobRecord,
  moreKeys,
  partOf,
  recordPuts,
} from '../record/record.ts';
import { bytesOf, Priorities, type Store, type Write, type WriteResult } from '../record/store.ts';
import { Job } from './job.ts';
import type { Progress } from './progress.ts';

const FINALS_KEPT = 20_000;

/** Who follows how jobs come and go for the sake of those that await them; see dependencies.ts. */
export interface JobsWatcher {
  isNeeded(id: JobId): boolean;
  opened(job: Job): void;
  /** Its cancellation is on record. */
  spread(job: Job): void;
  closed(job: Job, status: 'done' | 'cancelled', at: WallTime): void;
}

interface Final {
  status: 'done' | 'cancelled';
  at: WallTime;
}

export class Jobs {
  readonly open = new Map<JobId, Job>();
  /** Open jobs with tasks that wait for a place. */
  readonly waiting = new Set<Job>();
  private readonly finals = new Map<JobId, Final>();
  /** Jobs whose cancellation is being written. */
  readonly asked = new Set<Job>();
  private readonly accepting = new Map<JobId, ((a: UserAnswer) => void)[]>();
  /** Acceptances of each team that are being written. */
  private readonly beingAccepted = new Map<TeamName, number>();
  private readonly io: Outbox;
  private readonly store: Store;
  private readonly progress: Progress;
  watcher: JobsWatcher | null = null;
  onAccepted: (job: Job) => void = () => {};
  /** A job ended: take its tasks out of queues. */
  onEnded: (job: Job) => void = () => {};
  /** A job that was asked to be cancelled goes on: the state service would not take the mark. */
  onWanted: () => void = () => {};
  /** Its final state is on record. */
  onClosed: (job: Job, status: 'done' | 'cancelled') => void = () => {};

  constructor(io: Outbox, store: Store, progress: Progress) {
    this.io = io;
    this.store = store;
    this.progress = progress;
  }

  load(item: Item): void {
    const { spec, acceptedAt, cancelled, dependencyParts } = decodeJobRecord(item);
    const job = new Job(spec, item.revision, acceptedAt, this.io.now, true, this.waiting);
    job.cancelled = cancelled;
    job.parts = dependencyParts;
    this.open.set(spec.id, job);
  }

  /** Whether any job's record has further values. */
  get inParts(): boolean {
    for (const job of this.open.values()) if (job.parts > 0) return true;
    return false;
  }

  /** A further value of a job's record that has been loaded. */
  loadMore(item: Item): void {
    const job = this.open.get(item.key.slice(MORE.length, item.key.lastIndexOf('/')) as JobId);
    job?.spec.awaits?.push(...partOf(item));
  }

  /** A job on record that this owner does not know: taken in by another node under this term, and started by nobody. */
  adopt(item: Item): void {
    const { spec, acceptedAt, cancelled, dependencyParts } = decodeJobRecord(item);
    const { id } = spec;
    // Records of several values are made by owners only: this one is known, or is for the next owner to read.
    if (dependencyParts > 0) return;
    const known = this.open.get(id);
    if (known !== undefined && cancelled) return this.foundCancelled(known, item);
    if (known !== undefined || this.accepting.has(id) || this.finals.has(id)) return;
    const job = new Job(spec, item.revision, acceptedAt, this.io.now, false, this.waiting);
    job.cancelled = cancelled;
    this.open.set(id, job);
    this.io.log('info', 'job taken over from another node', { job: id });
    this.opened(job);
  }

  isAccepting(id: JobId): boolean {
    return this.accepting.has(id);
  }

  /**
   * The record says that the job is cancelled: by a copy of a mark that was given up as refused, carried out late. Whoever
   * reads the record tells so.
   */
  private foundCancelled(job: Job, item: Item): void {
    if (job.cancelled || job.writing) return;
    job.revision = item.revision;
    this.setCancelled(job);
    this.runAfter(job);
  }

  private setCancelled(job: Job): void {
    job.cancelled = true;
    this.io.log('info', 'job cancelled', { job: job.id });
    this.onEnded(job);
    this.watcher?.spread(job);
  }

  private opened(job: Job): void {
    this.watcher?.opened(job);
    if (!job.cancelled) this.onAccepted(job);
  }

  final(id: JobId): Final | null {
    return this.finals.get(id) ?? null;
  }

  rememberFinal(id: JobId, status: 'done' | 'cancelled', at: WallTime = 0 as WallTime): void {
    this.finals.set(id, { status, at });
    if (this.finals.size <= FINALS_KEPT) return;
    for (const oldest of this.finals.keys()) {
      this.finals.delete(oldest);
      break;
    }
  }

  accept(spec: JobSpec, answer: (a: UserAnswer) => void): void {
    const waiters = this.accepting.get(spec.id);
    if (waiters !== undefined) {
      waiters.push(answer);
      return;
    }
    const nonce = this.store.nonce();
    const acceptedAt = this.io.wall;
    const record = { spec, acceptedAt, cancelled: false, writeId: nonce, dependencyParts: 0 };
    const puts = recordPuts(record, this.store.limits);
    if (puts === null) return answer({ kind: 'too-large', reason: 'the job is too large for a record' });
    this.accepting.set(spec.id, [answer]);
    const turn = this.beingAccepted.get(spec.team) ?? 0;
    this.beingAccepted.set(spec.team, turn + 1);
    this.store.write({
      conditions: [
        { key: OPEN + spec.id, revision: 0 as Revision },
        { key: FINAL + spec.id, revision: 0 as Revision },
      ],
      puts,
      drops: [],
      check: OPEN + spec.id,
      nonce,
      priority: Priorities.accept,
      turn,
      done: (r) => this.onAccept(spec, acceptedAt, puts.length - 1, r),
    });
  }

  private onAccept(spec: JobSpec, acceptedAt: WallTime, parts: number, r: WriteResult): void {
    const waiters = this.accepting.get(spec.id) ?? [];
    this.accepting.delete(spec.id);
    const left = this.beingAccepted.get(spec.team)! - 1;
    if (left > 0) this.beingAccepted.set(spec.team, left);
    else this.beingAccepted.delete(spec.team);
    if (r.kind === 'ok') {
      const job = new Job(spec, r.revision, acceptedAt, this.io.now, false, this.waiting);
      job.parts = parts;
      this.open.set(spec.id, job);
      this.io.log('debug', 'job accepted', { job: spec.id, class: spec.class, tasks: spec.tasks });
      this.opened(job);
      for (const w of waiters) w({ kind: 'accepted', id: spec.id });
    } else if (r.kind === 'conflict' && r.item !== null) {
      // Another node took it in at the same moment.
      this.adopt(r.item);
      const job = this.open.get(spec.id);
      const told = job !== undefined && (job.cancelled || !job.blocked);
      for (const w of waiters)
        w(
          told
            ? { kind: 'known', id: spec.id, status: job.status() }
            : retry('the job is being taken over from another node'),
        );
    } else if (r.kind === 'rejected') {
      for (const w of waiters) w(retry('the state service does not take the record'));
    } else if (r.kind === 'conflict') {
      // The job is known from before: its final state is on record.
      this.readFinal(spec.id, (a) => {
        for (const w of waiters) w(a.kind === 'ended' ? { kind: 'known', id: spec.id, status: a.status } : a);
      });
    } else for (const w of waiters) w(retry('the job service is changing hands'));
  }

  readFinal(id: JobId, answer: (a: UserAnswer) => void): void {
    this.io.state({ kind: 'get', key: FINAL + id }, Rank.ask, (r) => {
      if (r.kind === 'item') {
        const { status, endedAt } = decodeFinalState(r.item);
        this.rememberFinal(id, status, endedAt ?? undefined);
        answer({ kind: 'ended', id, status });
      } else if (r.kind === 'missing') answer({ kind: 'not-found' });
      else answer(retry('the state service does not answer'));
    });
  }

  /**
   * The job is given up at the request, before its mark is on record: nobody has any use for its work from then on. If
   * the mark is carried out without an answer, a node that reads the record tells the user that it is cancelled while
   * this owner, refused by the state service from then on, does not know it (docs/safety.md, point 15).
   */
  cancel(job: Job, answer: (a: UserAnswer) => void): void {
    if (job.cancelled) return answer({ kind: 'ended', id: job.id, status: 'cancelled' });
    if (job.writing) {
      // Whichever write is first decides; the other is told its outcome.
      job.afterEnd.push(() => this.cancelAgain(job, answer));
      return;
    }
    job.writing = true;
    job.asked = true;
    this.asked.add(job);
    this.onEnded(job);
    const nonce = this.store.nonce();
    const value = encodeJobRecord(this.cancelledRecord(job, nonce));
    const write: Write = {
      conditions: [{ key: OPEN + job.id, revision: job.revision }],
      puts: [{ key: OPEN + job.id, value }],
      drops: [],
      check: OPEN + job.id,
      nonce,
      priority: Priorities.cancel,
      done: (r) => {
        job.writing = false;
        job.asked = false;
        job.ending = null;
        this.asked.delete(job);
        this.onCancelWritten(job, r, answer);
      },
    };
    job.ending = write;
    this.store.write(write);
  }

  private onCancelWritten(job: Job, r: WriteResult, answer: (a: UserAnswer) => void): void {
    // The term is over: whoever waits here is answered by the next owner, or by the record.
    if (r.kind === 'lost') return answer(retry('the job service is changing hands'));
    const marked =
      r.kind === 'ok' || (r.kind === 'conflict' && r.item !== null && decodeJobRecord(r.item).cancelled);
    if (r.kind === 'ok') job.revision = r.revision;
    // Written by a copy of an earlier try: compared with what is there from now on.
    else if (r.kind === 'conflict' && r.item !== null) job.revision = r.item.revision;
    if (marked) {
      this.setCancelled(job);
      answer({ kind: 'ended', id: job.id, status: 'cancelled' });
    } else {
      this.onWanted();
      answer(retry('the job is changing'));
    }
    this.runAfter(job);
  }

  /** A record from before the limits fell may be too large to write again; a cancelled job needs no lists. */
  private cancelledRecord(job: Job, writeId: string): JobRecord {
    const { spec, acceptedAt, parts } = job;
    const record = { spec, acceptedAt, cancelled: true, writeId, dependencyParts: parts };
    if (parts === 0 && bytesOf(encodeJobRecord(record)) <= this.store.maxValue) return record;
    const { awaits: _, ...rest } = spec;
    return { ...record, spec: { ...rest, types: null } };
  }

  private cancelAgain(job: Job, answer: (a: UserAnswer) => void): void {
    const final = this.finals.get(job.id);
    if (final !== undefined) answer({ kind: 'ended', id: job.id, status: final.status });
    else this.cancel(job, answer);
  }

  private runAfter(job: Job): void {
    for (const f of job.afterEnd.splice(0)) f();
  }

  /** A machine reported the task's result. */
  taskDone(job: Job, index: number): void {
    if (job.spec.kind === 'service' || !job.setDone(index)) return;
    // The tasks of a gang complete together. Waited for one by one, they may never all be heard: where a result is kept
    // the task ends at once when it is started again, and the others wait for it in vain.
    if (job.spec.kind === 'gang') for (let i = 0; i < job.spec.tasks; i++) job.setDone(i);
    if (job.left === 0) this.finish(job);
    else this.progress.note(job, index);
  }

  /** Whether the machine may forget this task's result. */
  recorded(job: Job | undefined, index: number): boolean {
    if (job === undefined || job.cancelled || job.spec.kind === 'service') return true;
    return job.isRecorded(index);
  }

  tick(): void {
    for (const job of this.open.values()) {
      if (job.cancelled) {
        if (job.live === 0 && job.unlocated === 0) this.finish(job);
      } else if (job.left === 0) this.finish(job);
    }
    this.progress.tick();
  }

  /** Moves the job's record to its final place; the one write after which it is called done. */
  private finish(job: Job): void {
    if (job.writing || job.finishing) return;
    job.writing = true;
    job.finishing = true;
    const status = job.cancelled ? 'cancelled' : 'done';
    const nonce = this.store.nonce();
    const conditions: Condition[] = [{ key: OPEN + job.id, revision: job.revision }];
    const drops = [OPEN + job.id, ...moreKeys(job.id, job.parts)];
    const endedAt = this.io.wall;
    const final: FinalState = { status, writeId: nonce, endedAt };
    const puts: Put[] = [{ key: FINAL + job.id, value: encodeFinalState(final) }];
    const write: Write = {
      conditions,
      puts,
      drops,
      check: FINAL + job.id,
      nonce,
      priority: this.watcher?.isNeeded(job.id) ? Priorities.needed : Priorities.final,
      done: (r) => {
        job.writing = false;
        job.finishing = false;
        job.ending = null;
        if (r.kind === 'ok') return this.close(job, status, endedAt);
        if (r.kind === 'lost') return;
        this.io.log('info', 'final state not written', { job: job.id, result: r.kind });
        // A copy of an earlier try went through: what it says is what users are told.
        const found = r.kind === 'conflict' && r.item !== null ? decodeFinalState(r.item) : null;
        if (found !== null) this.close(job, found.status, found.endedAt ?? endedAt);
        else if (r.kind === 'conflict') this.reread(job);
        else this.runAfter(job);
      },
    };
    job.ending = write;
    this.store.write(write);
  }

  /** The job's record is not what it was taken to be: compared with the old one, no end would ever be written. */
  private reread(job: Job): void {
    job.writing = true;
    this.io.state({ kind: 'get', key: OPEN + job.id }, Rank.owner, (r) => {
      job.writing = false;
      if (r.kind === 'item') {
        job.revision = r.item.revision;
        if (decodeJobRecord(r.item).cancelled) this.foundCancelled(job, r.item);
      }
      this.runAfter(job);
    });
  }

  private close(job: Job, status: 'done' | 'cancelled', at: WallTime): void {
    job.over = true;
    this.open.delete(job.id);
    this.waiting.delete(job);
    this.progress.drop(job);
    this.rememberFinal(job.id, status, at);
    this.io.log('debug', 'job over', { job: job.id, status });
    this.onEnded(job);
    this.onClosed(job, status);
    this.watcher?.closed(job, status, at);
    this.runAfter(job);
  }
}
