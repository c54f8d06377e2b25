// How jobs enter the table: submissions that the leader stores, and jobs that other controllers have stored
// without it.
import type { JobId, Revision, TeamName, WallTime } from '../../types/index.ts';
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

/** What {@link JobAcceptance} depends on. */
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

/** Stores submitted jobs and opens them; opens jobs that other controllers have accepted. */
export class JobAcceptance {
  /** Users to answer when the record of a submitted job has been written, by job. */
  private readonly accepting = new Map<JobId, Respond[]>();
  /** Acceptances of each team that are being written. */
  private readonly pendingByTeam = new Map<TeamName, number>();
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
    return this.accepting.has(id);
  }

  /**
   * Stores a submitted job and responds once that is done; a repeated submission meanwhile shares the
   * outcome.
   */
  accept(spec: JobSpec, respond: Respond): void {
    const responders = this.accepting.get(spec.id);
    if (responders !== undefined) {
      responders.push(respond);
      return;
    }
    const writeId = this.writer.nextWriteId();
    const acceptedAt = this.io.wallTime;
    const record = { spec, acceptedAt, cancelled: false, writeId, dependencyParts: 0 };
    const puts = jobRecordPuts(record, this.writer.limits);
    if (puts === null) return respond({ kind: 'too-large', reason: 'the job is too large for a record' });
    this.accepting.set(spec.id, [respond]);
    this.writeRecord(spec, acceptedAt, writeId, puts);
  }

  private writeRecord(spec: JobSpec, acceptedAt: WallTime, writeId: string, puts: StorePut[]): void {
    const pending = this.pendingByTeam.get(spec.team) ?? 0;
    this.pendingByTeam.set(spec.team, pending + 1);
    const dependencyParts = puts.length - 1;
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
      turn: pending,
      onResult: (result) => this.onWritten(spec, acceptedAt, dependencyParts, result),
    });
  }

  private onWritten(spec: JobSpec, acceptedAt: WallTime, dependencyParts: number, result: WriteResult): void {
    const responders = this.accepting.get(spec.id) ?? [];
    this.accepting.delete(spec.id);
    this.countWritten(spec.team);
    const respondToAll = (response: UserResponse): void => {
      for (const respond of responders) respond(response);
    };
    if (result.kind === 'ok') {
      const job = this.newJob(spec, result.revision, acceptedAt);
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

  private countWritten(team: TeamName): void {
    const pending = this.pendingByTeam.get(team)! - 1;
    if (pending > 0) this.pendingByTeam.set(team, pending);
    else this.pendingByTeam.delete(team);
  }

  /** The job was accepted before: its record is stored (`item`), or its final state (null). */
  private onAlreadyStored(id: JobId, item: StoreItem | null, respond: Respond): void {
    if (item === null) {
      this.finalStates.read(id, (response) =>
        respond(response.kind === 'ended' ? { kind: 'known', id, status: response.status } : response),
      );
      return;
    }
    // Another controller accepted it at the same moment.
    this.adopt(item);
    const job = this.openJobs.get(id);
    const isStatusKnown = job !== undefined && (job.cancelled || !job.isBlocked);
    respond(
      isStatusKnown
        ? { kind: 'known', id, status: job.status() }
        : retryLater('the job is being taken over from another node'),
    );
  }

  /** Opens a stored job that this leader does not know: another controller accepted it during this term. */
  adopt(item: StoreItem): void {
    const { spec, acceptedAt, cancelled, dependencyParts } = decodeJobRecord(item);
    const { id } = spec;
    // Only leaders write records of several values: this one is known, or is left to the next leader.
    if (dependencyParts > 0) return;
    const known = this.openJobs.get(id);
    if (known !== undefined && cancelled) return this.termination.onStoredCancellation(known, item);
    if (known !== undefined || this.accepting.has(id) || this.finalStates.get(id) !== null) return;
    const job = this.newJob(spec, item.revision, acceptedAt);
    job.cancelled = cancelled;
    this.openJobs.set(id, job);
    this.io.log('info', 'job accepted by another controller', { job: id });
    this.notifyOpened(job);
  }

  private newJob(spec: JobSpec, revision: Revision, acceptedAt: WallTime): Job {
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
