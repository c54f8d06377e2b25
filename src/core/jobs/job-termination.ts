// Cancellation and the final state of jobs. Both are writes to the job's record, conditional on its revision,
// so that `done` and `cancelled` exclude each other. A user is told of either only once it is stored.
import type { JobId, Revision, WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreItem, UserResponse } from '../base/model.ts';
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
  dependencyPartKeys,
  encodeFinalState,
  encodeJobRecord,
  type FinalState,
  type JobRecord,
} from '../storage/job-record.ts';
import { FINAL_STATE_PREFIX, OPEN_JOB_PREFIX } from '../storage/keys.ts';
import type { ArrayProgress } from './array-progress.ts';
import type { FinalStates } from './final-states.ts';
import type { Job } from './job.ts';
import type { FinalStatus, JobEvents } from './job-events.ts';

/** What {@link JobTermination} depends on. */
export interface JobTerminationDependencies {
  io: ControllerIo;
  writer: FencedWriter;
  /** The table's open jobs, from which ended ones are removed. */
  openJobs: Map<JobId, Job>;
  /** The table's jobs with waiting tasks; see `JobTable.waitingJobs`. */
  waitingJobs: Set<Job>;
  progress: ArrayProgress;
  finalStates: FinalStates;
  events: JobEvents;
}

/** Writes that cancel or end a job, one at a time for each job. */
export class JobTermination {
  /** Number of cancellations being written; see `Job.cancelRequested`. */
  pendingCancellations = 0;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly openJobs: Map<JobId, Job>;
  private readonly waitingJobs: Set<Job>;
  private readonly progress: ArrayProgress;
  private readonly finalStates: FinalStates;
  private readonly events: JobEvents;

  constructor(dependencies: JobTerminationDependencies) {
    this.io = dependencies.io;
    this.writer = dependencies.writer;
    this.openJobs = dependencies.openJobs;
    this.waitingJobs = dependencies.waitingJobs;
    this.progress = dependencies.progress;
    this.finalStates = dependencies.finalStates;
    this.events = dependencies.events;
  }

  /**
   * Cancels the job at its user's request, and responds once that is stored. No more of its tasks start from
   * the request on, before the cancellation is stored: if the write is executed but its reply is lost, a
   * controller that reads the record tells the user that the job is cancelled while this leader does not know
   * it (docs/safety.md, point 15).
   */
  cancel(job: Job, respond: (response: UserResponse) => void): void {
    if (job.cancelled) return respond({ kind: 'ended', id: job.id, status: 'cancelled' });
    if (job.isWritingRecord) {
      // Whichever write comes first decides; the other one's user is told its outcome.
      job.afterEnd.push(() => this.cancelAfterWrite(job, respond));
      return;
    }
    job.cancelRequested = true;
    this.pendingCancellations++;
    this.events.onEnded(job);
    const writeId = this.writer.nextWriteId();
    const key = OPEN_JOB_PREFIX + job.id;
    const write: FencedWrite = {
      conditions: [{ key, revision: job.revision }],
      puts: [{ key, value: encodeJobRecord(this.cancelledRecord(job, writeId)) }],
      deletes: [],
      verifyKey: key,
      writeId,
      priority: WritePriority.cancel,
      onResult: (result) => {
        job.cancelRequested = false;
        this.pendingCancellations--;
        this.onCancellationResult(job, result, respond);
      },
    };
    this.sendTerminalWrite(job, write);
  }

