// Reads and validates the fields of JSON messages; the errors name the field.
import { SwiftfordError } from '../types/errors.ts';
import { isUint64, UINT64_MAX, type Uint64 } from '../types/uint64.ts';

/** A message violates the protocol. The text names the field and is returned to the sender of the message. */
export class InvalidMessageError extends SwiftfordError {
  readonly code = 'INVALID_MESSAGE';
}

/** A JSON object whose fields have not been validated yet. */
export type JsonObject = Record<string, unknown>;

/** Reads one field of an object; throws `InvalidMessageError` if it is missing or invalid. */
export type FieldReader<T> = (object: JsonObject, name: string) => T;

const MAX_STRING_LENGTH = 200;
const MAX_AMOUNT = 1e9;

/** Checks that a value is a JSON object; `description` names it in the `InvalidMessageError`. */
export function asObject(value: unknown, description: string): JsonObject {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new InvalidMessageError(`${description} must be an object`);
  return value as JsonObject;
}

/** A string of 1 to 200 characters. */
export function readString(object: JsonObject, name: string): string {
  const value = object[name];
  if (typeof value !== 'string' || value === '' || value.length > MAX_STRING_LENGTH)
    throw new InvalidMessageError(`${name} must be a string`);
  return value;
}

/** A finite number from `min` to `max`, both inclusive. */
export function readAmount(object: JsonObject, name: string, min = 0, max = MAX_AMOUNT): number {
  const value = object[name];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < min || value > max)
    throw new InvalidMessageError(`${name} must be a number from ${min}`);
  return value;
}

/** The error for a value that is not an integer from `min` to `max`. */
export const wholeNumberError = (name: string, min: number, max: number | bigint): InvalidMessageError =>
  new InvalidMessageError(`${name} must be a whole number from ${min} to ${max}`);

/** An integer from `min` to `max`, both inclusive. */
export function readCount(object: JsonObject, name: string, min = 0, max = Number.MAX_SAFE_INTEGER): number {
  const value = object[name];
  if (typeof value !== 'number' || !Number.isInteger(value) || value < min || value > max)
    throw wholeNumberError(name, min, max);
  return value;
}

/** An integer from `min` to 2^64 - 1, as `parseJson` reads it. */
export function readUint64(object: JsonObject, name: string, min: 0 | 1 = 0): Uint64 {
  const value = object[name];
  if (!isUint64(value) || value < min) throw wholeNumberError(name, min, UINT64_MAX);
  return value;
}

/** A boolean. */
export function readBoolean(object: JsonObject, name: string): boolean {
  const value = object[name];
  if (typeof value !== 'boolean') throw new InvalidMessageError(`${name} must be true or false`);
  return value;
}

/** A list; its elements are not validated. */
export function readList(object: JsonObject, name: string): unknown[] {
  const value = object[name];
  if (!Array.isArray(value)) throw new InvalidMessageError(`${name} must be a list`);
  return value;
}

/** An optional field: null if it is missing or null, otherwise the value returned by `read`. */
export function readOptional<T>(object: JsonObject, name: string, read: FieldReader<T>): T | null {
  const value = object[name];
  return value === undefined || value === null ? null : read(object, name);
}

/** A string from the keys of `valuesByWireName`; returns the value for that key. */
export function readOneOf<T>(object: JsonObject, name: string, valuesByWireName: Record<string, T>): T {
  const value = object[name];
  if (typeof value !== 'string' || !Object.hasOwn(valuesByWireName, value))
    throw new InvalidMessageError(`${name} must be one of ${Object.keys(valuesByWireName).join(', ')}`);
  return valuesByWireName[value] as T;
}

/** The reverse of `readOneOf`: the wire name of a value. */
export function wireNameOf<T>(valuesByWireName: Record<string, T>, value: T): string {
  return Object.keys(valuesByWireName).find((name) => valuesByWireName[name] === value)!;
}
