// Reads and changes the configuration for operators' commands, directly in the store. Each change has an id:
// if the response to it is lost, a retry with the same id finds that the change was made.
import type { JobSpec, Settings, StoreItem, StoreReply, StoreRequest } from '../core/base/model.ts';
import {
  changeTransaction,
  type DocumentChange,
  decodeHistoryEntry,
  type HistoryEntry,
  planChanges,
  planRollback,
  preparationTransaction,
  type StoreTransaction,
} from '../core/configuration/change.ts';
import { type ConfigDocument, type ConfigSnapshot, readSnapshot } from '../core/configuration/documents.ts';
import type { InForceRecord } from '../core/configuration/rollout.ts';
import { decodeJobRecord } from '../core/storage/job-record.ts';
import {
  CONFIG_HISTORY_PREFIX,
  CONFIG_IN_FORCE_KEY,
  CONFIG_PREFIX,
  LEADER_KEY,
  OPEN_JOB_PREFIX,
} from '../core/storage/keys.ts';
import { HttpClient } from '../http/client.ts';
import { decodeReply } from '../protocol/http-call.ts';
import { decodeStoreReply, encodeStoreRequest } from '../protocol/store.ts';
import { SwiftfordError } from '../types/errors.ts';
import type { Revision } from '../types/index.ts';

const REQUEST_TIMEOUT_MS = 3000;
const MAX_REPLY_BYTES = 64 << 20;
const CONNECTIONS = 2;
const MAX_ATTEMPTS = 8;
const RETRY_DELAY_MS = 500;
const POLL_INTERVAL_MS = 200;
/** Time within which the leader must move its record before the first documents are written. */
const LEADER_RECORD_MOVE_TIMEOUT_MS = 20_000;

/** Sends a request to the store. */
export type CallStore = (request: StoreRequest) => Promise<StoreReply>;

/** Sends requests to the store over HTTP. */
export const callStoreOverHttp =
  (client: HttpClient): CallStore =>
  (request) =>
    new Promise((resolve) => {
      const call = { ...encodeStoreRequest(request), timeoutMs: REQUEST_TIMEOUT_MS };
      client.call(call, (response) =>
        resolve(decodeReply(response, (status, json) => decodeStoreReply(request, status, json))),
      );
    });

/** An HTTP client for the store of the settings file. */
export const storeClient = (settings: Settings): HttpClient =>
  new HttpClient(settings.storeAddr, CONNECTIONS, MAX_REPLY_BYTES);

/** Thrown if the store does not respond, or its response is unexpected. */
export class StoreUnavailableError extends SwiftfordError {
  readonly code = 'STORE_UNAVAILABLE';
}

/**
 * Thrown if the configuration was changed since it was read, or if a controller does not support
 * configuration documents.
 */
export class ConfigConflictError extends SwiftfordError {
  readonly code = 'CONFIG_CONFLICT';
}

/** A change that was made. */
export interface Applied {
  revision: Revision;
  /** Changes are numbered from 1. */
  number: number;
  /** True if an earlier attempt or command with the same id had made the change. */
  repeated: boolean;
}

const sleepFor = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Reads and changes the configuration documents. */
export class ConfigClient {
  constructor(
    private readonly callStore: CallStore,
    private readonly settings: Settings,
    private readonly sleep: (ms: number) => Promise<void> = sleepFor,
    private readonly now: () => number = Date.now,
  ) {}

  /**
   * All documents at one revision; throws `UnreadableDocumentError` for documents of an unsupported version.
   */
  async snapshot(): Promise<ConfigSnapshot> {
    return readSnapshot(await this.list(CONFIG_PREFIX));
  }

  /** The last changes, oldest first. */
  async history(): Promise<HistoryEntry[]> {
    const items = await this.list(CONFIG_HISTORY_PREFIX);
    return items.map(decodeHistoryEntry).filter((entry) => entry !== null);
  }

  /** The leader's record of the revision that is in force. */
  async inForce(): Promise<InForceRecord | null> {
    const reply = await this.read({ kind: 'get', key: CONFIG_IN_FORCE_KEY });
    return reply.kind === 'item' ? (reply.item.value as InForceRecord) : null;
  }

  /** The jobs that have not ended. */
  async openJobs(): Promise<JobSpec[]> {
    const items = await this.list(OPEN_JOB_PREFIX);
    return items.map((item) => decodeJobRecord(item).spec);
  }

  /** The changes from a snapshot to the given documents. */
  plan(snapshot: ConfigSnapshot, documents: readonly ConfigDocument[]): DocumentChange[] {
    return planChanges(snapshot, documents);
  }

  /**
   * The changes back to the state after change `number`; null if the history no longer holds what they need.
   */
  async planRollback(snapshot: ConfigSnapshot, number: number): Promise<DocumentChange[] | null> {
    return planRollback(snapshot, await this.history(), number);
  }

  /** The change with this id, or null if it was not made. */
  async findChange(id: string): Promise<Applied | null> {
    const { head, revision } = await this.snapshot();
    if (head !== null && head.number > 0 && head.id === id)
      return { revision, number: head.number, repeated: true };
    const items = await this.list(CONFIG_HISTORY_PREFIX);
    const item = items.find((candidate) => decodeHistoryEntry(candidate)?.id === id);
    if (item === undefined) return null;
    return { revision: item.revision, number: decodeHistoryEntry(item)!.number, repeated: true };
  }

