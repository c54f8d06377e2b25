// The configuration as an operator's command reads and changes it, through the state service's own protocol. A change has an
// id: repeated after a lost answer, it is found to have been made.
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
import { decodeStoreReply, encodeStoreRequest } from '../protocol/store.ts';
import type { Revision } from '../types/index.ts';

const CALL_MS = 3000;
const ANSWER_MAX = 64 << 20;
const TRIES = 8;
const RETRY_MS = 500;
const LOOK_MS = 200;
/** How long the owner is given to move the share before the first documents are written. */
const MOVE_MS = 20_000;

/** The state service, by the calls of its protocol. */
export type AskState = (op: StoreRequest) => Promise<StoreReply>;

export const askOverHttp = (client: HttpClient): AskState => {
  return (op) =>
    new Promise((resolve) =>
      client.call({ ...encodeStoreRequest(op), timeoutMs: CALL_MS }, (r) => {
        try {
          const json = r === null || r.body.length === 0 ? {} : JSON.parse(r.body.toString('utf8'));
          resolve(r === null ? { kind: 'no-answer' } : decodeStoreReply(op, r.status, json));
        } catch {
          resolve({ kind: 'no-answer' });
        }
      }),
    );
};

export const stateClient = (settings: Settings): HttpClient =>
  new HttpClient(settings.storeAddr, 2, ANSWER_MAX);

/** The state service can't be asked, or says something unexpected. */
export class StateUnavailable extends Error {
  override readonly name = 'StateUnavailable';
}

/** Somebody else has changed the configuration since it was read. */
export class ConfigConflict extends Error {
  override readonly name = 'ConfigConflict';
}

export interface Applied {
  revision: Revision;
  number: number;
  /** It had been made before, under the same id. */
  repeated: boolean;
}

export class ConfigClient {
  constructor(
    private readonly ask: AskState,
    private readonly settings: Settings,
    private readonly sleep: (ms: number) => Promise<void> = (ms) => new Promise((r) => setTimeout(r, ms)),
    private readonly now: () => number = Date.now,
  ) {}

  /** Asked again while the state service refuses or does not answer. Throws StateUnavailable. */
  private async read(op: StoreRequest): Promise<StoreReply> {
    for (let i = 0; i < TRIES; i++) {
      if (i > 0) await this.sleep(RETRY_MS);
      const r = await this.ask(op);
      if (r.kind !== 'refused' && r.kind !== 'no-answer') return r;
    }
    throw new StateUnavailable(`the state service at ${this.settings.storeAddr} does not answer`);
  }

  private async list(prefix: string): Promise<StoreItem[]> {
    const out: StoreItem[] = [];
    for (let after: string | null = null; ; ) {
      const r = await this.read({ kind: 'list', prefix, after });
      if (r.kind !== 'items') throw new StateUnavailable(`the state service lists nothing under ${prefix}`);
      out.push(...r.items);
      if (!r.more) return out;
      after = r.items.at(-1)!.key;
    }
  }

  /** Throws UnreadableDocument for records of another version. */
  async snapshot(): Promise<ConfigSnapshot> {
    return readSnapshot(await this.list(CONFIG_PREFIX));
  }

  async history(): Promise<HistoryEntry[]> {
    const items = await this.list(CONFIG_HISTORY_PREFIX);
    return items.map(readHistory).filter((h) => h !== null);
  }

  async inForce(): Promise<InForceRecord | null> {
    const r = await this.read({ kind: 'get', key: CONFIG_IN_FORCE_KEY });
    return r.kind === 'item' ? (r.item.value as InForceRecord) : null;
  }

  async openJobs(): Promise<JobSpec[]> {
    return (await this.list(OPEN_JOB_PREFIX)).map((i) => decodeJobRecord(i).spec);
  }

  plan(snapshot: ConfigSnapshot, wanted: readonly ConfigDocument[]): DocumentChange[] {
    return changesTo(snapshot, wanted);
  }

