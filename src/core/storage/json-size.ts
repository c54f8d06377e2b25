// Sizes of values in the store, and the size limit of a transaction.
import { stringifyJson } from '../../types/exact-json.ts';
import type { StoreLimits } from '../base/model.ts';

/** Largest transaction that is sent, in bytes. */
export const TRANSACTION_MAX_BYTES = 48 * 1024;

/** Largest size of a value, in bytes: one that the store takes, in a transaction that it takes as well. */
export const maxValueBytes = ({ maxValueKb }: StoreLimits): number =>
  Math.min(Math.floor(maxValueKb * 1024), TRANSACTION_MAX_BYTES);

/** Size of a value in the store: the bytes of its JSON in UTF-8. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(stringifyJson(value));
