// Code shared by the server sides of the store and cloud protocols (store-service.ts, cloud-service.ts).
import { stringifyJson } from '../types/exact-json.ts';
import { parseDecimal, toUint64, UINT64_MAX, type Uint64 } from '../types/uint64.ts';
import { asObject, InvalidMessageError, type JsonObject, wholeNumberError } from './json-fields.ts';

/** An encoded HTTP response of a service. */
export interface EncodedReply {
  status: number;
  /** JSON. */
  body: string;
}

/** A decoded request, and the maximum number of items or machines in its reply. */
export interface DecodedRequest<T> {
  request: T;
  pageSize: number;
}

/** Encodes a response with a JSON body. */
export const jsonReply = (status: number, body: unknown): EncodedReply => ({
  status,
  body: stringifyJson(body),
});

/** Encodes a response with the reason why a request was not executed. */
export const failureReply = (status: number, error: string): EncodedReply => jsonReply(status, { error });

/** Encodes a refusal: the request rate was above the limit (`busy`), or the service has a fault. */
export const refusedReply = (busy: boolean): EncodedReply =>
  busy ? failureReply(429, 'too many requests') : failureReply(503, 'trouble');

/** The target of a request: the segments of its path, and its query parameters. */
export interface RequestTarget {
  segments: string[];
  query: URLSearchParams;
}

function parseTarget(target: string): RequestTarget {
  const [path = '', query = ''] = target.split('?', 2);
  return { segments: path.split('/').slice(1), query: new URLSearchParams(query) };
}

/** An integer below 2^64 in a path or query; `name` names it in the `InvalidMessageError`. */
export function parseUint64(text: string | undefined, name: string): Uint64 {
  const integer = parseDecimal(text ?? '');
  if (integer === null || integer > UINT64_MAX) throw wholeNumberError(name, 0, UINT64_MAX);
  return toUint64(integer);
}

/** A non-negative number from the query parameter `name`; 0 if it is missing. */
export function readQueryNumber(query: URLSearchParams, name: string): number {
  const value = Number(query.get(name) ?? 0);
  if (!Number.isFinite(value) || value < 0) throw new InvalidMessageError(`${name} must be a number`);
  return value;
}

/**
 * Decodes a request; `decode` decodes the target and returns null if the path is unknown.
 * The requested page size is capped at `maxPageSize`.
 */
export function decodeRequest<T>(
  path: string,
  maxPageSize: number,
  decode: (target: RequestTarget) => T | null,
): DecodedRequest<T> | null {
  const target = parseTarget(path);
  const pageSize = Math.min(maxPageSize, readQueryNumber(target.query, 'page') || maxPageSize);
  const request = decode(target);
  return request === null ? null : { request, pageSize };
}

/** A list of objects; empty if the field is missing. */
export function readObjectList(object: JsonObject, name: string): JsonObject[] {
  const value = object[name] ?? [];
  if (!Array.isArray(value)) throw new InvalidMessageError(`${name} must be a list`);
  return value.map((element) => asObject(element, name));
}
