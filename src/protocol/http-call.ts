// HTTP requests and responses as the protocol codecs use them, independent of the HTTP client.
import { parseJson } from '../types/exact-json.ts';

/** An HTTP request without the address of the server. */
export interface HttpCall {
  method: string;
  path: string;
  /** JSON; null: no body. */
  body: string | null;
}

/** The part of an HTTP response that is decoded. */
export interface HttpReply {
  status: number;
  /** JSON, or empty. */
  body: Buffer;
}

/** No valid response: it is unknown whether the request was executed or still will be. */
export type NoAnswer = { kind: 'no-answer' };

/**
 * Decodes a response. A missing response (null) or one that cannot be decoded gives `no-answer`; the error of
 * the latter is passed to `onInvalid`.
 */
export function decodeReply<T>(
  reply: HttpReply | null,
  decode: (status: number, json: unknown) => T,
  onInvalid: (error: unknown) => void = () => {},
): T | NoAnswer {
  if (reply === null) return { kind: 'no-answer' };
  try {
    const { status, body } = reply;
    return decode(status, body.length === 0 ? {} : parseJson(body.toString('utf8')));
  } catch (error) {
    onInvalid(error);
    return { kind: 'no-answer' };
  }
}
