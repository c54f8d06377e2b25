// Handles submissions and status requests at the leader: accepts or refuses new jobs, and reports the status
// of known jobs.
import type { JobId } from '../../types/index.ts';
import { infeasibilityReason, oversizeReason } from '../admission/feasibility.ts';
import { jitteredRetryS } from '../admission/load-shedder.ts';
import { TeamThrottle } from '../admission/team-throttle.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobSpec, Settings, UserResponse } from '../base/model.ts';
import { asSubmissionResponse, retryLater } from '../base/responses.ts';
import type { Configuration } from '../configuration/configuration.ts';
import type { Dependencies } from '../jobs/dependencies.ts';
import { checkDependencies } from '../jobs/dependency-check.ts';
import type { Job } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { MachineTypeCatalog } from '../machines/machine-type-catalog.ts';
import type { FencedWriter } from '../storage/fenced-writer.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';
import type { Quota } from '../teams/quota.ts';
import type { RecoveryState } from './recovery-state.ts';
import type { UserResponder } from './responders.ts';

/**
 * Write backlog, as the seconds needed to write it, above which submissions of throttled teams get a `retry`
 * response.
 */
const MAX_BACKLOG_S = 3;
/** Multiple of that backlog above which the submissions of all teams get a `retry` response. */
const BACKLOG_LIMIT_FACTOR = 1.5;
/** Maximum number of unfinished dependencies listed in the status of a blocked job. */
const MAX_DEPENDENCIES_LISTED = 20;
const STORE_RETRY_S = 2;

/** The response to a job that can never be accepted as specified, with the reason. */
type Refusal = Extract<UserResponse, { kind: 'impossible' | 'too-large' }>;

/** Dependencies of {@link UserRequestHandler}. */
export interface UserRequestHandlerDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  quota: Quota;
  writer: FencedWriter;
  machineTypes: MachineTypeCatalog;
  jobRecords: JobRecordReader;
  configuration: Configuration;
  dependencies: Dependencies;
  recovery: RecoveryState;
}

/** Accepts and refuses jobs, and reports their status, under one term. */
export class UserRequestHandler {
  private readonly throttle: TeamThrottle;
  private readonly maxBacklog: number;
  private readonly io: ControllerIo;
  private readonly settings: Settings;
  private readonly jobs: JobTable;
  private readonly quota: Quota;
  private readonly writer: FencedWriter;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly jobRecords: JobRecordReader;
  private readonly configuration: Configuration;
  private readonly dependencies: Dependencies;
  private readonly recovery: RecoveryState;

  constructor(dependencies: UserRequestHandlerDependencies) {
    this.io = dependencies.io;
    this.settings = dependencies.settings;
    this.jobs = dependencies.jobs;
    this.quota = dependencies.quota;
    this.writer = dependencies.writer;
    this.machineTypes = dependencies.machineTypes;
    this.jobRecords = dependencies.jobRecords;
    this.configuration = dependencies.configuration;
    this.dependencies = dependencies.dependencies;
    this.recovery = dependencies.recovery;
    this.throttle = new TeamThrottle(dependencies.io);
    this.maxBacklog = Math.ceil(dependencies.settings.store.writesPerS * MAX_BACKLOG_S);
  }

  /** Seconds needed to carry out the pending writes. */
  get backlogS(): number {
    return this.writer.backlog / this.settings.store.writesPerS;
  }

  /**
   * Accepts the job, or responds with the reason why not; a repeated submission gets the status of the job.
   */
  submit(spec: JobSpec, respond: UserResponder): void {
    const known = this.knownSubmission(spec.id);
    if (known !== null) return respond(known);
    if (!this.recovery.isLoaded) return respond(retryLater('the jobs on record are being read'));
    if (this.writer.unavailableSince !== null)
      return respond(retryLater('the state service does not answer', STORE_RETRY_S));
    // Submissions of unconfigured teams are refused below; they must not reduce the even share of submissions
    // that the throttle computes for each team.
    if (this.quota.team(spec.team) !== undefined) this.throttle.recordSubmission(spec.team);
    if (this.isBacklogFullFor(spec)) return respond(this.backlogFullResponse(spec));
    if (this.jobs.isAccepting(spec.id)) return this.jobs.accept(spec, respond);
    const refusal = this.refusalOf(spec);
    if (refusal !== null) return this.refuse(spec, refusal, respond);
    if (spec.dependsOn === undefined) return this.jobs.accept(spec, respond);
    checkDependencies(
      spec,
      (id) => this.dependencyKind(id),
      this.jobRecords,
      respond,
      () => this.acceptChecked(spec, respond),
    );
  }

