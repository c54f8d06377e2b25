// Decodes a snapshot of all configuration documents, and re-exports the document functions that other modules
// use. Pure functions: configuration.ts and the operators' commands access the store.
import { NO_REVISION } from '../../types/index.ts';
import type { StoreItem } from '../base/model.ts';
import { CONFIG_HEAD_KEY } from '../storage/keys.ts';
import { decodeDocument, decodeHead } from './document-codec.ts';
import type { ConfigSnapshot } from './document-types.ts';

export { documentKey, encodeDocument, UnreadableDocumentError } from './document-codec.ts';
export type {
  ConfigDocument,
  ConfigHead,
  ConfigSnapshot,
  DispatchDocument,
  OverQuotaPolicy,
  TeamDocument,
} from './document-types.ts';
export { type BaseConfig, type EffectiveConfig, overlay } from './effective-config.ts';

const NO_DOCUMENTS: ConfigSnapshot = { revision: NO_REVISION, head: null, documents: [] };

/**
 * Decodes the records of a single atomic listing of `CONFIG_PREFIX`. Throws {@link UnreadableDocumentError}.
 */
export function readSnapshot(items: readonly StoreItem[]): ConfigSnapshot {
  const head = items.find((item) => item.key === CONFIG_HEAD_KEY);
  if (head === undefined) return NO_DOCUMENTS;
  const documents = items.filter((item) => item !== head).map((item) => decodeDocument(item.key, item.value));
  return { revision: head.revision, head: decodeHead(head.value), documents };
}
