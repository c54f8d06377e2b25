// Submissions at a node that cannot reach the owner: taken in durably by the node itself. The record is the same
// that the owner would write, under the same conditions, so only one of them is ever made; the owner finds it by
// watching the records (accepted-jobs-watch.ts), a later owner by reading them.
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

/** Part of the region's write budget that one node may use for this. */
const SHARE = 0.15;
const WRITE_MS = 1500;
/** Of a node's budget so much is left to teams that ask for no more than their part. */
const KEPT = 0.3;
/** What {@link FallbackAdmission} depends on. */
export interface FallbackAdmissionDependencies {
  io: ControllerIo;
  settings: Settings;
  machineTypes: MachineTypeCatalog;
  jobRecords: JobRecordReader;
  configuration: Configuration;
  /** A job was judged by a revision of the configuration that is no longer the newest. */
  onStaleConfiguration: () => void;
}

export class FallbackAdmission {
  private readonly budget: TokenBucket;
  private readonly nonceBase: string;
  private made = 0;
  private readonly throttle: TeamThrottle;
  private readonly kept: number;
  private readonly io: ControllerIo;
  private readonly settings: Settings;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly jobRecords: JobRecordReader;
  private readonly configuration: Configuration;
  private readonly onStaleConfiguration: () => void;

  constructor(dependencies: FallbackAdmissionDependencies) {
    this.io = dependencies.io;
    this.settings = dependencies.settings;
    this.machineTypes = dependencies.machineTypes;
    this.jobRecords = dependencies.jobRecords;
    this.configuration = dependencies.configuration;
    this.onStaleConfiguration = dependencies.onStaleConfiguration;
    const { io, settings } = dependencies;
    const rate = Math.max(1, settings.store.writesPerS * SHARE);
    const burst = Math.max(2, rate);
    this.budget = new TokenBucket(rate, burst);
    this.kept = burst * KEPT;
    this.throttle = new TeamThrottle(io);
    this.nonceBase = `${settings.node}.${io.random.below(2 ** 31)}`;
  }

  accept(spec: JobSpec, answer: (a: UserResponse) => void): void {
    // What can never run is told by the owner, who knows whether the job was accepted before.
    const { machineTypes } = this;
    if (
      !machineTypes.isLoaded ||
      infeasibilityReason(spec, machineTypes.types, this.configuration.effective.teams) !== null ||
      this.record(spec) === null
    )
      return answer(retryLater('no controller can take this at the moment'));
    this.throttle.recordSubmission(spec.team);
    // The last part of the budget is for those who ask for no more than their part.
    const keep = this.throttle.isThrottled(spec.team) ? this.kept : 0;
    if (!this.budget.take(this.io.now, 1, keep))
      return answer(
        retryLater(
          'too many submissions at once',
          jitteredRetryS(this.io, this.throttle.retryAfterS(spec.team, 2)),
          true,
        ),
      );
    if (spec.dependsOn === undefined) this.write(spec, answer);
    else
      checkDependencies(
        spec,
        () => null,
        this.jobRecords,
        answer,
        () => this.write(spec, answer),
      );
  }

  /** The record in one value; the owner alone makes larger ones, which others would have to gather. */
  private record(spec: JobSpec): StorePut[] | null {
    const writeId = `${this.nonceBase}.${++this.made}`;
    const record = { spec, acceptedAt: this.io.wallTime, cancelled: false, writeId, dependencyParts: 0 };
    const puts = jobRecordPuts(record, this.settings.store);
    return puts?.length === 1 ? puts : null;
  }

  private write(spec: JobSpec, answer: (a: UserResponse) => void): void {
    const conditions = [OPEN_JOB_PREFIX, FINAL_STATE_PREFIX].map((p) => ({
      key: p + spec.id,
      revision: 0 as Revision,
    }));
    // Judged by an older configuration than that on record, it is not taken in.
    conditions.push({ key: CONFIG_NOTIFICATION_KEY, revision: this.configuration.applied });
    this.io.store(
      { kind: 'compare-and-swap', conditions, puts: this.record(spec)!, deletes: [] },
      StorePriority.query,
      (r) => this.onReply(spec, r, answer),
      WRITE_MS,
    );
  }

  private onReply(spec: JobSpec, r: StoreReply, answer: (a: UserResponse) => void): void {
    if (r.kind === 'committed') {
      this.io.log('info', 'job accepted without the owner', { job: spec.id });
      return answer({ kind: 'accepted', id: spec.id });
    }
    if (r.kind !== 'conflict') return answer(retryLater('the state service does not answer'));
    if (r.failed.includes(CONFIG_NOTIFICATION_KEY)) {
      this.onStaleConfiguration();
      return answer(retryLater('the configuration has changed and is being read'));
    }
    this.jobRecords.answerRepeatedSubmission(spec.id, answer);
  }
}
