// Adds jobs to the job table: submitted jobs, which the leader stores first, and jobs that other controllers
// have stored without the leader.
import { type JobId, NO_REVISION, type Revision, type TeamName, type WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobSpec, StoreItem, StorePut, UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import { type FencedWriter, WritePriority, type WriteResult } from '../storage/fenced-writer.ts';
import { decodeJobRecord, jobRecordPuts } from '../storage/job-record.ts';
import { FINAL_STATE_PREFIX, OPEN_JOB_PREFIX } from '../storage/keys.ts';
import type { FinalStates } from './final-states.ts';
import { Job } from './job.ts';
import type { JobEvents } from './job-events.ts';
import type { JobTermination } from './job-termination.ts';

/** Constructor dependencies of {@link JobAcceptance}. */
export interface JobAcceptanceDependencies {
  io: ControllerIo;
  writer: FencedWriter;
  /** The table's open jobs, to which accepted ones are added. */
  openJobs: Map<JobId, Job>;
  /** The table's jobs with waiting tasks; see `JobTable.waitingJobs`. */
  waitingJobs: Set<Job>;
  finalStates: FinalStates;
  termination: JobTermination;
  events: JobEvents;
}

type Respond = (response: UserResponse) => void;

/** Stores submitted jobs and adds them to the open jobs, as well as jobs that other controllers accepted. */
export class JobAcceptance {
  /** Callbacks to call with the response when the write of a submitted job's record has ended, by job. */
  private readonly pendingResponders = new Map<JobId, Respond[]>();
  /** Number of job records being written for each team. */
  private readonly pendingWritesByTeam = new Map<TeamName, number>();
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly openJobs: Map<JobId, Job>;
  private readonly waitingJobs: Set<Job>;
  private readonly finalStates: FinalStates;
  private readonly termination: JobTermination;
  private readonly events: JobEvents;

  constructor(dependencies: JobAcceptanceDependencies) {
    this.io = dependencies.io;
    this.writer = dependencies.writer;
    this.openJobs = dependencies.openJobs;
    this.waitingJobs = dependencies.waitingJobs;
    this.finalStates = dependencies.finalStates;
    this.termination = dependencies.termination;
    this.events = dependencies.events;
  }

  /** Whether the record of this submitted job is being written. */
  isAccepting(id: JobId): boolean {
    return this.pendingResponders.has(id);
  }

  /**
   * Stores a submitted job and responds when the write has ended; submissions of the same job that are
   * repeated in the meantime get the same response.
   */
  accept(spec: JobSpec, respond: Respond): void {
    const responders = this.pendingResponders.get(spec.id);
    if (responders !== undefined) {
      responders.push(respond);
      return;
    }
    const writeId = this.writer.nextWriteId();
    const acceptedAt = this.io.wallTime;
    const record = { spec, acceptedAt, cancelled: false, writeId, dependencyParts: 0 };
    const puts = jobRecordPuts(record, this.writer.limits);
    if (puts === null) return respond({ kind: 'too-large', reason: 'the job is too large for a record' });
    this.pendingResponders.set(spec.id, [respond]);
    this.writeRecord(spec, acceptedAt, writeId, puts);
  }

  private writeRecord(spec: JobSpec, acceptedAt: WallTime, writeId: string, puts: StorePut[]): void {
    const pendingWrites = this.pendingWritesByTeam.get(spec.team) ?? 0;
    this.pendingWritesByTeam.set(spec.team, pendingWrites + 1);
    const dependencyParts = puts.length - 1;
    this.writer.write({
      conditions: [
        { key: OPEN_JOB_PREFIX + spec.id, revision: NO_REVISION },
        { key: FINAL_STATE_PREFIX + spec.id, revision: NO_REVISION },
      ],
      puts,
      deletes: [],
      verifyKey: OPEN_JOB_PREFIX + spec.id,
      writeId,
      priority: WritePriority.accept,
      teamQueuePosition: pendingWrites,
      onResult: (result) => this.onWritten(spec, acceptedAt, dependencyParts, result),
    });
  }

  private onWritten(spec: JobSpec, acceptedAt: WallTime, dependencyParts: number, result: WriteResult): void {
    const responders = this.pendingResponders.get(spec.id) ?? [];
    this.pendingResponders.delete(spec.id);
    this.decrementPendingWrites(spec.team);
    const respondToAll = (response: UserResponse): void => {
      for (const respond of responders) respond(response);
    };
    if (result.kind === 'ok') {
      const job = this.createJob(spec, result.revision, acceptedAt);
      job.dependencyParts = dependencyParts;
      this.openJobs.set(spec.id, job);
      this.io.log('debug', 'job accepted', { job: spec.id, class: spec.class, tasks: spec.tasks });
      this.notifyOpened(job);
      respondToAll({ kind: 'accepted', id: spec.id });
    } else if (result.kind === 'conflict') this.onAlreadyStored(spec.id, result.item, respondToAll);
    else if (result.kind === 'rejected')
      respondToAll(retryLater('the state service does not take the record'));
    else respondToAll(retryLater('the job service is changing hands'));
  }

  private decrementPendingWrites(team: TeamName): void {
    const pendingWrites = this.pendingWritesByTeam.get(team)! - 1;
    if (pendingWrites > 0) this.pendingWritesByTeam.set(team, pendingWrites);
    else this.pendingWritesByTeam.delete(team);
  }

  /**
   * Responds for a job that was accepted before. `item`: its record, or null if its final state is stored.
   */
  private onAlreadyStored(id: JobId, item: StoreItem | null, respond: Respond): void {
    if (item === null) {
      this.finalStates.read(id, (response) =>
        respond(response.kind === 'ended' ? { kind: 'known', id, status: response.status } : response),
      );
      return;
    }
    // Another controller accepted the job at the same time.
    this.adopt(item);
    const job = this.openJobs.get(id);
    const isStatusKnown = job !== undefined && (job.cancelled || !job.isBlocked);
    respond(
      isStatusKnown
        ? { kind: 'known', id, status: job.status() }
        : retryLater('the job is being taken over from another node'),
    );
  }

  /**
   * Adds a stored job that another controller accepted during this term, unless the table holds it already.
   */
  adopt(item: StoreItem): void {
    const { spec, acceptedAt, cancelled, dependencyParts } = decodeJobRecord(item);
    const { id } = spec;
    // Only leaders write records of several values: the job is in the table already, or the next leader loads
    // it.
    if (dependencyParts > 0) return;
    const openJob = this.openJobs.get(id);
    if (openJob !== undefined && cancelled) return this.termination.onStoredCancellation(openJob, item);
    if (openJob !== undefined || this.pendingResponders.has(id) || this.finalStates.get(id) !== null) return;
    const job = this.createJob(spec, item.revision, acceptedAt);
    job.cancelled = cancelled;
    this.openJobs.set(id, job);
    this.io.log('info', 'job accepted by another controller', { job: id });
    this.notifyOpened(job);
  }

  private createJob(spec: JobSpec, revision: Revision, acceptedAt: WallTime): Job {
    return new Job({
      spec,
      revision,
      acceptedAt,
      seenAt: this.io.now,
      mayHaveUnlocatedTasks: false,
      waitingJobs: this.waitingJobs,
    });
  }

  private notifyOpened(job: Job): void {
    this.events.listener?.onOpened(job);
    if (!job.cancelled) this.events.onAccepted(job);
  }
}