  /**
   * Makes the changes in one transaction, provided that the configuration has not changed since the snapshot.
   * Throws `ConfigConflictError` if it has, `ChangeTooLargeError` for more documents than a transaction may
   * hold, and `StoreUnavailableError` if it is unknown whether the change was made: the caller should repeat
   * it with the same id.
   */
  async apply(snapshot: ConfigSnapshot, changes: readonly DocumentChange[], id: string): Promise<Applied> {
    const movedAt = await this.moveLeaderRecord(id);
    const isFirst = snapshot.head === null;
    const base = isFirst ? await this.snapshot() : snapshot;
    if (isFirst && base.head !== null && base.head.number > 0 && base.head.id !== id)
      throw this.conflictError(base);
    const transaction = changeTransaction(base, changes, id, this.now(), movedAt, this.settings.store);
    return this.commit(transaction, (base.head?.number ?? 0) + 1, id);
  }

  /**
   * Waits until the revision is in force; returns the time taken in milliseconds, or null after `withinMs`.
   */
  async waitInForce(revision: Revision, withinMs: number): Promise<number | null> {
    const startMs = this.now();
    while (this.now() - startMs < withinMs) {
      const reply = await this.callStore({ kind: 'get', key: CONFIG_IN_FORCE_KEY });
      if (reply.kind === 'item' && (reply.item.value as InForceRecord).revision >= revision)
        return this.now() - startMs;
      await this.sleep(POLL_INTERVAL_MS);
    }
    return null;
  }

  /**
   * Sends a request, and retries while the store refuses it or does not respond. Throws
   * `StoreUnavailableError` after the last attempt.
   */
  private async read(request: StoreRequest): Promise<StoreReply> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) await this.sleep(RETRY_DELAY_MS);
      const reply = await this.callStore(request);
      if (reply.kind !== 'refused' && reply.kind !== 'no-answer') return reply;
    }
    throw new StoreUnavailableError(
      `the state service at ${this.settings.storeAddr} refused or did not answer a request ${MAX_ATTEMPTS} times in a row`,
    );
  }

  private async list(prefix: string): Promise<StoreItem[]> {
    const items: StoreItem[] = [];
    for (let after: string | null = null; ; ) {
      const reply = await this.read({ kind: 'list', prefix, after });
      if (reply.kind !== 'items')
        throw new StoreUnavailableError(
          `the state service responded to a list of ${prefix} with ${reply.kind} instead of items`,
        );
      items.push(...reply.items);
      if (!reply.more) return items;
      after = reply.items.at(-1)!.key;
    }
  }

  /**
   * The revision of the marker that the leader record has moved to another key; null while it has not moved.
   */
  private async leaderRecordMovedAt(): Promise<Revision | null> {
    const reply = await this.read({ kind: 'get', key: LEADER_KEY });
    if (reply.kind !== 'item') return null;
    const { moved } = reply.item.value as { moved?: string };
    return moved === undefined ? null : reply.item.revision;
  }

  /**
   * Waits until the leader record has moved to a key that versions without document support do not use, and
   * requests the move if needed. It must precede the first documents, so that such versions cannot be
   * elected. Returns the revision of the move.
   */
  private async moveLeaderRecord(id: string): Promise<Revision> {
    const movedBefore = await this.leaderRecordMovedAt();
    if (movedBefore !== null) return movedBefore;
    await this.read({ kind: 'compare-and-swap', ...preparationTransaction(id, this.now()) });
    const deadlineMs = this.now() + LEADER_RECORD_MOVE_TIMEOUT_MS;
    while (this.now() < deadlineMs) {
      await this.sleep(POLL_INTERVAL_MS);
      const movedAt = await this.leaderRecordMovedAt();
      if (movedAt !== null) return movedAt;
    }
    throw new StoreUnavailableError(
      'no controller has prepared the shard for configuration documents; check that one is running',
    );
  }

  private async commit(transaction: StoreTransaction, number: number, id: string): Promise<Applied> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) await this.sleep(RETRY_DELAY_MS);
      const reply = await this.callStore({ kind: 'compare-and-swap', ...transaction });
      if (reply.kind === 'committed') return { revision: reply.revision, number, repeated: false };
      if (reply.kind === 'rejected')
        throw new StoreUnavailableError(`the state service rejected the change: ${reply.reason}`);
      if (reply.kind !== 'conflict') continue;
      // The conflict may be with an earlier attempt of this change whose response was lost.
      const made = await this.findChange(id);
      if (made !== null) return made;
      throw this.conflictError(await this.snapshot());
    }
    throw new StoreUnavailableError(
      `the state service does not respond, so it is unknown whether the change was made: repeat it with --id ${id}`,
    );
  }

  private conflictError({ head }: ConfigSnapshot): ConfigConflictError {
    const change = head === null ? 'its records' : `change ${head.number} (${head.id})`;
    return new ConfigConflictError(
      `the configuration has changed since it was read, by ${change}: plan again`,
    );
  }
}
