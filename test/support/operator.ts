// An operator who changes the configuration of a simulated world, by the transactions that the command makes.
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
import { WALL_CLOCK_START_MS } from './in-memory-controllers.ts';
import { settings } from './simulated-settings.ts';
import type { SimulatedWorld } from './simulated-world.ts';

const OPERATOR = 'operator';
const RETRY_DELAY_MS = 300;
/** How long it takes for a shard to be ready for configuration documents. */
const PREPARATION_S = 20;
/** Limits of the world's key-value store. */
export const LIMITS = settings('node-0').store;

/** A document of a team's quota. */
export const team = (name: string, over: Partial<TeamDocument> = {}): ConfigDocument => ({
  kind: 'team',
  name: name as TeamName,
  team: { cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0, above: { kind: 'drain' }, removed: false, ...over },
});

/** A limit that was asked for. */
interface RequestedLimit {
  team: string;
  cpus: number;
  revision: Revision;
}

/** Makes changes of configuration in a simulated world, at once and whatever goes wrong there. */
export class Operator {
  private changesMade = 0;
  private readonly requestedLimits: RequestedLimit[] = [];

  constructor(private readonly world: SimulatedWorld) {}

  /** The documents on record. */
  get snapshot(): ConfigSnapshot {
    return readSnapshot(this.items(CONFIG_PREFIX));
  }

  /** The changes on record. */
  get history(): HistoryEntry[] {
    return this.items(CONFIG_HISTORY_PREFIX)
      .map(readHistory)
      .filter((entry) => entry !== null);
  }

  /** What the leader says is in force. */
  get inForce(): InForceRecord | null {
    return (this.world.state.keys.get(CONFIG_IN_FORCE_KEY)?.value as InForceRecord | undefined) ?? null;
  }

  /** The revision of the record that says that the leader's key has moved. */
  get movedAt(): Revision | null {
    const entry = this.world.state.keys.get(LEADER_KEY);
    const moved = (entry?.value as { moved?: string } | undefined)?.moved;
    return moved === undefined ? null : (entry!.revision as Revision);
  }

  /** Carried out at once, whatever the store does to others. */
  commit(transaction: StoreTransaction): StoreReply {
    const { state } = this.world;
    let reply: StoreReply = { kind: 'no-answer' };
    const { lateMs, losesAnswer } = state;
    state.lateMs = null;
    state.losesAnswer = null;
    state.serve(OPERATOR, { kind: 'compare-and-swap', ...transaction }, (served) => {
      reply = served;
    });
    state.lateMs = lateMs;
    state.losesAnswer = losesAnswer;
    return reply;
  }

  /** Makes the shard ready for documents, as the first change does. */
  prepare(): void {
    if (this.movedAt !== null) return;
    this.commit(preparation('prepare', this.world.now));
    const hasMoved = this.world.until(() => this.movedAt !== null, PREPARATION_S);
    assert.equal(hasMoved, true, 'the share has not moved');
  }

  /** The transaction of a change, planned against what is on record now. */
  planned(wanted: readonly ConfigDocument[], id = `change-${++this.changesMade}`): StoreTransaction {
    const { snapshot } = this;
    return transactionOf(snapshot, changesTo(snapshot, wanted), id, this.world.now, this.movedAt!, LIMITS);
  }

  /** Makes a change; its revision. */
  change(...wanted: ConfigDocument[]): Revision {
    this.prepare();
    return this.committed(this.planned(wanted));
  }

  /** Goes back to what was before a change; the revision of that. */
  rollback(number: number): Revision {
    const { snapshot } = this;
    const changes = changesBackTo(snapshot, this.history, number);
    assert.notEqual(changes, null);
    const id = `back-${number}`;
    return this.committed(transactionOf(snapshot, changes!, id, this.world.now, this.movedAt!, LIMITS));
  }

  /** Changes a team's limit as soon as the store takes it, with whatever goes wrong meanwhile. */
  insist(name: string, cpusMax: number, above: TeamDocument['above']): void {
    const again = (): void => this.world.after(RETRY_DELAY_MS, () => this.insist(name, cpusMax, above));
    if (this.movedAt === null) {
      this.commit(preparation('prepare', this.world.now));
      return again();
    }
    const reply = this.commit(this.planned([team(name, { cpusMax, above })]));
    if (reply.kind !== 'committed') return again();
    this.requestedLimits.push({ team: name, cpus: cpusMax, revision: reply.revision });
  }

  /** The highest limit that a controller may act on at this moment; `first`: that of the settings. */
  limitOf(name: string, first: number): number {
    let most = first;
    for (const limit of this.requestedLimits) {
      if (limit.team !== name) continue;
      most = this.isInForce(limit.revision) ? limit.cpus : Math.max(most, limit.cpus);
    }
    return most;
  }

  /** Seconds until the leader says that it is in force; null if it does not in time. */
  untilInForce(revision: Revision, seconds: number): number | null {
    const began = this.world.now;
    const isOnRecord = (): boolean => (this.inForce?.revision ?? 0) >= revision;
    return this.world.until(isOnRecord, seconds) ? (this.world.now - began) / 1000 : null;
  }

  private items(prefix: string): StoreItem[] {
    return [...this.world.state.keys]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, { value, revision }]) => ({ key, value, revision: revision as Revision }));
  }

  /** Commits what must go through; its revision. */
  private committed(transaction: StoreTransaction): Revision {
    const reply = this.commit(transaction);
    assert.equal(reply.kind, 'committed');
    return (reply as Extract<StoreReply, { kind: 'committed' }>).revision;
  }

  /** Whether the time has come from which controllers act on nothing older. */
  private isInForce(revision: Revision): boolean {
    const { inForce } = this;
    if (inForce === null || inForce.revision < revision) return false;
    return inForce.at - WALL_CLOCK_START_MS <= this.world.now;
  }
}
