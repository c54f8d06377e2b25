// The idempotency key that stored values carry: a write whose reply was lost finds out by it whether it was
// carried out.
import type { StoreItem } from '../base/model.ts';

/** The idempotency key of the write that made this value; undefined if it carries none. */
export const writeIdOf = (item: StoreItem): string | undefined => (item.value as { w?: string } | null)?.w;