  /** The status of a job that this leader has in memory; null if its record must be read instead. */
  status(id: JobId): UserResponse | null {
    const job = this.jobs.openJobs.get(id);
    if (job !== undefined) return this.statusOf(job);
    const final = this.jobs.cachedFinalState(id);
    return final === null ? null : { kind: 'ended', id, status: final.status };
  }

  /** The response to a repeated submission; null if the job is not in memory. */
  private knownSubmission(id: JobId): UserResponse | null {
    const job = this.jobs.openJobs.get(id);
    if (job !== undefined) {
      const status = this.statusOf(job);
      return status.kind === 'retry' ? status : { kind: 'known', id, status: job.status() };
    }
    const final = this.jobs.cachedFinalState(id);
    return final === null ? null : { kind: 'known', id, status: final.status };
  }

  /**
   * Above the first limit only teams over their share of submissions are refused, above the second all teams.
   */
  private isBacklogFullFor(spec: JobSpec): boolean {
    const { backlog } = this.writer;
    if (backlog > this.maxBacklog * BACKLOG_LIMIT_FACTOR) return true;
    return backlog > this.maxBacklog && this.throttle.isThrottled(spec.team);
  }

  private backlogFullResponse(spec: JobSpec): UserResponse {
    const retryAfterS = this.throttle.retryAfterS(spec.team, 1 + this.backlogS / 2);
    return retryLater('too many submissions at once', jitteredRetryS(this.io, retryAfterS), true);
  }

  private refusalOf(spec: JobSpec): Refusal | null {
    const { types } = this.machineTypes;
    const infeasible = infeasibilityReason(spec, types, this.configuration.effective.teams);
    if (infeasible !== null) return { kind: 'impossible', reason: infeasible };
    const oversize = oversizeReason(spec, this.settings.store);
    return oversize === null ? null : { kind: 'too-large', reason: oversize };
  }

  /** The kind of a job named as a dependency, `over` if it has ended; null if it is not in memory. */
  private dependencyKind(id: JobId): JobSpec['kind'] | 'over' | null {
    const job = this.jobs.openJobs.get(id);
    if (job !== undefined) return job.spec.kind;
    return this.jobs.cachedFinalState(id) === null ? null : 'over';
  }

  /** The dependencies have been checked; another copy of the submission may have been accepted meanwhile. */
  private acceptChecked(spec: JobSpec, respond: UserResponder): void {
    const known = this.status(spec.id);
    if (known === null) this.jobs.accept(spec, respond);
    else respond(asSubmissionResponse(known));
  }

  /**
   * Refuses the job, unless it has a record: a job that was accepted before, also one just accepted by
   * another controller, is never refused, even if machine types have changed or the repeated submission
   * differs.
   */
  private refuse(spec: JobSpec, refusal: Refusal, respond: UserResponder): void {
    this.jobRecords.readStatus(spec.id, (response) => {
      if (response.kind !== 'not-found') return respond(asSubmissionResponse(response));
      this.io.log('info', 'job refused', { job: spec.id, reason: refusal.reason });
      respond(refusal);
    });
  }

  private statusOf(job: Job): UserResponse {
    const { id } = job;
    if (job.cancelled) return { kind: 'ended', id, status: 'cancelled' };
    if (job.mayHaveEnded) return RETRY_WHILE_ENDING;
    if (this.dependencies.mayBeCancelledByDependency(job)) return RETRY_WHILE_UNCERTAIN;
    return {
      kind: 'status',
      id,
      status: job.status(),
      done: Math.min(job.doneCount, job.spec.tasks),
      running: job.runningTasks,
      ...dependenciesOf(job),
      ...this.waitReasonOf(job),
    };
  }

  /** A waiting job may exceed its team's limit if the limit was lowered after the job was accepted. */
  private waitReasonOf(job: Job): { reason?: string } {
    if (!this.configuration.hasDocuments || job.unplacedTasks === 0) return {};
    const reason = this.quota.violation(job.spec);
    return reason === null ? {} : { reason };
  }
}

/** The first of the unfinished dependencies of a job, if it has any. */
function dependenciesOf(job: Job): { dependsOn?: JobId[] } {
  if (job.unmetDependencies.size === 0) return {};
  return { dependsOn: [...job.unmetDependencies].slice(0, MAX_DEPENDENCIES_LISTED) };
}

const RETRY_WHILE_UNCERTAIN = retryLater('the jobs that it awaits are being read');
const RETRY_WHILE_ENDING = retryLater('its end or its cancellation is being written');
