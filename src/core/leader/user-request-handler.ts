// What users ask of the owner: new jobs, and what has become of those that it holds.

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

/** Accepting work stops while more writes wait than can be made in this time: users are told to come back instead. */
const MAX_BACKLOG_S = 3;
/** So many times that much may wait while it is others who ask for too much. */
const BACKLOG_SPARE = 1.5;
/** Of the jobs that a waiting one awaits, so many are told. */
const DEPENDENCIES_SHOWN = 20;
/** What {@link UserRequestHandler} depends on. */
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
  /** Whether all records have been read. */
  isLoaded: () => boolean;
}

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
  private readonly isLoaded: () => boolean;

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
    this.isLoaded = dependencies.isLoaded;
    const { io, settings } = dependencies;
    this.throttle = new TeamThrottle(io);
    this.maxBacklog = Math.ceil(settings.store.writesPerS * MAX_BACKLOG_S);
  }

  /** Seconds that it takes to write what waits to be written. */
  get backlogS(): number {
    return this.writer.backlog / this.settings.store.writesPerS;
  }

  submit(spec: JobSpec, answer: (a: UserResponse) => void): void {
    const job = this.jobs.openJobs.get(spec.id);
    if (job !== undefined) {
      const a = this.statusOf(job);
      return answer(a.kind === 'retry' ? a : { kind: 'known', id: spec.id, status: job.status() });
    }
    const final = this.jobs.finalState(spec.id);
    if (final !== null) return answer({ kind: 'known', id: spec.id, status: final.status });
    if (!this.isLoaded()) return answer(retryLater('the jobs on record are being read'));
    if (this.writer.unavailableSince !== null)
      return answer(retryLater('the state service does not answer', 2));
    // A team that the settings do not name is refused below, and must not count among those that submissions are shared among.
    if (this.quota.team(spec.team) !== undefined) this.throttle.recordSubmission(spec.team);
    // Beyond the first bound those who ask for more than their part are sent back, beyond the second everybody.
    const { backlog } = this.writer;
    if (
      backlog > this.maxBacklog * BACKLOG_SPARE ||
      (backlog > this.maxBacklog && this.throttle.isThrottled(spec.team))
    ) {
      const afterS = this.throttle.retryAfterS(spec.team, 1 + this.backlogS / 2);
      return answer(retryLater('too many submissions at once', jitteredRetryS(this.io, afterS), true));
    }
    if (this.jobs.isAccepting(spec.id)) return this.jobs.accept(spec, answer);
    const reason = infeasibilityReason(spec, this.machineTypes.types, this.configuration.effective.teams);
    if (reason !== null) return this.refuse(spec, { kind: 'impossible', reason }, answer);
    const large = oversizeReason(spec, this.settings.store);
    if (large !== null) return this.refuse(spec, { kind: 'too-large', reason: large }, answer);
    if (spec.dependsOn === undefined) return this.jobs.accept(spec, answer);
    const known = (id: JobSpec['id']) =>
      this.jobs.openJobs.get(id)?.spec.kind ?? (this.jobs.finalState(id) === null ? null : 'over');
    checkDependencies(spec, known, this.jobRecords, answer, () => this.acceptStill(spec, answer));
  }

  /** What the job awaits has been checked; another copy of the submission may have been faster. */
  private acceptStill(spec: JobSpec, answer: (a: UserResponse) => void): void {
    const known = this.status(spec.id);
    if (known === null) this.jobs.accept(spec, answer);
    else answer(asSubmissionResponse(known));
  }

  /**
   * A job known from before is never called impossible, whatever is offered today or said of it in the repetition; nor is one
   * that another node took in a moment ago.
   */
  private refuse(
    spec: JobSpec,
    refusal: Extract<UserResponse, { kind: 'impossible' | 'too-large' }>,
    answer: (a: UserResponse) => void,
  ): void {
    this.jobRecords.readStatus(spec.id, (a) => {
      if (a.kind !== 'not-found') return answer(asSubmissionResponse(a));
      this.io.log('info', 'job refused', { job: spec.id, reason: refusal.reason });
      answer(refusal);
    });
  }

  /** What is known without asking the state service; null if that must be asked. */
  status(id: JobSpec['id']): UserResponse | null {
    const job = this.jobs.openJobs.get(id);
    if (job === undefined) {
      const final = this.jobs.finalState(id);
      return final === null ? null : { kind: 'ended', id, status: final.status };
    }
    return this.statusOf(job);
  }

  /** A job that waits may be larger than its team's limit, which was lowered after it was accepted. */
  private obstacleOf(job: Job): { reason?: string } {
    if (!this.configuration.hasDocuments || job.unplacedTasks === 0) return {};
    const reason = this.quota.violation(job.spec);
    return reason === null ? {} : { reason };
  }

  private statusOf(job: Job): UserResponse {
    const { id } = job;
    if (job.cancelled) return { kind: 'ended', id, status: 'cancelled' };
    if (job.mayHaveEnded) return UNSURE;
    if (this.dependencies.isUncertain(job)) return UNCERTAIN;
    return {
      kind: 'status',
      id,
      status: job.status(),
      done: Math.min(job.doneCount, job.spec.tasks),
      running: job.runningTasks,
      ...(job.unmetDependencies.size === 0
        ? {}
        : { dependsOn: [...job.unmetDependencies].slice(0, DEPENDENCIES_SHOWN) }),
      ...this.obstacleOf(job),
    };
  }
}

const UNCERTAIN = retryLater('the jobs that it awaits are being read');
const UNSURE = retryLater('its end or its cancellation is being written');
