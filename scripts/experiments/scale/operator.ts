// The operator of the scale drill: changes quotas all the time through the state service's own protocol, and knows by which
// limits a start may be judged: those of the revision in force, and of every later one that is on record.
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
import type { TeamLimits } from './workload.ts';

const LOOK_MS = 400;
const RETRY_MS = 1000;
/** Documents in one transaction: what the state service's limit of 24 changes leaves. */
const BATCH = 20;
const STOPPED_PART = 0.2;
const STOP_WITHIN_S = 60;
/** Limits move between these multiples of what they were at first. */
const LOWEST = 0.6;
const HIGHEST = 1.5;

interface Made {
  revision: Revision;
  /** When its transaction was sent, and when the owner said it is in force; wall time in milliseconds. */
  at: number;
  inForceAt: number | null;
  limits: Map<string, TeamAmounts>;
}

export interface ConfigFigures {
  changes: number;
  documents: number;
  /** Changes that were not known to be in force when the drill ended. */
  pending: number;
  p50S: number;
  p99S: number;
  maxS: number;
}

export class ScaleOperator {
  private readonly client: ConfigClient;
  private readonly http: HttpClient;
  private readonly random;
  private readonly made: Made[] = [];
  /** From a change's transaction until it is in force, in milliseconds, less the time for which the state service was away. */
  private readonly took = histogram({ numberOfSignificantValueDigits: 3 });
  private readonly outages: { from: number; to: number }[] = [];
  private documents = 0;
  private stopped = false;
  private number = 0;

  constructor(
    settings: Settings,
    private readonly teams: readonly TeamLimits[],
    /** Limits of the settings file. */
    private readonly base: ReadonlyMap<string, TeamAmounts>,
    seed: number,
  ) {
    this.http = storeClient(settings);
    this.client = new ConfigClient(askOverHttp(this.http), settings);
    this.random = seededRandom(seed);
  }

  /** So many changes a minute, until it is stopped. */
  begin(perMinute: number): void {
    if (perMinute <= 0) return;
    void this.repeat(60_000 / perMinute);
    void this.watch();
  }

  private async repeat(everyMs: number): Promise<void> {
    while (!this.stopped) {
      const began = performance.now();
      await this.change(1);
      await sleep(Math.max(0, everyMs - (performance.now() - began)));
    }
  }

  /** So many documents changed as fast as the state service takes them, in full transactions. */
  async burst(documents: number, withinS: number): Promise<void> {
    const batches = Math.ceil(documents / BATCH);
    for (let i = 0; i < batches && !this.stopped; i++) {
      const began = performance.now();
      await this.change(Math.min(BATCH, documents - i * BATCH));
      await sleep(Math.max(0, (withinS * 1000) / batches - (performance.now() - began)));
    }
  }

  private wanted(documents: number): { documents: ConfigDocument[]; limits: Map<string, TeamAmounts> } {
    const limits = new Map<string, TeamAmounts>();
    const out: ConfigDocument[] = [];
    const limited = this.teams.filter((t) => t.cpus_max > 0);
    const from = this.random.below(limited.length);
    for (let i = 0; i < Math.min(documents, limited.length); i++) {
      const t = limited[(from + i) % limited.length]!;
      const times = LOWEST + ((HIGHEST - LOWEST) * this.random.below(1001)) / 1000;
      const cpusMax = Math.max(t.cpus, Math.round(t.cpus_max * times));
      const gpusMax = Math.max(t.gpus, Math.round(t.gpus_max * times));
      const stop = this.random.below(1000) < STOPPED_PART * 1000;
      limits.set(t.name, { cpus: cpusMax, gpus: gpusMax });
      out.push({
        kind: 'team',
        name: t.name as TeamName,
        team: {
          cpus: t.cpus,
          cpusMax,
          gpus: t.gpus,
          gpusMax,
          above: stop ? { kind: 'stop', withinS: STOP_WITHIN_S } : { kind: 'drain' },
          removed: false,
        },
      });
    }
    return { documents: out, limits };
  }

  /** Insisted on until it is made; two changes under way at once find out and plan again. */
  private async change(documents: number): Promise<void> {
    const wanted = this.wanted(documents);
    const id = `scale-${++this.number}`;
    while (!this.stopped) {
      try {
        const snapshot = await this.client.snapshot();
        const at = Date.now();
        const made = await this.client.apply(snapshot, this.client.plan(snapshot, wanted.documents), id);
        this.documents += wanted.documents.length;
        this.made.push({ revision: made.revision, at, inForceAt: null, limits: wanted.limits });
        return;
      } catch (e) {
        if (!(e instanceof ConfigConflictError) && !(e instanceof StoreUnavailableError)) throw e;
        await sleep(RETRY_MS);
      }
    }
  }

  private async watch(): Promise<void> {
    while (!this.stopped) {
      try {
        const record = await this.client.inForce();
        if (record !== null) this.inForce(record.revision, record.at);
      } catch (e) {
        if (!(e instanceof StoreUnavailableError)) throw e;
      }
      await sleep(LOOK_MS);
    }
  }

  private inForce(revision: Revision, at: number): void {
    for (const m of this.made) {
      if (m.inForceAt !== null || m.revision > revision) continue;
      m.inForceAt = at;
      this.took.recordValue(Math.max(1, Math.round(at - m.at - this.awayMs(m.at, at))));
    }
  }

  /** The state service is away for so long from now on: nothing can be changed, nor put in force. */
  outage(ms: number): void {
    this.outages.push({ from: Date.now(), to: Date.now() + ms });
  }

  private awayMs(from: number, to: number): number {
    const overlap = (o: { from: number; to: number }): number =>
      Math.max(0, Math.min(to, o.to) - Math.max(from, o.from));
    return this.outages.reduce((sum, o) => sum + overlap(o), 0);
  }

  /** The highest limit that a controller may have acted on at that time. */
  limitOf(team: string, at: number): TeamAmounts | undefined {
    let most = this.base.get(team);
    for (const m of this.made) {
      const l = m.limits.get(team);
      if (l === undefined || m.at > at) continue;
      if (m.inForceAt !== null && m.inForceAt <= at) most = l;
      else most = { cpus: Math.max(most?.cpus ?? 0, l.cpus), gpus: Math.max(most?.gpus ?? 0, l.gpus) };
    }
    return most;
  }

  figures(): ConfigFigures {
    const s = (p: number): number => this.took.getValueAtPercentile(p) / 1000;
    return {
      changes: this.made.length,
      documents: this.documents,
      pending: this.made.filter((m) => m.inForceAt === null).length,
      p50S: s(50),
      p99S: s(99),
      maxS: this.took.maxValue / 1000,
    };
  }

  stop(): void {
    this.stopped = true;
    this.http.close();
  }
}

const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));
