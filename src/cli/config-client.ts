// Reads and changes the configuration for an operator's command, by the protocol of the store. A change has an id:
// repeated after a lost response, it is found to have been made.
import type { JobSpec, Settings, StoreItem, StoreReply, StoreRequest } from '../core/base/model.ts';
import {
  changesBackTo,
  changesTo,
  type DocumentChange,
  type HistoryEntry,
  preparation,
  readHistory,
  type StoreTransaction,
  transactionOf,
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
const MAX_TRIES = 8;
const RETRY_DELAY_MS = 500;
const POLL_INTERVAL_MS = 200;
/** How long the leader is given to move its record before the first documents are written. */
const MOVE_TIMEOUT_MS = 20_000;

/** Sends a request to the store. */
export type AskStore = (request: StoreRequest) => Promise<StoreReply>;

/** Sends requests to the store over HTTP. */
export const askOverHttp =
  (client: HttpClient): AskStore =>
  (request) =>
    new Promise((resolve) => {
      const call = { ...encodeStoreRequest(request), timeoutMs: REQUEST_TIMEOUT_MS };
      client.call(call, (response) =>
        resolve(decodeReply(response, (status, json) => decodeStoreReply(request, status, json))),
      );
    });

/** An HTTP client of the store that the settings name. */
export const storeClient = (settings: Settings): HttpClient =>
  new HttpClient(settings.storeAddr, CONNECTIONS, MAX_REPLY_BYTES);

/** The store does not respond, or responds with something unexpected. */
export class StoreUnavailableError extends SwiftfordError {
  readonly code = 'STORE_UNAVAILABLE';
}

/** Somebody else has changed the configuration since it was read, or a controller does not support documents. */
export class ConfigConflictError extends SwiftfordError {
  readonly code = 'CONFIG_CONFLICT';
}

/** A change that was made. */
export interface Applied {
  revision: Revision;
  /** Changes are numbered from 1. */
  number: number;
  /** It had been made before, under the same id. */
  repeated: boolean;
}

const sleepFor = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Reads and changes the configuration documents. */
export class ConfigClient {
  constructor(
    private readonly ask: AskStore,
    private readonly settings: Settings,
    private readonly sleep: (ms: number) => Promise<void> = sleepFor,
    private readonly now: () => number = Date.now,
  ) {}

  /** The documents at one revision; throws `UnreadableDocumentError` for those of another version. */
  async snapshot(): Promise<ConfigSnapshot> {
    return readSnapshot(await this.list(CONFIG_PREFIX));
  }

  /** The last changes, oldest first. */
  async history(): Promise<HistoryEntry[]> {
    const items = await this.list(CONFIG_HISTORY_PREFIX);
    return items.map(readHistory).filter((entry) => entry !== null);
  }

  /** Which revision is in force, as the leader has recorded it. */
  async inForce(): Promise<InForceRecord | null> {
    const reply = await this.read({ kind: 'get', key: CONFIG_IN_FORCE_KEY });
    return reply.kind === 'item' ? (reply.item.value as InForceRecord) : null;
  }

  /** The jobs that have not ended. */
  async openJobs(): Promise<JobSpec[]> {
    const items = await this.list(OPEN_JOB_PREFIX);
    return items.map((item) => decodeJobRecord(item).spec);
  }

  /** The changes that lead from a snapshot to the wanted documents. */
  plan(snapshot: ConfigSnapshot, wanted: readonly ConfigDocument[]): DocumentChange[] {
    return changesTo(snapshot, wanted);
  }

  /** The changes that lead back to the state after change `number`; null if the history does not reach back so far. */
  async planBackTo(snapshot: ConfigSnapshot, number: number): Promise<DocumentChange[] | null> {
    return changesBackTo(snapshot, await this.history(), number);
  }

  /** The change with this id, if it was made. */
  async made(id: string): Promise<Applied | null> {
    const { head, revision } = await this.snapshot();
    if (head !== null && head.number > 0 && head.id === id)
      return { revision, number: head.number, repeated: true };
    const items = await this.list(CONFIG_HISTORY_PREFIX);
    const item = items.find((candidate) => readHistory(candidate)?.id === id);
    if (item === undefined) return null;
    return { revision: item.revision, number: readHistory(item)!.number, repeated: true };
  }

  /**
   * Makes the changes in one transaction, if the configuration is still as it was read. Throws `ConfigConflictError` if
   * it is not, `ChangeTooLargeError`, and `StoreUnavailableError` when it is not known whether the change was made:
   * repeat it under the same id then.
   */
  async apply(snapshot: ConfigSnapshot, changes: readonly DocumentChange[], id: string): Promise<Applied> {
    const movedAt = await this.prepare(id);
    const isFirst = snapshot.head === null;
    const base = isFirst ? await this.snapshot() : snapshot;
    if (isFirst && base.head !== null && base.head.number > 0 && base.head.id !== id)
      throw this.conflict(base);
    const transaction = transactionOf(base, changes, id, this.now(), movedAt, this.settings.store);
    return this.commit(transaction, (base.head?.number ?? 0) + 1, id);
  }

  /** Waits until the revision is in force: the milliseconds that it took, or null if it takes longer than `withinMs`. */
  async waitInForce(revision: Revision, withinMs: number): Promise<number | null> {
    const startMs = this.now();
    while (this.now() - startMs < withinMs) {
      const reply = await this.ask({ kind: 'get', key: CONFIG_IN_FORCE_KEY });
      if (reply.kind === 'item' && (reply.item.value as InForceRecord).revision >= revision)
        return this.now() - startMs;
      await this.sleep(POLL_INTERVAL_MS);
    }
    return null;
  }

  /** Retries while the store refuses or does not respond; throws `StoreUnavailableError` in the end. */
  private async read(request: StoreRequest): Promise<StoreReply> {
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      if (attempt > 0) await this.sleep(RETRY_DELAY_MS);
      const reply = await this.ask(request);
      if (reply.kind !== 'refused' && reply.kind !== 'no-answer') return reply;
    }
    throw new StoreUnavailableError(`the state service at ${this.settings.storeAddr} does not answer`);
  }

  private async list(prefix: string): Promise<StoreItem[]> {
    const items: StoreItem[] = [];
    for (let after: string | null = null; ; ) {
      const reply = await this.read({ kind: 'list', prefix, after });
      if (reply.kind !== 'items')
        throw new StoreUnavailableError(`the state service lists nothing under ${prefix}`);
      items.push(...reply.items);
      if (!reply.more) return items;
      after = reply.items.at(-1)!.key;
    }
  }

  /** The revision of the record that says that the leader record has moved; null while it has not. */
  private async movedAt(): Promise<Revision | null> {
    const reply = await this.read({ kind: 'get', key: LEADER_KEY });
    if (reply.kind !== 'item') return null;
    const { moved } = reply.item.value as { moved?: string };
    return moved === undefined ? null : reply.item.revision;
  }

  /** Before the first documents the leader record moves to a key that versions without documents do not know. */
  private async prepare(id: string): Promise<Revision> {
    const movedBefore = await this.movedAt();
    if (movedBefore !== null) return movedBefore;
    await this.read({ kind: 'compare-and-swap', ...preparation(id, this.now()) });
    const deadlineMs = this.now() + MOVE_TIMEOUT_MS;
    while (this.now() < deadlineMs) {
      await this.sleep(POLL_INTERVAL_MS);
      const movedAt = await this.movedAt();
      if (movedAt !== null) return movedAt;
    }
    throw new StoreUnavailableError('no controller has made the share ready for documents; is one running?');
  }

  private async commit(transaction: StoreTransaction, number: number, id: string): Promise<Applied> {
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      if (attempt > 0) await this.sleep(RETRY_DELAY_MS);
      const reply = await this.ask({ kind: 'compare-and-swap', ...transaction });
      if (reply.kind === 'committed') return { revision: reply.revision, number, repeated: false };
      if (reply.kind === 'rejected')
        throw new StoreUnavailableError(`the state service does not take it: ${reply.reason}`);
      if (reply.kind !== 'conflict') continue;
      // An earlier attempt without a response may have succeeded.
      const made = await this.made(id);
      if (made !== null) return made;
      throw this.conflict(await this.snapshot());
    }
    throw new StoreUnavailableError(
      `the state service does not answer; whether the change was made is not known: repeat it with --id ${id}`,
    );
  }

  private conflict({ head }: ConfigSnapshot): ConfigConflictError {
    const change = head === null ? 'its records' : `change ${head.number} (${head.id})`;
    return new ConfigConflictError(
      `the configuration has changed since it was read, by ${change}: plan again`,
    );
  }
}
