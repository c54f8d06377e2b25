// Formats responses of the HTTP server.

/** A response of the HTTP server. */
export interface ServerResponse {
  status: number;
  /** The body, as JSON. */
  body: string;
  /** Seconds after which the client may retry; rounded up in the Retry-After header. */
  retryAfterS?: number;
}

const REASON_PHRASES: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  408: 'Request Timeout',
  413: 'Content Too Large',
  417: 'Expectation Failed',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  429: 'Too Many Requests',
  431: 'Request Header Fields Too Large',
  503: 'Service Unavailable',
};

/** The text of a response; without `keepAlive` it has the header `Connection: close`. */
export function formatResponse(response: ServerResponse, keepAlive: boolean): string {
  const { status, body, retryAfterS } = response;
  const statusLine = `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? 'Status'}\r\n`;
  const retryAfter = retryAfterS === undefined ? '' : `Retry-After: ${Math.ceil(retryAfterS)}\r\n`;
  const connection = keepAlive ? '' : 'Connection: close\r\n';
  const length = `Content-Length: ${Buffer.byteLength(body)}\r\n`;
  return `${statusLine}Content-Type: application/json\r\n${retryAfter}${connection}${length}\r\n${body}`;
}
