// The operator of the scale experiment: changes quotas all the time through the key-value store's own
// protocol, and knows by which limits a start may be checked: those of the revision in force, and of every
// later one that is on record.
import { build as histogram } from 'hdr-histogram-js';
import {
  askOverHttp,
  ConfigClient,
  ConfigConflictError,
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
/** Documents in one transaction: what the store's limit of 24 changes leaves. */
const MAX_DOCUMENTS_PER_TRANSACTION = 20;
const STOPPED_FRACTION = 0.2;
const STOP_WITHIN_S = 60;
/** Limits move between these multiples of what they were at first. */
const LOWEST_FACTOR = 0.6;
const HIGHEST_FACTOR = 1.5;

/** A change that was made. */
interface CommittedChange {
  revision: Revision;
  /** When its transaction was sent, and when the leader said it is in force; wall time in milliseconds. */
  sentAt: number;
  inForceAt: number | null;
  limits: Map<string, TeamAmounts>;
}

/** Changes of the configuration, and how long they took to be in force. */
export interface ConfigFigures {
  changes: number;
  documents: number;
  /** Changes that were not known to be in force when the experiment ended. */
  pending: number;
  p50S: number;
  p99S: number;
  maxS: number;
}

/** Quotas that are asked for, and the limits that they mean. */
interface QuotaChange {
  documents: ConfigDocument[];
  limits: Map<string, TeamAmounts>;
}

/** A time for which the store was away. */
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
   * From a change's transaction until it is in force, in milliseconds, less the time for which the store was
   * away.
   */
  private readonly delaysMs = histogram({ numberOfSignificantValueDigits: 3 });
  private readonly outages: Outage[] = [];
  private documentCount = 0;
  private isStopped = false;
  private lastChangeNumber = 0;

  constructor(
    settings: Settings,
    private readonly teams: readonly TeamLimits[],
    /** Limits of the settings file. */
    private readonly initialLimits: ReadonlyMap<string, TeamAmounts>,
    seed: number,
  ) {
    this.http = storeClient(settings);
    this.client = new ConfigClient(askOverHttp(this.http), settings);
    this.random = seededRandom(seed);
  }

  /** So many changes a minute, until it is stopped. */
  start(perMinute: number): void {
    if (perMinute <= 0) return;
    void this.changeRepeatedly(60_000 / perMinute);
    void this.watchInForce();
  }

  private async changeRepeatedly(everyMs: number): Promise<void> {
    while (!this.isStopped) {
      const began = performance.now();
      await this.commitChange(1);
      await sleep(Math.max(0, everyMs - (performance.now() - began)));
    }
  }

  /** So many documents changed as fast as the store takes them, in full transactions. */
  async burst(documents: number, withinS: number): Promise<void> {
    const batches = Math.ceil(documents / MAX_DOCUMENTS_PER_TRANSACTION);
    for (let i = 0; i < batches && !this.isStopped; i++) {
      const began = performance.now();
      await this.commitChange(
        Math.min(MAX_DOCUMENTS_PER_TRANSACTION, documents - i * MAX_DOCUMENTS_PER_TRANSACTION),
      );
      await sleep(Math.max(0, (withinS * 1000) / batches - (performance.now() - began)));
    }
  }

  /** Draws new quotas for so many teams that have limits. */
  private drawQuotas(count: number): QuotaChange {
    const limits = new Map<string, TeamAmounts>();
    const documents: ConfigDocument[] = [];
    const limited = this.teams.filter((team) => team.cpus_max > 0);
    const first = this.random.below(limited.length);
    for (let i = 0; i < Math.min(count, limited.length); i++) {
      const team = limited[(first + i) % limited.length]!;
      const limit = this.drawLimit(team);
      const isStopped = this.random.below(1000) < STOPPED_FRACTION * 1000;
      limits.set(team.name, limit);
      documents.push(quotaDocument(team, limit, isStopped));
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

  /** Insisted on until it is made; two changes under way at once find out and plan again. */
  private async commitChange(documents: number): Promise<void> {
    const wanted = this.drawQuotas(documents);
    const id = `scale-${++this.lastChangeNumber}`;
    while (!this.isStopped) {
      try {
        const snapshot = await this.client.snapshot();
        const sentAt = Date.now();
        const made = await this.client.apply(snapshot, this.client.plan(snapshot, wanted.documents), id);
        this.documentCount += wanted.documents.length;
        this.committedChanges.push({
          revision: made.revision,
          sentAt,
          inForceAt: null,
          limits: wanted.limits,
        });
        return;
      } catch (e) {
        if (!(e instanceof ConfigConflictError) && !(e instanceof StoreUnavailableError)) throw e;
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  private async watchInForce(): Promise<void> {
    while (!this.isStopped) {
      try {
        const record = await this.client.inForce();
        if (record !== null) this.onInForce(record.revision, record.at);
      } catch (e) {
        if (!(e instanceof StoreUnavailableError)) throw e;
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

  /** The store is away for so long from now on: nothing can be changed, nor put in force. */
  recordOutage(ms: number): void {
    this.outages.push({ from: Date.now(), to: Date.now() + ms });
  }

  private outageMs(from: number, to: number): number {
    const overlap = (outage: Outage): number =>
      Math.max(0, Math.min(to, outage.to) - Math.max(from, outage.from));
    return this.outages.reduce((sum, outage) => sum + overlap(outage), 0);
  }

  /** The highest limit that a controller may have acted on at that time. */
  limitOf(team: string, at: number): TeamAmounts | undefined {
    let most = this.initialLimits.get(team);
    for (const { limits, sentAt, inForceAt } of this.committedChanges) {
      const limit = limits.get(team);
      if (limit === undefined || sentAt > at) continue;
      if (inForceAt !== null && inForceAt <= at) most = limit;
      else
        most = {
          cpus: Math.max(most?.cpus ?? 0, limit.cpus),
          gpus: Math.max(most?.gpus ?? 0, limit.gpus),
        };
    }
    return most;
  }

  /** What came of all changes. */
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

  /** Makes no changes from now on. */
  stop(): void {
    this.isStopped = true;
    this.http.close();
  }
}

/** The document of a team's quota. `isStopped`: what is above a lowered limit is stopped, not left to end. */
function quotaDocument(team: TeamLimits, limit: TeamAmounts, isStopped: boolean): ConfigDocument {
  return {
    kind: 'team',
    name: team.name as TeamName,
    team: {
      cpus: team.cpus,
      cpusMax: limit.cpus,
      gpus: team.gpus,
      gpusMax: limit.gpus,
      above: isStopped ? { kind: 'stop', withinS: STOP_WITHIN_S } : { kind: 'drain' },
      removed: false,
    },
  };
}
