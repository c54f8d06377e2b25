// Requests to the consensus-backed key-value store that holds all persistent state, and its replies.
import type { Revision, StoreLeaseId } from '../../types/index.ts';

/** A condition of a transaction: the key must have this revision; 0: it must not exist. */
export interface StoreCondition {
  key: string;
  revision: Revision;
}

/** A value to set. With a lease, the key is deleted when the lease expires. */
export interface StorePut {
  key: string;
  value: unknown;
  lease?: StoreLeaseId;
}

/** A stored value, with the store's revision at which it was set. */
export interface StoreItem {
  key: string;
  value: unknown;
  revision: Revision;
}

/** A request to the store. */
export type StoreRequest =
  /** Applies all changes if all conditions hold, otherwise none. */
  | { kind: 'compare-and-swap'; conditions: StoreCondition[]; puts: StorePut[]; deletes: string[] }
  | { kind: 'get'; key: string }
  /** Lists items in the order of their keys, starting after the key `after`. */
  | { kind: 'list'; prefix: string; after: string | null }
  | { kind: 'grant-lease'; ttlMs: number }
  | { kind: 'renew-lease'; lease: StoreLeaseId }
  | { kind: 'revoke-lease'; lease: StoreLeaseId }
  /** Returns the changes after the revision `after` as soon as there are any, or none after `waitMs`. */
  | { kind: 'watch'; prefix: string; after: Revision; waitMs: number };

/** The store's reply; `no-answer` if there was none. */
export type StoreReply =
  | { kind: 'committed'; revision: Revision }
  /** Not executed, because the conditions on these keys failed. */
  | { kind: 'conflict'; failed: string[] }
  | { kind: 'item'; item: StoreItem }
  /** The key does not exist. */
  | { kind: 'missing' }
  /** `more`: the list continues after the last item. */
  | { kind: 'items'; items: StoreItem[]; more: boolean; revision: Revision }
  | { kind: 'lease-granted'; lease: StoreLeaseId }
  /** The lease was renewed or revoked. */
  | { kind: 'ok' }
  | { kind: 'changes'; revision: Revision; puts: StoreItem[]; deletes: string[] }
  /** The store no longer has the history from the requested revision on. */
  | { kind: 'too-old' }
  /** Not executed, and a retry would fail too: the request is malformed or too large. */
  | { kind: 'rejected'; reason: string }
  /** Not executed. `busy`: the request rate was above the limit. */
  | { kind: 'refused'; busy: boolean }
  /** It is unknown whether the request was executed or still will be. */
  | { kind: 'no-answer' };
