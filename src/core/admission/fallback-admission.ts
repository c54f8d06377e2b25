// Fallback admission: a controller that cannot reach the leader stores submitted jobs itself. It writes the
// same record as the leader would, under the same conditions, so that only one of the two writes can succeed.
// The leader receives the job through its watch on stored jobs (accepted-jobs-watch.ts); a later leader reads
// it when it loads all stored jobs.
import { NO_REVISION } from '../../types/index.ts';
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

/** Fraction of the shard's write budget that one controller may use for fallback admission. */
const WRITE_BUDGET_FRACTION = 0.15;
/** Fraction of the burst of these writes that is reserved for teams that are not throttled. */
const RESERVED_FRACTION = 0.3;
const WRITE_TIMEOUT_MS = 1500;
/** Time after which a rejected team should retry, if it submits no more than its even share. */
const RETRY_AFTER_S = 2;

/** Dependencies of {@link FallbackAdmission}. */
export interface FallbackAdmissionDependencies {
  io: ControllerIo;
  settings: Settings;
  machineTypes: MachineTypeCatalog;
  jobRecords: JobRecordReader;
  configuration: Configuration;
  /** Called when a job was checked against a configuration revision that is no longer the newest. */
  onStaleConfiguration: () => void;
}

type Respond = (response: UserResponse) => void;

/** Accepts jobs without the leader, by writing their records to the store. */
export class FallbackAdmission {
  private readonly writeBudget: TokenBucket;
  /** Number of writes in the budget that are reserved for teams that are not throttled. */
  private readonly reservedWrites: number;
  private readonly throttle: TeamThrottle;
  /** Prefix of write ids, unique to this run of the controller. */
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
    this.writeBudget = new TokenBucket(writesPerS, burst);
    this.reservedWrites = burst * RESERVED_FRACTION;
    this.throttle = new TeamThrottle(io);
    this.writeIdPrefix = `${settings.node}.${io.random.below(2 ** 31)}`;
  }

  /** Stores a submitted job and responds when it is stored, or asks the user to retry later. */
  accept(spec: JobSpec, respond: Respond): void {
    if (!this.canAcceptWithoutLeader(spec))
      return respond(retryLater('no controller can take this at the moment'));
    this.throttle.recordSubmission(spec.team);
    const reserved = this.throttle.isThrottled(spec.team) ? this.reservedWrites : 0;
    if (!this.writeBudget.take(this.io.now, 1, reserved))
      return respond(this.tooManySubmissionsResponse(spec));
    const write = () => this.writeRecord(spec, respond);
    if (spec.dependsOn === undefined) write();
    else checkDependencies(spec, () => null, this.jobRecords, respond, write);
  }

  /**
   * Whether this controller can decide on the job by itself. A job that can never run is left to the leader,
   * which can tell whether it was accepted earlier.
   */
  private canAcceptWithoutLeader(spec: JobSpec): boolean {
    const { machineTypes, configuration } = this;
    if (!machineTypes.isLoaded) return false;
    if (infeasibilityReason(spec, machineTypes.types, configuration.effective.teams) !== null) return false;
    return this.encodeRecord(spec) !== null;
  }

  private tooManySubmissionsResponse(spec: JobSpec): UserResponse {
    const afterS = this.throttle.retryAfterS(spec.team, RETRY_AFTER_S);
    return retryLater('too many submissions at once', jitteredRetryS(this.io, afterS), true);
  }

  /**
   * Encodes the job's record; returns null if it does not fit in one value. Only the leader writes records of
   * several values, because any other controller would have to collect the parts to read them.
   */
  private encodeRecord(spec: JobSpec): StorePut[] | null {
    const writeId = `${this.writeIdPrefix}.${++this.lastWriteId}`;
    const record = { spec, acceptedAt: this.io.wallTime, cancelled: false, writeId, dependencyParts: 0 };
    const puts = jobRecordPuts(record, this.settings.store);
    return puts?.length === 1 ? puts : null;
  }

  private writeRecord(spec: JobSpec, respond: Respond): void {
    const conditions = [
      { key: OPEN_JOB_PREFIX + spec.id, revision: NO_REVISION },
      { key: FINAL_STATE_PREFIX + spec.id, revision: NO_REVISION },
      // The write fails if the job was checked against an older configuration than the stored one.
      { key: CONFIG_NOTIFICATION_KEY, revision: this.configuration.appliedRevision },
    ];
    this.io.sendStoreRequest(
      { kind: 'compare-and-swap', conditions, puts: this.encodeRecord(spec)!, deletes: [] },
      StorePriority.query,
      (reply) => this.onWriteReply(spec, reply, respond),
      WRITE_TIMEOUT_MS,
    );
  }

  private onWriteReply(spec: JobSpec, reply: StoreReply, respond: Respond): void {
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
