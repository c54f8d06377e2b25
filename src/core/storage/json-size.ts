// How much space values take in the store.

/** Bytes of a value as the store keeps it: its JSON in UTF-8. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
