// The simulated operator of the scale experiment. It changes quotas continuously through the key-value
// store's own protocol, and provides the limits that a start may be checked against: those of the revision in
// force, and those of every later revision in the store.
import { build as histogram } from 'hdr-histogram-js';
import {
  ConfigClient,
  ConfigConflictError,
  callStoreOverHttp,
  StoreUnavailableError,
  storeClient,
} from '../../../src/cli/config-client.ts';
import type { Settings } from '../../../src/core/base/model.ts';
import type { ConfigDocument } from '../../../src/core/configuration/documents.ts';
import type { HttpClient } from '../../../src/http/client.ts';
import { seededRandom } from '../../../src/runtime/random.ts';
import type { Revision, TeamName } from '../../../src/types/index.ts';
import type { TeamAmounts } from '../../../test/support/rule-checker.ts';
import { sleep } from './time.ts';
import type { TeamLimits } from './workload.ts';

const POLL_INTERVAL_MS = 400;
const RETRY_DELAY_MS = 1000;
/**
 * The store accepts 24 changes in a transaction; the rest is needed for records that belong to every change.
 */
const MAX_DOCUMENTS_PER_TRANSACTION = 20;
/** Fraction of quota documents that stop tasks above a lowered limit. */
const STOPPED_FRACTION = 0.2;
const STOP_WITHIN_S = 60;
/** Limits vary between these multiples of their initial values. */
const LOWEST_FACTOR = 0.6;
const HIGHEST_FACTOR = 1.5;

/** A configuration change that was committed to the store. */
interface CommittedChange {
  revision: Revision;
  /** When its transaction was sent, and when the leader reported it in force; wall time in milliseconds. */
  sentAt: number;
  inForceAt: number | null;
  limits: Map<string, TeamAmounts>;
}

/** Numbers of configuration changes, and how long they took to be in force. */
export interface ConfigFigures {
  changes: number;
  documents: number;
  /** Changes that had not been reported in force when the experiment ended. */
  pending: number;
  p50S: number;
  p99S: number;
  maxS: number;
}

/** Documents of new quotas, and the limits that they set. */
interface QuotaChange {
  documents: ConfigDocument[];
  limits: Map<string, TeamAmounts>;
}

/** A period in which the store was unavailable; wall time in milliseconds. */
interface Outage {
  from: number;
  to: number;
}

/** Changes the quotas of teams. */
export class ScaleOperator {
  private readonly client: ConfigClient;
  private readonly http: HttpClient;
  private readonly random: ReturnType<typeof seededRandom>;
  private readonly committedChanges: CommittedChange[] = [];
  /**
   * Time from the transaction of a change until it is in force, in milliseconds, without the time in which
   * the store was unavailable.
   */
  private readonly delaysMs = histogram({ numberOfSignificantValueDigits: 3 });
  private readonly outages: Outage[] = [];
  private documentCount = 0;
  private isStopped = false;
  private lastChangeNumber = 0;

  constructor(
    settings: Settings,
    private readonly teams: readonly TeamLimits[],
    /** Limits in the settings file of the controllers. */
    private readonly initialLimits: ReadonlyMap<string, TeamAmounts>,
    seed: number,
  ) {
    this.http = storeClient(settings);
    this.client = new ConfigClient(callStoreOverHttp(this.http), settings);
    this.random = seededRandom(seed);
  }

  /** Makes `perMinute` changes a minute until it is stopped. */
  start(perMinute: number): void {
    if (perMinute <= 0) return;
    void this.changeRepeatedly(60_000 / perMinute);
    void this.watchInForce();
  }

  private async changeRepeatedly(intervalMs: number): Promise<void> {
    while (!this.isStopped) {
      const startedAt = performance.now();
      await this.commitChange(1);
      await sleep(Math.max(0, intervalMs - (performance.now() - startedAt)));
    }
  }

  /** Changes `documents` documents in full transactions, spread evenly over `withinS` seconds. */
  async burst(documents: number, withinS: number): Promise<void> {
    const batches = Math.ceil(documents / MAX_DOCUMENTS_PER_TRANSACTION);
    for (let i = 0; i < batches && !this.isStopped; i++) {
      const startedAt = performance.now();
      await this.commitChange(
        Math.min(MAX_DOCUMENTS_PER_TRANSACTION, documents - i * MAX_DOCUMENTS_PER_TRANSACTION),
      );
      await sleep(Math.max(0, (withinS * 1000) / batches - (performance.now() - startedAt)));
    }
  }

