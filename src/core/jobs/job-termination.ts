// Writes cancellations and final states of jobs. Both are writes to the job's record that are conditional on
// its revision, so that `done` and `cancelled` exclude each other. Responses to users report either only once
// it is stored.
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

/** Constructor dependencies of {@link JobTermination}. */
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

/** Sends the writes that cancel or end jobs, at most one at a time for each job. */
export class JobTermination {
  /** Number of cancellations being written; see `Job.cancelRequested`. */
  pendingCancellationCount = 0;
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
   * Cancels the job at its user's request, and responds once the cancellation is stored. No more of its tasks
   * start from the request on, even before the cancellation is stored: if the write is executed but its reply
   * is lost, a controller that reads the record responds to the user that the job is cancelled while this
   * leader has no reply yet (docs/safety.md, point 15).
   */
  cancel(job: Job, respond: (response: UserResponse) => void): void {
    if (job.cancelled) return respond({ kind: 'ended', id: job.id, status: 'cancelled' });
    if (job.isWritingRecord) {
      // The write in progress may end the job: only its outcome decides how this request is answered.
      job.afterWriteCallbacks.push(() => this.cancelAfterWrite(job, respond));
      return;
    }
    job.cancelRequested = true;
    this.pendingCancellationCount++;
    this.events.onSchedulingEnded(job);
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
        this.pendingCancellationCount--;
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

  /**
   * The record of the cancelled job. It is written without the lists of dependencies and machine types,
   * which a cancelled job does not need, if it has several values or, since the limits were lowered, is too
   * large.
   */
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
    // The term is over: when the user retries, the next leader responds, or another controller from the
    // store.
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
   * Marks the job as cancelled because its stored record says so: the store executed a copy of a cancelling
   * write late, after this leader had given the write up as refused. All controllers that read the record
   * report the job as cancelled.
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
    this.events.onSchedulingEnded(job);
    this.events.listener?.onCancelled(job);
  }

  /** Replaces the job's record by its final state, unless a write to the record is in progress. */
  finish(job: Job): void {
    if (job.isWritingRecord) return;
    const status = job.cancelled ? 'cancelled' : 'done';
    const writeId = this.writer.nextWriteId();
    const endedAt = this.io.wallTime;
    const openKey = OPEN_JOB_PREFIX + job.id;
    const finalKey = FINAL_STATE_PREFIX + job.id;
    const final: FinalState = { status, writeId, endedAt };
    const hasDependents = this.events.listener?.hasOpenDependents(job.id);
    this.sendTerminalWrite(job, {
      conditions: [{ key: openKey, revision: job.revision }],
      puts: [{ key: finalKey, value: encodeFinalState(final) }],
      deletes: [openKey, ...dependencyPartKeys(job.id, job.dependencyParts)],
      verifyKey: finalKey,
      writeId,
      priority: hasDependents ? WritePriority.finalWithDependents : WritePriority.final,
      onResult: (result) => this.onFinalStateResult(job, status, endedAt, result),
    });
  }

  private onFinalStateResult(job: Job, status: FinalStatus, endedAt: WallTime, result: WriteResult): void {
    if (result.kind === 'ok') return this.close(job, status, endedAt);
    if (result.kind === 'lost') return;
    this.io.log('info', 'final state not written', { job: job.id, result: result.kind });
    if (result.kind !== 'conflict') return runAfterWrite(job);
    if (result.item === null) return this.refreshRevision(job);
    // An earlier copy of the write was executed: the state that it stored is the one reported to users.
    const stored = decodeFinalState(result.item);
    this.close(job, stored.status, stored.endedAt ?? endedAt);
  }

  /**
   * Reads the job's record to get its current revision. The known revision is outdated, and a final state
   * whose write is conditional on it could never be stored.
   */
  private refreshRevision(job: Job): void {
    job.isWritingRecord = true;
    this.io.sendStoreRequest(
      { kind: 'get', key: OPEN_JOB_PREFIX + job.id },
      StorePriority.leader,
      (reply) => {
        job.isWritingRecord = false;
        if (reply.kind === 'item') {
          job.revision = reply.item.revision;
          if (decodeJobRecord(reply.item).cancelled) this.onStoredCancellation(job, reply.item);
        }
        runAfterWrite(job);
      },
    );
  }

  private close(job: Job, status: FinalStatus, endedAt: WallTime): void {
    job.isOver = true;
    this.openJobs.delete(job.id);
    this.waitingJobs.delete(job);
    this.progress.remove(job);
    this.finalStates.set(job.id, status, endedAt);
    this.io.log('debug', 'job ended', { job: job.id, status });
    this.events.onSchedulingEnded(job);
    this.events.onClosed(job, status);
    this.events.listener?.onClosed(job, status, endedAt);
    runAfterWrite(job);
  }

  /**
   * Sends the write that cancels or ends the job. No other write to the job's record is started before its
   * result.
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

/** Revision of the job's record after a cancelling write; null if it is not known. */
function revisionAfter(result: WriteResult): Revision | null {
  if (result.kind === 'ok') return result.revision;
  return result.kind === 'conflict' && result.item !== null ? result.item.revision : null;
}

/** Whether the stored record says that the job is cancelled, by this write or an earlier copy of it. */
function isCancellationStored(result: WriteResult): boolean {
  if (result.kind === 'ok') return true;
  return result.kind === 'conflict' && result.item !== null && decodeJobRecord(result.item).cancelled;
}

function runAfterWrite(job: Job): void {
  for (const callback of job.afterWriteCallbacks.splice(0)) callback();
}
