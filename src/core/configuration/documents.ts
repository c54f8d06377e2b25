// Configuration documents in the store: what other modules use of them, and a snapshot of all of them. Pure:
// configuration.ts and the operators' commands read and write them.
import type { Revision } from '../../types/index.ts';
import type { StoreItem } from '../base/model.ts';
import { CONFIG_HEAD_KEY } from '../storage/keys.ts';
import { readDocument, readHead } from './document-codec.ts';
import type { ConfigSnapshot } from './document-types.ts';

export { documentKey, documentValue, UnreadableDocumentError } from './document-codec.ts';
export type {
  ConfigDocument,
  ConfigHead,
  ConfigSnapshot,
  DispatchDocument,
  OverQuotaPolicy,
  TeamDocument,
} from './document-types.ts';
export { type BaseConfig, type EffectiveConfig, overlay } from './effective-config.ts';

const NO_DOCUMENTS: ConfigSnapshot = { revision: 0 as Revision, head: null, documents: [] };

/** From one listing of all configuration records, which is atomic. Throws {@link UnreadableDocumentError}. */
export function readSnapshot(items: readonly StoreItem[]): ConfigSnapshot {
  const head = items.find((item) => item.key === CONFIG_HEAD_KEY);
  if (head === undefined) return NO_DOCUMENTS;
  const documents = items.filter((item) => item !== head).map((item) => readDocument(item.key, item.value));
  return { revision: head.revision, head: readHead(head.value), documents };
}
