// What the services' ends of the protocols (store-service.ts, cloud-service.ts) share.
import { asObject, InvalidMessageError, type JsonObject } from './json-fields.ts';

/** A service's response over HTTP. */
export interface EncodedReply {
  status: number;
  /** JSON. */
  body: string;
}

/** A request as a service reads it, with the number of items or machines that one reply may hold. */
export interface DecodedRequest<T> {
  op: T;
  page: number;
}

/** A response with a JSON body. */
export const jsonReply = (status: number, body: unknown): EncodedReply => ({
  status,
  body: JSON.stringify(body),
});

/** A response that says why a request was not carried out. */
export const failureReply = (status: number, error: string): EncodedReply => jsonReply(status, { error });

/** A request that was not carried out, because there were too many or because the service is in trouble. */
export const refusedReply = (busy: boolean): EncodedReply =>
  busy ? failureReply(429, 'too many requests') : failureReply(503, 'trouble');

/** The segments of a request's path, and its query. */
export interface RequestTarget {
  segments: string[];
  query: URLSearchParams;
}

function parseTarget(target: string): RequestTarget {
  const [path = '', query = ''] = target.split('?', 2);
  return { segments: path.split('/').slice(1), query: new URLSearchParams(query) };
}

/** A number of the query that is not negative, 0 if it is missing. */
export function readQueryNumber(query: URLSearchParams, name: string): number {
  const value = Number(query.get(name) ?? 0);
  if (!Number.isFinite(value) || value < 0) throw new InvalidMessageError(`${name} must be a number`);
  return value;
}

/**
 * Reads a request: `decode` reads its operation, null if there is no such path.
 * Pages have at most `maxPageSize` items, whatever the query asks for.
 */
export function decodeRequest<T>(
  path: string,
  maxPageSize: number,
  decode: (target: RequestTarget) => T | null,
): DecodedRequest<T> | null {
  const target = parseTarget(path);
  const page = Math.min(maxPageSize, readQueryNumber(target.query, 'page') || maxPageSize);
  const op = decode(target);
  return op === null ? null : { op, page };
}

/** A list of objects, empty if it is missing. */
export function readObjectList(object: JsonObject, name: string): JsonObject[] {
  const value = object[name] ?? [];
  if (!Array.isArray(value)) throw new InvalidMessageError(`${name} must be a list`);
  return value.map((element) => asObject(element, name));
}
