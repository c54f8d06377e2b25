// Jobs of the share: acceptance, done bitmaps, cancels and final states. Everything a user is told
// is committed first; the job's record changes by compare-and-set only, so done and cancelled exclude each other.
import type { JobId, Revision, TeamName, WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobSpec, StoreCondition, StoreItem, StorePut, UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import {
  type FencedWrite,
  type FencedWriter,
  jsonBytes,
  WritePriority,
  type WriteResult,
} from '../storage/fenced-writer.ts';
import {
  decodeFinalState,
  decodeJobRecord,
  dependenciesInPart,
  dependencyPartKeys,
  encodeFinalState,
  encodeJobRecord,
  type FinalState,
  type JobRecord,
  jobRecordPuts,
} from '../storage/job-record.ts';
import { DEPENDENCY_PART_PREFIX, FINAL_STATE_PREFIX, OPEN_JOB_PREFIX } from '../storage/keys.ts';
import type { ArrayProgress } from './array-progress.ts';
import { Job } from './job.ts';

const FINALS_KEPT = 20_000;

/** Who follows how jobs come and go for the sake of those that await them; see dependencies.ts. */
export interface JobListener {
  isNeeded(id: JobId): boolean;
  onOpened(job: Job): void;
  /** Its cancellation is on record. */
  onCancelled(job: Job): void;
  onClosed(job: Job, status: 'done' | 'cancelled', at: WallTime): void;
}

interface Final {
  status: 'done' | 'cancelled';
  at: WallTime;
}

export class JobTable {
  readonly openJobs = new Map<JobId, Job>();
  /** Open jobs with tasks that wait for a place. */
  readonly waitingJobs = new Set<Job>();
  private readonly finals = new Map<JobId, Final>();
  /** Jobs whose cancellation is being written. */
  readonly cancelRequested = new Set<Job>();
  private readonly accepting = new Map<JobId, ((a: UserResponse) => void)[]>();
  /** Acceptances of each team that are being written. */
  private readonly beingAccepted = new Map<TeamName, number>();
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly progress: ArrayProgress;
  listener: JobListener | null = null;
  onAccepted: (job: Job) => void = () => {};
  /** A job ended: take its tasks out of queues. */
  onEnded: (job: Job) => void = () => {};
  /** A job that was asked to be cancelled goes on: the state service would not take the mark. */
  onCancellationFailed: () => void = () => {};
  /** Its final state is on record. */
  onClosed: (job: Job, status: 'done' | 'cancelled') => void = () => {};

  constructor(io: ControllerIo, store: FencedWriter, progress: ArrayProgress) {
    this.io = io;
    this.writer = store;
    this.progress = progress;
  }

  restore(item: StoreItem): void {
    const { spec, acceptedAt, cancelled, dependencyParts } = decodeJobRecord(item);
    const job = new Job(spec, item.revision, acceptedAt, this.io.now, true, this.waitingJobs);
    job.cancelled = cancelled;
    job.dependencyParts = dependencyParts;
    this.openJobs.set(spec.id, job);
  }

  /** Whether any job's record has further values. */
  get hasDependencyParts(): boolean {
    for (const job of this.openJobs.values()) if (job.dependencyParts > 0) return true;
    return false;
  }

  /** A further value of a job's record that has been loaded. */
  restoreDependencyPart(item: StoreItem): void {
    const job = this.openJobs.get(
      item.key.slice(DEPENDENCY_PART_PREFIX.length, item.key.lastIndexOf('/')) as JobId,
    );
    job?.spec.dependsOn?.push(...dependenciesInPart(item));
  }

  /** A job on record that this owner does not know: taken in by another node under this term, and started by nobody. */
  adopt(item: StoreItem): void {
    const { spec, acceptedAt, cancelled, dependencyParts } = decodeJobRecord(item);
    const { id } = spec;
    // Records of several values are made by owners only: this one is known, or is for the next owner to read.
    if (dependencyParts > 0) return;
    const known = this.openJobs.get(id);
    if (known !== undefined && cancelled) return this.foundCancelled(known, item);
    if (known !== undefined || this.accepting.has(id) || this.finals.has(id)) return;
    const job = new Job(spec, item.revision, acceptedAt, this.io.now, false, this.waitingJobs);
    job.cancelled = cancelled;
    this.openJobs.set(id, job);
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
  private foundCancelled(job: Job, item: StoreItem): void {
    if (job.cancelled || job.isWritingRecord) return;
    job.revision = item.revision;
    this.setCancelled(job);
    this.runAfter(job);
  }

  private setCancelled(job: Job): void {
    job.cancelled = true;
    this.io.log('info', 'job cancelled', { job: job.id });
    this.onEnded(job);
    this.listener?.onCancelled(job);
  }

  private opened(job: Job): void {
    this.listener?.onOpened(job);
    if (!job.cancelled) this.onAccepted(job);
  }

  finalState(id: JobId): Final | null {
    return this.finals.get(id) ?? null;
  }

  cacheFinalState(id: JobId, status: 'done' | 'cancelled', at: WallTime = 0 as WallTime): void {
    this.finals.set(id, { status, at });
    if (this.finals.size <= FINALS_KEPT) return;
    for (const oldest of this.finals.keys()) {
      this.finals.delete(oldest);
      break;
    }
  }

  accept(spec: JobSpec, answer: (a: UserResponse) => void): void {
    const waiters = this.accepting.get(spec.id);
    if (waiters !== undefined) {
      waiters.push(answer);
      return;
    }
    const writeId = this.writer.nextWriteId();
    const acceptedAt = this.io.wallTime;
    const record = { spec, acceptedAt, cancelled: false, writeId, dependencyParts: 0 };
    const puts = jobRecordPuts(record, this.writer.limits);
    if (puts === null) return answer({ kind: 'too-large', reason: 'the job is too large for a record' });
    this.accepting.set(spec.id, [answer]);
    const turn = this.beingAccepted.get(spec.team) ?? 0;
    this.beingAccepted.set(spec.team, turn + 1);
    this.writer.write({
      conditions: [
        { key: OPEN_JOB_PREFIX + spec.id, revision: 0 as Revision },
        { key: FINAL_STATE_PREFIX + spec.id, revision: 0 as Revision },
      ],
      puts,
      deletes: [],
      verifyKey: OPEN_JOB_PREFIX + spec.id,
      writeId,
      priority: WritePriority.accept,
      turn,
      onResult: (r) => this.onAccept(spec, acceptedAt, puts.length - 1, r),
    });
  }

  private onAccept(spec: JobSpec, acceptedAt: WallTime, parts: number, r: WriteResult): void {
    const waiters = this.accepting.get(spec.id) ?? [];
    this.accepting.delete(spec.id);
    const left = this.beingAccepted.get(spec.team)! - 1;
    if (left > 0) this.beingAccepted.set(spec.team, left);
    else this.beingAccepted.delete(spec.team);
    if (r.kind === 'ok') {
      const job = new Job(spec, r.revision, acceptedAt, this.io.now, false, this.waitingJobs);
      job.dependencyParts = parts;
      this.openJobs.set(spec.id, job);
      this.io.log('debug', 'job accepted', { job: spec.id, class: spec.class, tasks: spec.tasks });
      this.opened(job);
      for (const w of waiters) w({ kind: 'accepted', id: spec.id });
    } else if (r.kind === 'conflict' && r.item !== null) {
      // Another node took it in at the same moment.
      this.adopt(r.item);
      const job = this.openJobs.get(spec.id);
      const told = job !== undefined && (job.cancelled || !job.isBlocked);
      for (const w of waiters)
        w(
          told
            ? { kind: 'known', id: spec.id, status: job.status() }
            : retryLater('the job is being taken over from another node'),
        );
    } else if (r.kind === 'rejected') {
      for (const w of waiters) w(retryLater('the state service does not take the record'));
    } else if (r.kind === 'conflict') {
      // The job is known from before: its final state is on record.
      this.readFinalState(spec.id, (a) => {
        for (const w of waiters) w(a.kind === 'ended' ? { kind: 'known', id: spec.id, status: a.status } : a);
      });
    } else for (const w of waiters) w(retryLater('the job service is changing hands'));
  }

  readFinalState(id: JobId, answer: (a: UserResponse) => void): void {
    this.io.store({ kind: 'get', key: FINAL_STATE_PREFIX + id }, StorePriority.query, (r) => {
      if (r.kind === 'item') {
        const { status, endedAt } = decodeFinalState(r.item);
        this.cacheFinalState(id, status, endedAt ?? undefined);
        answer({ kind: 'ended', id, status });
      } else if (r.kind === 'missing') answer({ kind: 'not-found' });
      else answer(retryLater('the state service does not answer'));
    });
  }

  /**
   * The job is given up at the request, before its mark is on record: nobody has any use for its work from then on. If
   * the mark is carried out without an answer, a node that reads the record tells the user that it is cancelled while
   * this owner, refused by the state service from then on, does not know it (docs/safety.md, point 15).
   */
  cancel(job: Job, answer: (a: UserResponse) => void): void {
    if (job.cancelled) return answer({ kind: 'ended', id: job.id, status: 'cancelled' });
    if (job.isWritingRecord) {
      // Whichever write is first decides; the other is told its outcome.
      job.afterEnd.push(() => this.cancelAgain(job, answer));
      return;
    }
    job.isWritingRecord = true;
    job.cancelRequested = true;
    this.cancelRequested.add(job);
    this.onEnded(job);
    const writeId = this.writer.nextWriteId();
    const value = encodeJobRecord(this.cancelledRecord(job, writeId));
    const write: FencedWrite = {
      conditions: [{ key: OPEN_JOB_PREFIX + job.id, revision: job.revision }],
      puts: [{ key: OPEN_JOB_PREFIX + job.id, value }],
      deletes: [],
      verifyKey: OPEN_JOB_PREFIX + job.id,
      writeId,
      priority: WritePriority.cancel,
      onResult: (r) => {
        job.isWritingRecord = false;
        job.cancelRequested = false;
        job.terminalWrite = null;
        this.cancelRequested.delete(job);
        this.onCancelWritten(job, r, answer);
      },
    };
    job.terminalWrite = write;
    this.writer.write(write);
  }

  private onCancelWritten(job: Job, r: WriteResult, answer: (a: UserResponse) => void): void {
    // The term is over: whoever waits here is answered by the next owner, or by the record.
    if (r.kind === 'lost') return answer(retryLater('the job service is changing hands'));
    const marked =
      r.kind === 'ok' || (r.kind === 'conflict' && r.item !== null && decodeJobRecord(r.item).cancelled);
    if (r.kind === 'ok') job.revision = r.revision;
    // Written by a copy of an earlier try: compared with what is there from now on.
    else if (r.kind === 'conflict' && r.item !== null) job.revision = r.item.revision;
    if (marked) {
      this.setCancelled(job);
      answer({ kind: 'ended', id: job.id, status: 'cancelled' });
    } else {
      this.onCancellationFailed();
      answer(retryLater('the job is changing'));
    }
    this.runAfter(job);
  }

  /** A record from before the limits fell may be too large to write again; a cancelled job needs no lists. */
  private cancelledRecord(job: Job, writeId: string): JobRecord {
    const { spec, acceptedAt, dependencyParts } = job;
    const record = { spec, acceptedAt, cancelled: true, writeId, dependencyParts };
    if (dependencyParts === 0 && jsonBytes(encodeJobRecord(record)) <= this.writer.maxValueBytes)
      return record;
    const { dependsOn: _, ...rest } = spec;
    return { ...record, spec: { ...rest, machineTypes: null } };
  }

  private cancelAgain(job: Job, answer: (a: UserResponse) => void): void {
    const final = this.finals.get(job.id);
    if (final !== undefined) answer({ kind: 'ended', id: job.id, status: final.status });
    else this.cancel(job, answer);
  }

  private runAfter(job: Job): void {
    for (const f of job.afterEnd.splice(0)) f();
  }

  /** A machine reported the task's result. */
  completeTask(job: Job, index: number): void {
    if (job.spec.kind === 'service' || !job.setDone(index)) return;
    // The tasks of a gang complete together. Waited for one by one, they may never all be heard: where a result is kept
    // the task ends at once when it is started again, and the others wait for it in vain.
    if (job.spec.kind === 'gang') for (let i = 0; i < job.spec.tasks; i++) job.setDone(i);
    if (job.remainingTasks === 0) this.finish(job);
    else this.progress.markChanged(job, index);
  }

  /** Whether the machine may forget this task's result. */
  isResultRecorded(job: Job | undefined, index: number): boolean {
    if (job === undefined || job.cancelled || job.spec.kind === 'service') return true;
    return job.isRecorded(index);
  }

  tick(): void {
    for (const job of this.openJobs.values()) {
      if (job.cancelled) {
        if (job.assignedTasks === 0 && job.unlocatedTasks === 0) this.finish(job);
      } else if (job.remainingTasks === 0) this.finish(job);
    }
    this.progress.tick();
  }

  /** Moves the job's record to its final place; the one write after which it is called done. */
  private finish(job: Job): void {
    if (job.isWritingRecord || job.isWritingFinalState) return;
    job.isWritingRecord = true;
    job.isWritingFinalState = true;
    const status = job.cancelled ? 'cancelled' : 'done';
    const writeId = this.writer.nextWriteId();
    const conditions: StoreCondition[] = [{ key: OPEN_JOB_PREFIX + job.id, revision: job.revision }];
    const deletes = [OPEN_JOB_PREFIX + job.id, ...dependencyPartKeys(job.id, job.dependencyParts)];
    const endedAt = this.io.wallTime;
    const final: FinalState = { status, writeId, endedAt };
    const puts: StorePut[] = [{ key: FINAL_STATE_PREFIX + job.id, value: encodeFinalState(final) }];
    const write: FencedWrite = {
      conditions,
      puts,
      deletes,
      verifyKey: FINAL_STATE_PREFIX + job.id,
      writeId,
      priority: this.listener?.isNeeded(job.id) ? WritePriority.finalWithDependents : WritePriority.final,
      onResult: (r) => {
        job.isWritingRecord = false;
        job.isWritingFinalState = false;
        job.terminalWrite = null;
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
    job.terminalWrite = write;
    this.writer.write(write);
  }

  /** The job's record is not what it was taken to be: compared with the old one, no end would ever be written. */
  private reread(job: Job): void {
    job.isWritingRecord = true;
    this.io.store({ kind: 'get', key: OPEN_JOB_PREFIX + job.id }, StorePriority.leader, (r) => {
      job.isWritingRecord = false;
      if (r.kind === 'item') {
        job.revision = r.item.revision;
        if (decodeJobRecord(r.item).cancelled) this.foundCancelled(job, r.item);
      }
      this.runAfter(job);
    });
  }

  private close(job: Job, status: 'done' | 'cancelled', at: WallTime): void {
    job.isOver = true;
    this.openJobs.delete(job.id);
    this.waitingJobs.delete(job);
    this.progress.remove(job);
    this.cacheFinalState(job.id, status, at);
    this.io.log('debug', 'job over', { job: job.id, status });
    this.onEnded(job);
    this.onClosed(job, status);
    this.listener?.onClosed(job, status, at);
    this.runAfter(job);
  }
}
