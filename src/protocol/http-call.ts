// What the codecs of requests produce for the HTTP client.

/** An HTTP request without the address that it goes to. */
export interface HttpCall {
  method: string;
  path: string;
  /** JSON, or null without a body. */
  body: string | null;
}
