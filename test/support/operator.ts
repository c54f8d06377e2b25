// A simulated operator: changes the configuration with the same transactions as the configuration command.
import assert from 'node:assert/strict';
import type { StoreItem, StoreReply } from '../../src/core/base/model.ts';
import {
  changeTransaction,
  decodeHistoryEntry,
  type HistoryEntry,
  planChanges,
  planRollback,
  preparationTransaction,
  type StoreTransaction,
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
/** Time limit for the preparation of a shard for configuration documents. */
const PREPARATION_TIMEOUT_S = 20;
/** Size and rate limits of the world's key-value store. */
export const LIMITS = settings('node-0').store;

/** A configuration document with a team's quota. */
export const team = (name: string, overrides: Partial<TeamDocument> = {}): ConfigDocument => ({
  kind: 'team',
  name: name as TeamName,
  team: { cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0, above: { kind: 'drain' }, removed: false, ...overrides },
});

/** A CPU limit that the operator has committed. */
interface RequestedLimit {
  team: string;
  cpus: number;
  revision: Revision;
}

/** Changes the configuration of a simulated world, without the network's faults and the store's delays. */
export class Operator {
  private changeCount = 0;
  private readonly requestedLimits: RequestedLimit[] = [];

  constructor(private readonly world: SimulatedWorld) {}

  /** The stored configuration documents. */
  get snapshot(): ConfigSnapshot {
    return readSnapshot(this.storedItems(CONFIG_PREFIX));
  }

  /** The stored history of changes. */
  get history(): HistoryEntry[] {
    return this.storedItems(CONFIG_HISTORY_PREFIX)
      .map(decodeHistoryEntry)
      .filter((entry) => entry !== null);
  }

  /** The leader's record of the configuration in force; null if there is none. */
  get inForce(): InForceRecord | null {
    return (this.world.state.entries.get(CONFIG_IN_FORCE_KEY)?.value as InForceRecord | undefined) ?? null;
  }

  /** Revision of the record that marks the leader's key as moved; null if the key has not moved. */
  get leaderKeyMoveRevision(): Revision | null {
    const entry = this.world.state.entries.get(LEADER_KEY);
    const moved = (entry?.value as { moved?: string } | undefined)?.moved;
    return moved === undefined ? null : (entry!.revision as Revision);
  }

  /** Commits a transaction without the store's simulated delays and lost replies. */
  commit(transaction: StoreTransaction): StoreReply {
    const { state } = this.world;
    let reply: StoreReply = { kind: 'no-answer' };
    const { executionDelayMs, losesAnswer } = state;
    state.executionDelayMs = null;
    state.losesAnswer = null;
    state.serve(OPERATOR, { kind: 'compare-and-swap', ...transaction }, (served) => {
      reply = served;
    });
    state.executionDelayMs = executionDelayMs;
    state.losesAnswer = losesAnswer;
    return reply;
  }

  /** Prepares the shard for configuration documents, as the first change of the command does. */
  prepare(): void {
    if (this.leaderKeyMoveRevision !== null) return;
    this.commit(preparationTransaction('prepare', this.world.now));
    const hasMoved = this.world.until(() => this.leaderKeyMoveRevision !== null, PREPARATION_TIMEOUT_S);
    assert.equal(hasMoved, true, `the leader key has not moved within ${PREPARATION_TIMEOUT_S} s`);
  }

  /** Builds the transaction of a change, based on the documents that are stored now. */
  planned(wanted: readonly ConfigDocument[], id = `change-${++this.changeCount}`): StoreTransaction {
    const { snapshot } = this;
    return changeTransaction(
      snapshot,
      planChanges(snapshot, wanted),
      id,
      this.world.now,
      this.leaderKeyMoveRevision!,
      LIMITS,
    );
  }

  /** Makes a change and returns its revision. */
  change(...wanted: ConfigDocument[]): Revision {
    this.prepare();
    return this.commitOrFail(this.planned(wanted));
  }

  /** Restores the configuration before a change; returns the revision of the rollback. */
  rollback(number: number): Revision {
    const { snapshot } = this;
    const changes = planRollback(snapshot, this.history, number);
    assert.notEqual(changes, null);
    const id = `back-${number}`;
    return this.commitOrFail(
      changeTransaction(snapshot, changes!, id, this.world.now, this.leaderKeyMoveRevision!, LIMITS),
    );
  }

  /** Changes a team's limit, and retries until the store commits the change. */
  changeLimitUntilCommitted(name: string, cpusMax: number, above: TeamDocument['above']): void {
    const retry = (): void =>
      this.world.after(RETRY_DELAY_MS, () => this.changeLimitUntilCommitted(name, cpusMax, above));
    if (this.leaderKeyMoveRevision === null) {
      this.commit(preparationTransaction('prepare', this.world.now));
      return retry();
    }
    const reply = this.commit(this.planned([team(name, { cpusMax, above })]));
    if (reply.kind !== 'committed') return retry();
    this.requestedLimits.push({ team: name, cpus: cpusMax, revision: reply.revision });
  }

  /** The highest limit that a controller may apply now; `configuredCpus` is the limit in the settings. */
  limitOf(name: string, configuredCpus: number): number {
    let highest = configuredCpus;
    for (const limit of this.requestedLimits) {
      if (limit.team !== name) continue;
      highest = this.isInForce(limit.revision) ? limit.cpus : Math.max(highest, limit.cpus);
    }
    return highest;
  }

  /** Waits until the leader records the revision as in force; returns the seconds taken, null on timeout. */
  secondsUntilInForce(revision: Revision, seconds: number): number | null {
    const startedAt = this.world.now;
    const isInForce = (): boolean => (this.inForce?.revision ?? 0) >= revision;
    return this.world.until(isInForce, seconds) ? (this.world.now - startedAt) / 1000 : null;
  }

  private storedItems(prefix: string): StoreItem[] {
    return [...this.world.state.entries]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, { value, revision }]) => ({ key, value, revision: revision as Revision }));
  }

  /** Commits a transaction that must succeed; returns its revision. */
  private commitOrFail(transaction: StoreTransaction): Revision {
    const reply = this.commit(transaction);
    assert.equal(reply.kind, 'committed');
    return (reply as Extract<StoreReply, { kind: 'committed' }>).revision;
  }

  /** Whether the time has passed after which controllers apply no revision older than this one. */
  private isInForce(revision: Revision): boolean {
    const { inForce } = this;
    if (inForce === null || inForce.revision < revision) return false;
    return inForce.at - WALL_CLOCK_START_MS <= this.world.now;
  }
}