  /** Draws new quotas for `count` teams that have limits. */
  private drawQuotas(count: number): QuotaChange {
    const limits = new Map<string, TeamAmounts>();
    const documents: ConfigDocument[] = [];
    const limitedTeams = this.teams.filter((team) => team.cpus_max > 0);
    const firstIndex = this.random.below(limitedTeams.length);
    for (let i = 0; i < Math.min(count, limitedTeams.length); i++) {
      const team = limitedTeams[(firstIndex + i) % limitedTeams.length]!;
      const limit = this.drawLimit(team);
      const stopsAbove = this.random.below(1000) < STOPPED_FRACTION * 1000;
      limits.set(team.name, limit);
      documents.push(quotaDocument(team, limit, stopsAbove));
    }
    return { documents, limits };
  }

  private drawLimit(team: TeamLimits): TeamAmounts {
    const factor = LOWEST_FACTOR + ((HIGHEST_FACTOR - LOWEST_FACTOR) * this.random.below(1001)) / 1000;
    return {
      cpus: Math.max(team.cpus, Math.round(team.cpus_max * factor)),
      gpus: Math.max(team.gpus, Math.round(team.gpus_max * factor)),
    };
  }

  /**
   * Commits a change, with retries while the store is unavailable or another change is committed meanwhile.
   */
  private async commitChange(documents: number): Promise<void> {
    const quotaChange = this.drawQuotas(documents);
    const id = `scale-${++this.lastChangeNumber}`;
    while (!this.isStopped) {
      try {
        const snapshot = await this.client.snapshot();
        const sentAt = Date.now();
        const applied = await this.client.apply(
          snapshot,
          this.client.plan(snapshot, quotaChange.documents),
          id,
        );
        this.documentCount += quotaChange.documents.length;
        this.committedChanges.push({
          revision: applied.revision,
          sentAt,
          inForceAt: null,
          limits: quotaChange.limits,
        });
        return;
      } catch (error) {
        if (!(error instanceof ConfigConflictError) && !(error instanceof StoreUnavailableError)) throw error;
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  private async watchInForce(): Promise<void> {
    while (!this.isStopped) {
      try {
        const record = await this.client.inForce();
        if (record !== null) this.onInForce(record.revision, record.at);
      } catch (error) {
        if (!(error instanceof StoreUnavailableError)) throw error;
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  private onInForce(revision: Revision, at: number): void {
    for (const change of this.committedChanges) {
      if (change.inForceAt !== null || change.revision > revision) continue;
      change.inForceAt = at;
      const delayMs = at - change.sentAt - this.outageMs(change.sentAt, at);
      this.delaysMs.recordValue(Math.max(1, Math.round(delayMs)));
    }
  }

  /**
   * Records that the store is unavailable for `ms` milliseconds: no change can be committed or put in force.
   */
  recordOutage(ms: number): void {
    this.outages.push({ from: Date.now(), to: Date.now() + ms });
  }

  private outageMs(from: number, to: number): number {
    const overlap = (outage: Outage): number =>
      Math.max(0, Math.min(to, outage.to) - Math.max(from, outage.from));
    return this.outages.reduce((sum, outage) => sum + overlap(outage), 0);
  }

  /** The highest limit that a controller may have applied to the team at that time. */
  limitOf(team: string, at: number): TeamAmounts | undefined {
    let highest = this.initialLimits.get(team);
    for (const { limits, sentAt, inForceAt } of this.committedChanges) {
      const limit = limits.get(team);
      if (limit === undefined || sentAt > at) continue;
      if (inForceAt !== null && inForceAt <= at) highest = limit;
      else
        highest = {
          cpus: Math.max(highest?.cpus ?? 0, limit.cpus),
          gpus: Math.max(highest?.gpus ?? 0, limit.gpus),
        };
    }
    return highest;
  }

  /** Figures of all changes so far. */
  figures(): ConfigFigures {
    const seconds = (percentile: number): number => this.delaysMs.getValueAtPercentile(percentile) / 1000;
    return {
      changes: this.committedChanges.length,
      documents: this.documentCount,
      pending: this.committedChanges.filter((change) => change.inForceAt === null).length,
      p50S: seconds(50),
      p99S: seconds(99),
      maxS: this.delaysMs.maxValue / 1000,
    };
  }

  /** Stops making changes. */
  stop(): void {
    this.isStopped = true;
    this.http.close();
  }
}

/**
 * The document of a team's quota. `stopsAbove`: tasks above a lowered limit are stopped, not left to finish.
 */
function quotaDocument(team: TeamLimits, limit: TeamAmounts, stopsAbove: boolean): ConfigDocument {
  return {
    kind: 'team',
    name: team.name as TeamName,
    team: {
      cpus: team.cpus,
      cpusMax: limit.cpus,
      gpus: team.gpus,
      gpusMax: limit.gpus,
      above: stopsAbove ? { kind: 'stop', withinS: STOP_WITHIN_S } : { kind: 'drain' },
      removed: false,
    },
  };
}
