// Responses of the HTTP server as they are sent.

/** A response of the HTTP server. */
export interface ServerResponse {
  status: number;
  /** JSON. */
  body: string;
  /** Seconds after which the client may try again; sent rounded up. */
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

/** The bytes of a response, as text; without `keepAlive` it says that the connection will be closed. */
export function formatResponse(response: ServerResponse, keepAlive: boolean): string {
  const { status, body, retryAfterS } = response;
  const statusLine = `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? 'Status'}\r\n`;
  const retryAfter = retryAfterS === undefined ? '' : `Retry-After: ${Math.ceil(retryAfterS)}\r\n`;
  const connection = keepAlive ? '' : 'Connection: close\r\n';
  const length = `Content-Length: ${Buffer.byteLength(body)}\r\n`;
  return `${statusLine}Content-Type: application/json\r\n${retryAfter}${connection}${length}\r\n${body}`;
}
