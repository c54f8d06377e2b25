// Requests to the consensus-backed key-value store in which all state is kept, and its replies.
import type { Revision, StoreLeaseId } from '../../types/index.ts';

/** The key must have this revision; 0: it must not exist. */
export interface StoreCondition {
  key: string;
  revision: Revision;
}

/** A value to set; with a lease the key is deleted when that expires. */
export interface StorePut {
  key: string;
  value: unknown;
  lease?: StoreLeaseId;
}

/** A stored value, and the store's revision when it was set. */
export interface StoreItem {
  key: string;
  value: unknown;
  revision: Revision;
}

/** A request to the store. */
export type StoreRequest =
  /** All changes, if all conditions hold; else none. */
  | { kind: 'compare-and-swap'; conditions: StoreCondition[]; puts: StorePut[]; deletes: string[] }
  | { kind: 'get'; key: string }
  /** Items in the order of their keys, from the first after `after` on. */
  | { kind: 'list'; prefix: string; after: string | null }
  | { kind: 'grant-lease'; ttlMs: number }
  | { kind: 'renew-lease'; lease: StoreLeaseId }
  | { kind: 'revoke-lease'; lease: StoreLeaseId }
  /** Changes after the revision `after`, as soon as there are any, and none after `waitMs`. */
  | { kind: 'watch'; prefix: string; after: Revision; waitMs: number };

/** The store's reply, or what is known without one. */
export type StoreReply =
  | { kind: 'committed'; revision: Revision }
  /** Not executed: the conditions on these keys failed. */
  | { kind: 'conflict'; failed: string[] }
  | { kind: 'item'; item: StoreItem }
  /** There is no such key. */
  | { kind: 'missing' }
  /** `more`: the list goes on after the last item. */
  | { kind: 'items'; items: StoreItem[]; more: boolean; revision: Revision }
  | { kind: 'lease-granted'; lease: StoreLeaseId }
  /** The lease is renewed or revoked. */
  | { kind: 'ok' }
  | { kind: 'changes'; revision: Revision; puts: StoreItem[]; deletes: string[] }
  /** Changes after this revision are not kept any more. */
  | { kind: 'too-old' }
  /** Never to be executed: malformed, or too large. */
  | { kind: 'rejected'; reason: string }
  /** Not executed. `busy`: there were too many requests. */
  | { kind: 'refused'; busy: boolean }
  /** May have been executed, or may yet be. */
  | { kind: 'no-answer' };
