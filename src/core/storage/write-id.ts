// The idempotency key in stored values, which shows whether a write whose reply was lost was carried out.
import type { StoreItem } from '../base/model.ts';

/** The idempotency key of the write that made this value; undefined if it contains none. */
export const writeIdOf = (item: StoreItem): string | undefined => (item.value as { w?: string } | null)?.w;
