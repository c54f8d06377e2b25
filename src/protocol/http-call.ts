// What the codecs have to do with HTTP, whatever the client.

/** An HTTP request without the address that it goes to. */
export interface HttpCall {
  method: string;
  path: string;
  /** JSON, or null without a body. */
  body: string | null;
}

/** The part of an HTTP response that is decoded. */
export interface HttpReply {
  status: number;
  /** JSON, or empty. */
  body: Buffer;
}

/** It is not known whether a request was executed, or will be. */
export type NoAnswer = { kind: 'no-answer' };

/** Decodes a response; one that is missing (null) or cannot be read counts as no answer. */
export function decodeReply<T>(
  reply: HttpReply | null,
  decode: (status: number, json: unknown) => T,
): T | NoAnswer {
  if (reply === null) return { kind: 'no-answer' };
  try {
    const { status, body } = reply;
    return decode(status, body.length === 0 ? {} : JSON.parse(body.toString('utf8')));
  } catch {
    return { kind: 'no-answer' };
  }
}
