// How much space values take in the store, and how much one transaction may.

/** Largest transaction that is sent, in bytes. */
export const TRANSACTION_MAX_BYTES = 48 * 1024;

/** Bytes of a value as the store keeps it: its JSON in UTF-8. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
