// Sizes of values in the store, and the size limit of a transaction.
import { stringifyJson } from '../../types/exact-json.ts';

/** Largest transaction that is sent, in bytes. */
export const TRANSACTION_MAX_BYTES = 48 * 1024;

/** Size of a value in the store: the bytes of its JSON in UTF-8. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(stringifyJson(value));
