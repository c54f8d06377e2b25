// Reads the fields of JSON messages, with errors that name the field.
import { SwiftfordError } from '../types/errors.ts';

/** A message does not follow the protocol. The text names the field and is shown to whoever sent the message. */
export class InvalidMessageError extends SwiftfordError {
  readonly code = 'INVALID_MESSAGE';
}

/** A JSON object whose fields have not been checked yet. */
export type JsonObject = Record<string, unknown>;

/** Reads one field of an object; throws `InvalidMessageError` if it is missing or invalid. */
export type FieldReader<T> = (object: JsonObject, name: string) => T;

const MAX_STRING_LENGTH = 200;
const MAX_AMOUNT = 1e9;

/** Checks that a value is a JSON object; `what` names it in the `InvalidMessageError`. */
export function asObject(value: unknown, what: string): JsonObject {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new InvalidMessageError(`${what} must be an object`);
  return value as JsonObject;
}

/** A string that is neither empty nor longer than 200 characters. */
export function readString(object: JsonObject, name: string): string {
  const value = object[name];
  if (typeof value !== 'string' || value === '' || value.length > MAX_STRING_LENGTH)
    throw new InvalidMessageError(`${name} must be a string`);
  return value;
}

/** A finite number between two bounds, both included. */
export function readAmount(object: JsonObject, name: string, min = 0, max = MAX_AMOUNT): number {
  const value = object[name];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < min || value > max)
    throw new InvalidMessageError(`${name} must be a number from ${min}`);
  return value;
}

/** A whole number between two bounds, both included. */
export function readCount(object: JsonObject, name: string, min = 0, max = Number.MAX_SAFE_INTEGER): number {
  const value = object[name];
  if (typeof value !== 'number' || !Number.isInteger(value) || value < min || value > max)
    throw new InvalidMessageError(`${name} must be a whole number from ${min} to ${max}`);
  return value;
}

/** `true` or `false`. */
export function readBoolean(object: JsonObject, name: string): boolean {
  const value = object[name];
  if (typeof value !== 'boolean') throw new InvalidMessageError(`${name} must be true or false`);
  return value;
}

/** A list, whose elements are not checked. */
export function readList(object: JsonObject, name: string): unknown[] {
  const value = object[name];
  if (!Array.isArray(value)) throw new InvalidMessageError(`${name} must be a list`);
  return value;
}

/** A field that may be missing or null; `read` reads it otherwise. */
export function readOptional<T>(object: JsonObject, name: string, read: FieldReader<T>): T | null {
  const value = object[name];
  return value === undefined || value === null ? null : read(object, name);
}

/** A string that the protocol gives a meaning: `meanings` maps each one to its value in the domain. */
export function readOneOf<T>(object: JsonObject, name: string, meanings: Record<string, T>): T {
  const value = object[name];
  if (typeof value !== 'string' || !Object.hasOwn(meanings, value))
    throw new InvalidMessageError(`${name} must be one of ${Object.keys(meanings).join(', ')}`);
  return meanings[value] as T;
}

/** The reverse of `readOneOf`: the string that stands for a value on the wire. */
export function wireNameOf<T>(meanings: Record<string, T>, value: T): string {
  return Object.keys(meanings).find((name) => meanings[name] === value)!;
}