  /** Null: the history does not reach back so far. */
  async planBackTo(snapshot: ConfigSnapshot, number: number): Promise<DocumentChange[] | null> {
    return changesBackTo(snapshot, await this.history(), number);
  }

  /** The change with this id, if it was made. */
  async made(id: string): Promise<Applied | null> {
    const snapshot = await this.snapshot();
    const { head, revision } = snapshot;
    if (head !== null && head.number > 0 && head.id === id)
      return { revision, number: head.number, repeated: true };
    const items = await this.list(CONFIG_HISTORY_PREFIX);
    const item = items.find((i) => readHistory(i)?.id === id);
    return item === undefined
      ? null
      : { revision: item.revision, number: readHistory(item)!.number, repeated: true };
  }

  /** The revision of the record that says that the share has moved; null while it has not. */
  private async movedAt(): Promise<Revision | null> {
    const r = await this.read({ kind: 'get', key: LEADER_KEY });
    if (r.kind !== 'item') return null;
    return (r.item.value as { moved?: string }).moved === undefined ? null : r.item.revision;
  }

  /** Before the first documents the share moves to a key that versions without them don't know. Throws StateUnavailable. */
  private async prepare(id: string): Promise<Revision> {
    const moved = await this.movedAt();
    if (moved !== null) return moved;
    await this.read({ kind: 'compare-and-swap', ...preparation(id, this.now()) });
    const until = this.now() + MOVE_MS;
    while (this.now() < until) {
      await this.sleep(LOOK_MS);
      const at = await this.movedAt();
      if (at !== null) return at;
    }
    throw new StateUnavailable('no controller has made the share ready for documents; is one running?');
  }

  /**
   * Makes the changes in one transaction, if the configuration is still as it was read. Throws ConfigConflict if it is not,
   * ChangeTooLarge, StateUnavailable when it is not known whether it was made: the same id finds out.
   */
  async apply(snapshot: ConfigSnapshot, changes: readonly DocumentChange[], id: string): Promise<Applied> {
    const moved = await this.prepare(id);
    const first = snapshot.head === null;
    const against = first ? await this.snapshot() : snapshot;
    if (first && against.head !== null && against.head.number > 0 && against.head.id !== id)
      throw this.conflict(against);
    const transaction = transactionOf(against, changes, id, this.now(), moved, this.settings.store);
    return this.commit(transaction, (against.head?.number ?? 0) + 1, id);
  }

  private async commit(t: StoreTransaction, number: number, id: string): Promise<Applied> {
    for (let i = 0; i < TRIES; i++) {
      if (i > 0) await this.sleep(RETRY_MS);
      const r = await this.ask({ kind: 'compare-and-swap', ...t });
      if (r.kind === 'committed') return { revision: r.revision, number, repeated: false };
      if (r.kind === 'rejected')
        throw new StateUnavailable(`the state service does not take it: ${r.reason}`);
      if (r.kind !== 'conflict') continue;
      // Its own first copy may have gone through.
      const made = await this.made(id);
      if (made !== null) return made;
      throw this.conflict(await this.snapshot());
    }
    throw new StateUnavailable(
      `the state service does not answer; whether the change was made is not known: repeat it with --id ${id}`,
    );
  }

  private conflict({ head }: ConfigSnapshot): ConfigConflict {
    const what = head === null ? 'its records' : `change ${head.number} (${head.id})`;
    return new ConfigConflict(`the configuration has changed since it was read, by ${what}: plan again`);
  }

  /** Until the owner says that the revision is in force; milliseconds that it took, or null if it is not in time. */
  async waitInForce(revision: Revision, withinMs: number): Promise<number | null> {
    const began = this.now();
    while (this.now() - began < withinMs) {
      const r = await this.ask({ kind: 'get', key: CONFIG_IN_FORCE_KEY });
      if (r.kind === 'item' && (r.item.value as InForceRecord).revision >= revision)
        return this.now() - began;
      await this.sleep(LOOK_MS);
    }
    return null;
  }
}