  private cancelAfterWrite(job: Job, respond: (response: UserResponse) => void): void {
    const final = this.finalStates.get(job.id);
    if (final !== null) respond({ kind: 'ended', id: job.id, status: final.status });
    else this.cancel(job, respond);
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

  private onCancellationResult(
    job: Job,
    result: WriteResult,
    respond: (response: UserResponse) => void,
  ): void {
    // The term is over: the user is answered by the next leader, or from the store.
    if (result.kind === 'lost') return respond(retryLater('the job service is changing hands'));
    const revision = revisionAfter(result);
    if (revision !== null) job.revision = revision;
    if (isCancellationStored(result)) {
      this.markCancelled(job);
      respond({ kind: 'ended', id: job.id, status: 'cancelled' });
    } else {
      this.events.onCancellationFailed();
      respond(retryLater('the job is changing'));
    }
    runAfterWrite(job);
  }

  /**
   * The stored record says that the job is cancelled: by a copy of a write that was given up as refused and
   * executed late. Every controller that reads the record says so, and from now on this one too.
   */
  onStoredCancellation(job: Job, item: StoreItem): void {
    if (job.cancelled || job.isWritingRecord) return;
    job.revision = item.revision;
    this.markCancelled(job);
    runAfterWrite(job);
  }

  private markCancelled(job: Job): void {
    job.cancelled = true;
    this.io.log('info', 'job cancelled', { job: job.id });
    this.events.onEnded(job);
    this.events.listener?.onCancelled(job);
  }

  /** Stores the job's final state in place of its record, unless a write to the record is under way. */
  finish(job: Job): void {
    if (job.isWritingRecord) return;
    const status = job.cancelled ? 'cancelled' : 'done';
    const writeId = this.writer.nextWriteId();
    const endedAt = this.io.wallTime;
    const openKey = OPEN_JOB_PREFIX + job.id;
    const finalKey = FINAL_STATE_PREFIX + job.id;
    const final: FinalState = { status, writeId, endedAt };
    const isNeeded = this.events.listener?.isNeeded(job.id);
    this.sendTerminalWrite(job, {
      conditions: [{ key: openKey, revision: job.revision }],
      puts: [{ key: finalKey, value: encodeFinalState(final) }],
      deletes: [openKey, ...dependencyPartKeys(job.id, job.dependencyParts)],
      verifyKey: finalKey,
      writeId,
      priority: isNeeded ? WritePriority.finalWithDependents : WritePriority.final,
      onResult: (result) => this.onFinalStateResult(job, status, endedAt, result),
    });
  }

  private onFinalStateResult(job: Job, status: FinalStatus, endedAt: WallTime, result: WriteResult): void {
    if (result.kind === 'ok') return this.close(job, status, endedAt);
    if (result.kind === 'lost') return;
    this.io.log('info', 'final state not written', { job: job.id, result: result.kind });
    if (result.kind !== 'conflict') return runAfterWrite(job);
    if (result.item === null) return this.readRecordAgain(job);
    // An earlier copy of the write was executed: what it stored is what users are told.
    const stored = decodeFinalState(result.item);
    this.close(job, stored.status, stored.endedAt ?? endedAt);
  }

  /**
   * The stored record has another revision than the one known: conditional on that, no final state could be
   * written.
   */
  private readRecordAgain(job: Job): void {
    job.isWritingRecord = true;
    this.io.store({ kind: 'get', key: OPEN_JOB_PREFIX + job.id }, StorePriority.leader, (reply) => {
      job.isWritingRecord = false;
      if (reply.kind === 'item') {
        job.revision = reply.item.revision;
        if (decodeJobRecord(reply.item).cancelled) this.onStoredCancellation(job, reply.item);
      }
      runAfterWrite(job);
    });
  }

  private close(job: Job, status: FinalStatus, endedAt: WallTime): void {
    job.isOver = true;
    this.openJobs.delete(job.id);
    this.waitingJobs.delete(job);
    this.progress.remove(job);
    this.finalStates.set(job.id, status, endedAt);
    this.io.log('debug', 'job ended', { job: job.id, status });
    this.events.onEnded(job);
    this.events.onClosed(job, status);
    this.events.listener?.onClosed(job, status, endedAt);
    runAfterWrite(job);
  }

  /**
   * Sends the write that cancels or ends the job. Until its result no other write to the job's record is
   * begun.
   */
  private sendTerminalWrite(job: Job, write: FencedWrite): void {
    const { onResult } = write;
    write.onResult = (result) => {
      job.isWritingRecord = false;
      job.terminalWrite = null;
      onResult(result);
    };
    job.isWritingRecord = true;
    job.terminalWrite = write;
    this.writer.write(write);
  }
}

/** The revision of the job's record after a write that cancels it; null if it is not known. */
function revisionAfter(result: WriteResult): Revision | null {
  if (result.kind === 'ok') return result.revision;
  return result.kind === 'conflict' && result.item !== null ? result.item.revision : null;
}

/** Whether the record says that the job is cancelled: by this write, or by an earlier copy of it. */
function isCancellationStored(result: WriteResult): boolean {
  if (result.kind === 'ok') return true;
  return result.kind === 'conflict' && result.item !== null && decodeJobRecord(result.item).cancelled;
}

function runAfterWrite(job: Job): void {
  for (const callback of job.afterEnd.splice(0)) callback();
}
