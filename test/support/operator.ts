// An operator who changes the configuration of a world in memory, by the transactions that the command makes.
import assert from 'node:assert/strict';
import type { StoreItem, StoreReply } from '../../src/core/base/model.ts';
import {
  changesBackTo,
  changesTo,
  type HistoryEntry,
  preparation,
  readHistory,
  type StoreTransaction,
  transactionOf,
} from '../../src/core/configuration/change.ts';
import {
  type ConfigDocument,
  type ConfigSnapshot,
  readSnapshot,
  type TeamDocument,
} from '../../src/core/configuration/documents.ts';
import type { InForceRecord } from '../../src/core/configuration/rollout.ts';
import {
  CONFIG_HISTORY_PREFIX,
  CONFIG_IN_FORCE_KEY,
  CONFIG_PREFIX,
  LEADER_KEY,
} from '../../src/core/storage/keys.ts';
import type { Revision, TeamName } from '../../src/types/index.ts';
import { type SimulatedWorld, settings } from './simulated-world.ts';

const OPERATOR = 'operator';
/** The world's wall clock at its beginning, in milliseconds. */
const WALL_MS = 1e9;
const RETRY_MS = 300;
/** Of the world's state service. */
export const LIMITS = settings('node-0').store;
const MOVE_S = 20;

export const team = (name: string, over: Partial<TeamDocument> = {}): ConfigDocument => ({
  kind: 'team',
  name: name as TeamName,
  team: { cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0, above: { kind: 'drain' }, removed: false, ...over },
});

export class Operator {
  private made = 0;

  constructor(private readonly w: SimulatedWorld) {}

  private items(prefix: string): StoreItem[] {
    const out: StoreItem[] = [];
    for (const [key, kept] of this.w.state.keys)
      if (key.startsWith(prefix)) out.push({ key, value: kept.value, revision: kept.revision as Revision });
    return out;
  }

  get snapshot(): ConfigSnapshot {
    return readSnapshot(this.items(CONFIG_PREFIX));
  }

  get history(): HistoryEntry[] {
    return this.items(CONFIG_HISTORY_PREFIX)
      .map(readHistory)
      .filter((h) => h !== null);
  }

  get inForce(): InForceRecord | null {
    return (this.w.state.keys.get(CONFIG_IN_FORCE_KEY)?.value as InForceRecord | undefined) ?? null;
  }

  /** The revision of the record that says that the share has moved. */
  get movedAt(): Revision | null {
    const kept = this.w.state.keys.get(LEADER_KEY);
    const moved = (kept?.value as { moved?: string } | undefined)?.moved;
    return moved === undefined ? null : (kept!.revision as Revision);
  }

  /** Carried out at once, whatever the service does to others. */
  commit(t: StoreTransaction): StoreReply {
    let reply: StoreReply = { kind: 'no-answer' };
    const { lateMs, losesAnswer } = this.w.state;
    this.w.state.lateMs = null;
    this.w.state.losesAnswer = null;
    this.w.state.serve(OPERATOR, { kind: 'compare-and-swap', ...t }, (r) => {
      reply = r;
    });
    this.w.state.lateMs = lateMs;
    this.w.state.losesAnswer = losesAnswer;
    return reply;
  }

  /** Makes the share ready for documents, as the first change does. */
  prepare(): void {
    if (this.movedAt !== null) return;
    this.commit(preparation('prepare', this.w.now));
    assert.equal(
      this.w.until(() => this.movedAt !== null, MOVE_S),
      true,
      'the share has not moved',
    );
  }

  /** The transaction of a change, planned against what is on record now. */
  planned(wanted: readonly ConfigDocument[], id = `change-${++this.made}`): StoreTransaction {
    const { snapshot } = this;
    return transactionOf(snapshot, changesTo(snapshot, wanted), id, this.w.now, this.movedAt!, LIMITS);
  }

  /** Commits what must go through; its revision. */
  private committed(t: StoreTransaction): Revision {
    const r = this.commit(t);
    assert.equal(r.kind, 'committed');
    return (r as Extract<StoreReply, { kind: 'committed' }>).revision;
  }

  /** Makes a change; its revision. */
  change(...wanted: ConfigDocument[]): Revision {
    this.prepare();
    return this.committed(this.planned(wanted));
  }

  rollback(number: number): Revision {
    const { snapshot } = this;
    const changes = changesBackTo(snapshot, this.history, number);
    assert.notEqual(changes, null);
    const t = transactionOf(snapshot, changes!, `back-${number}`, this.w.now, this.movedAt!, LIMITS);
    return this.committed(t);
  }

  /** Limits of a team that were asked for, with when, and by which revision. */
  private readonly asked: { team: string; cpus: number; at: number; revision: Revision }[] = [];

  /** Changes a team's limit as soon as the state service takes it, with whatever goes wrong meanwhile. */
  insist(name: string, cpusMax: number, above: TeamDocument['above']): void {
    const again = (): void => this.w.after(RETRY_MS, () => this.insist(name, cpusMax, above));
    if (this.movedAt === null) {
      this.commit(preparation('prepare', this.w.now));
      return again();
    }
    const r = this.commit(this.planned([team(name, { cpusMax, above })]));
    if (r.kind !== 'committed') return again();
    this.asked.push({ team: name, cpus: cpusMax, at: this.w.now, revision: r.revision });
  }

  /** The highest limit that a controller may act on at this moment; `first`: that of the settings. */
  limitOf(name: string, first: number): number {
    let most = first;
    const { inForce } = this;
    for (const a of this.asked) {
      if (a.team !== name) continue;
      const settled =
        inForce !== null && inForce.revision >= a.revision && inForce.at - WALL_MS <= this.w.now;
      most = settled ? a.cpus : Math.max(most, a.cpus);
    }
    return most;
  }

  /** Seconds until the owner says that it is in force; null if it does not in time. */
  untilInForce(revision: Revision, seconds: number): number | null {
    const began = this.w.now;
    const is = (): boolean => (this.inForce?.revision ?? 0) >= revision;
    return this.w.until(is, seconds) ? (this.w.now - began) / 1000 : null;
  }
}
