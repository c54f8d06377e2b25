// Fallback admission: submissions to a controller that cannot reach the leader are stored by that controller
// itself. The record is the same that the leader would write, under the same conditions, so that only one of
// them is ever written; the leader finds it by its watch on stored jobs (accepted-jobs-watch.ts), a later
// leader when it reads all of them.
import type { Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobSpec, Settings, StorePut, StoreReply, UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import { TokenBucket } from '../base/token-bucket.ts';
import type { Configuration } from '../configuration/configuration.ts';
import { checkDependencies } from '../jobs/dependency-check.ts';
import type { MachineTypeCatalog } from '../machines/machine-type-catalog.ts';
import { jobRecordPuts } from '../storage/job-record.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';
import { CONFIG_NOTIFICATION_KEY, FINAL_STATE_PREFIX, OPEN_JOB_PREFIX } from '../storage/keys.ts';
import { infeasibilityReason } from './feasibility.ts';
import { jitteredRetryS } from './load-shedder.ts';
import { TeamThrottle } from './team-throttle.ts';

/** Fraction of the shard's write budget that one controller may use for this. */
const WRITE_BUDGET_FRACTION = 0.15;
/** Fraction of that which is kept for teams that are not throttled. */
const RESERVED_FRACTION = 0.3;
const WRITE_TIMEOUT_MS = 1500;
/** After which a team that is sent back should retry, if it submits no more than its even share. */
const RETRY_AFTER_S = 2;

/** What {@link FallbackAdmission} depends on. */
export interface FallbackAdmissionDependencies {
  io: ControllerIo;
  settings: Settings;
  machineTypes: MachineTypeCatalog;
  jobRecords: JobRecordReader;
  configuration: Configuration;
  /** A job was checked against a revision of the configuration that is not the newest any more. */
  onStaleConfiguration: () => void;
}

type Respond = (response: UserResponse) => void;

/** Accepts jobs without the leader. */
export class FallbackAdmission {
  private readonly budget: TokenBucket;
  /** Changes a second that are kept for teams that are not throttled. */
  private readonly reservedBudget: number;
  private readonly throttle: TeamThrottle;
  /** Unique to this run of the controller. */
  private readonly writeIdPrefix: string;
  private lastWriteId = 0;
  private readonly io: ControllerIo;
  private readonly settings: Settings;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly jobRecords: JobRecordReader;
  private readonly configuration: Configuration;
  private readonly onStaleConfiguration: () => void;

  constructor(dependencies: FallbackAdmissionDependencies) {
    const { io, settings } = dependencies;
    this.io = io;
    this.settings = settings;
    this.machineTypes = dependencies.machineTypes;
    this.jobRecords = dependencies.jobRecords;
    this.configuration = dependencies.configuration;
    this.onStaleConfiguration = dependencies.onStaleConfiguration;
    const writesPerS = Math.max(1, settings.store.writesPerS * WRITE_BUDGET_FRACTION);
    const burst = Math.max(2, writesPerS);
    this.budget = new TokenBucket(writesPerS, burst);
    this.reservedBudget = burst * RESERVED_FRACTION;
    this.throttle = new TeamThrottle(io);
    this.writeIdPrefix = `${settings.node}.${io.random.below(2 ** 31)}`;
  }

  /** Stores a submitted job and responds once that is done, or sends its user back. */
  accept(spec: JobSpec, respond: Respond): void {
    if (!this.canDecide(spec)) return respond(retryLater('no controller can take this at the moment'));
    this.throttle.recordSubmission(spec.team);
    const reserved = this.throttle.isThrottled(spec.team) ? this.reservedBudget : 0;
    if (!this.budget.take(this.io.now, 1, reserved)) return respond(this.tooManySubmissions(spec));
    const write = () => this.write(spec, respond);
    if (spec.dependsOn === undefined) write();
    else checkDependencies(spec, () => null, this.jobRecords, respond, write);
  }

  /** What can never run is left to the leader, who knows whether the job was accepted before. */
  private canDecide(spec: JobSpec): boolean {
    const { machineTypes, configuration } = this;
    if (!machineTypes.isLoaded) return false;
    if (infeasibilityReason(spec, machineTypes.types, configuration.effective.teams) !== null) return false;
    return this.recordPuts(spec) !== null;
  }

  private tooManySubmissions(spec: JobSpec): UserResponse {
    const afterS = this.throttle.retryAfterS(spec.team, RETRY_AFTER_S);
    return retryLater('too many submissions at once', jitteredRetryS(this.io, afterS), true);
  }

  /**
   * The record in one value; only the leader writes longer ones, of which others would have to gather the
   * parts.
   */
  private recordPuts(spec: JobSpec): StorePut[] | null {
    const writeId = `${this.writeIdPrefix}.${++this.lastWriteId}`;
    const record = { spec, acceptedAt: this.io.wallTime, cancelled: false, writeId, dependencyParts: 0 };
    const puts = jobRecordPuts(record, this.settings.store);
    return puts?.length === 1 ? puts : null;
  }

  private write(spec: JobSpec, respond: Respond): void {
    const conditions = [
      { key: OPEN_JOB_PREFIX + spec.id, revision: 0 as Revision },
      { key: FINAL_STATE_PREFIX + spec.id, revision: 0 as Revision },
      // Checked against an older configuration than the stored one, the job is not accepted.
      { key: CONFIG_NOTIFICATION_KEY, revision: this.configuration.applied },
    ];
    this.io.store(
      { kind: 'compare-and-swap', conditions, puts: this.recordPuts(spec)!, deletes: [] },
      StorePriority.query,
      (reply) => this.onReply(spec, reply, respond),
      WRITE_TIMEOUT_MS,
    );
  }

  private onReply(spec: JobSpec, reply: StoreReply, respond: Respond): void {
    if (reply.kind === 'committed') {
      this.io.log('info', 'job accepted without the leader', { job: spec.id });
      return respond({ kind: 'accepted', id: spec.id });
    }
    if (reply.kind !== 'conflict') return respond(retryLater('the state service does not answer'));
    if (reply.failed.includes(CONFIG_NOTIFICATION_KEY)) {
      this.onStaleConfiguration();
      return respond(retryLater('the configuration has changed and is being read'));
    }
    this.jobRecords.answerRepeatedSubmission(spec.id, respond);
  }
}
