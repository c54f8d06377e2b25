// Incremental parser of HTTP/1.1 requests and responses. The byte stream may be split anywhere.
import { SwiftfordError, type SwiftfordErrorOptions } from '../types/errors.ts';

/** A request or a response. */
export interface HttpMessage {
  /** Method of a request; empty in a response. */
  method: string;
  /** Target of a request (path and query); empty in a response. */
  target: string;
  /** Status of a response; 0 in a request. */
  status: number;
  /** Header values by their names in lower case. */
  headers: Map<string, string>;
  body: Buffer;
  /** Whether the connection stays open after this message. */
  keepAlive: boolean;
}

/**
 * Thrown for a message that is not valid HTTP/1.x or too large; `status` is the status of the response to it.
 */
export class HttpParseError extends SwiftfordError {
  readonly code = 'INVALID_HTTP';

  constructor(
    readonly status: number,
    reason: string,
    options: SwiftfordErrorOptions = {},
  ) {
    super(reason, options);
  }
}

const MAX_HEAD_BYTES = 16 * 1024;
const MAX_CHUNK_LINE_BYTES = 1024;
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const CONTENT_LENGTH = /^\d{1,15}$/;
const CHUNK_SIZE = /^[0-9a-fA-F]{1,8}$/;
const CR = 13;
const LF = 10;
const CRLF = '\r\n';
const END_OF_HEAD = '\r\n\r\n';
const EMPTY_BUFFER = Buffer.alloc(0);

/** Values of `bodyLength` for bodies without a Content-Length. */
const CHUNKED = -1;
const UNTIL_CLOSE = -2;

type Role = 'request' | 'response';

/** Maximum size of a body in bytes, of all messages or by the target of a request. */
export type BodyLimit = number | ((target: string) => number);

/** Parses the messages in one direction of a connection. */
export class HttpParser {
  private buffer: Buffer = EMPTY_BUFFER;
  /** The message whose body is being read. */
  private current: HttpMessage | null = null;
  /** Number of bytes of the body, or `CHUNKED` or `UNTIL_CLOSE`. */
  private bodyLength = 0;
  private chunks: Buffer[] = [];
  private chunkBytes = 0;
  private expectsContinue = false;

  constructor(
    private readonly role: Role,
    private readonly bodyLimit: BodyLimit,
  ) {}

  /**
   * Whether the sender of the current request waits for `100 Continue` before it sends the body. Resets this
   * state, so that the result is true only once for each request.
   */
  takeExpectsContinue(): boolean {
    const expected = this.expectsContinue;
    this.expectsContinue = false;
    return expected;
  }

  /** The target of the request whose body is being read; null if none is. */
  get currentTarget(): string | null {
    return this.current?.target ?? null;
  }

  /** True while a message is incomplete. */
  get isMidMessage(): boolean {
    return this.current !== null || this.buffer.length > 0;
  }

  /** Parses further bytes; returns the messages that they complete. Throws `HttpParseError`. */
  feed(data: Buffer): HttpMessage[] {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    const messages: HttpMessage[] = [];
    for (;;) {
      const message = this.nextMessage();
      if (message === null) return messages;
      // The sender did not wait for `100 Continue`: the body has arrived.
      this.expectsContinue = false;
      messages.push(message);
    }
  }

  /** Called when the connection was closed: returns the response whose body ends with it, or null. */
  end(): HttpMessage | null {
    if (this.current === null || this.bodyLength !== UNTIL_CLOSE) return null;
    return this.complete(this.buffer);
  }

  private nextMessage(): HttpMessage | null {
    if (this.current === null && !this.readHead()) return null;
    if (this.bodyLength === UNTIL_CLOSE) return null;
    return this.bodyLength === CHUNKED ? this.readChunkedBody() : this.readSizedBody();
  }

  private complete(body: Buffer): HttpMessage {
    const message = this.current!;
    message.body = body;
    this.current = null;
    this.chunks = [];
    this.chunkBytes = 0;
    return message;
  }

  /** Removes bytes from the start of the buffer. */
  private consume(bytes: number): void {
    this.buffer = this.buffer.subarray(bytes);
  }

  private readHead(): boolean {
    this.skipBlankLines();
    const end = this.buffer.indexOf(END_OF_HEAD);
    if (end > MAX_HEAD_BYTES || (end < 0 && this.buffer.length > MAX_HEAD_BYTES))
      throw new HttpParseError(431, 'head too large');
    if (end < 0) return false;
    const lines = this.buffer.toString('latin1', 0, end).split(CRLF);
    this.consume(end + END_OF_HEAD.length);
    const message = this.parseStartLine(lines[0] ?? '');
    this.current = message;
    for (let i = 1; i < lines.length; i++) parseHeader(lines[i] ?? '', message.headers);
    this.readExpect(message);
    readConnection(message);
    this.readFraming(message);
    return true;
  }

  /** Blank lines before a message are ignored, as RFC 9112 recommends. */
  private skipBlankLines(): void {
    let start = 0;
    while (this.buffer[start] === CR || this.buffer[start] === LF) start++;
    if (start > 0) this.consume(start);
  }

  private parseStartLine(line: string): HttpMessage {
    const parts = line.split(' ');
    const version = this.role === 'request' ? parts[2] : parts[0];
    if (version !== 'HTTP/1.1' && version !== 'HTTP/1.0') throw new HttpParseError(400, 'bad start line');
    const message: HttpMessage = {
      method: '',
      target: '',
      status: 0,
      headers: new Map(),
      body: EMPTY_BUFFER,
      keepAlive: version === 'HTTP/1.1',
    };
    if (this.role === 'request') parseRequestLine(parts, message);
    else parseStatusLine(parts, message);
    return message;
  }

  /** Maximum size of the body that is being read. */
  private get maxBodyBytes(): number {
    return typeof this.bodyLimit === 'number' ? this.bodyLimit : this.bodyLimit(this.currentTarget ?? '');
  }

  private readExpect(message: HttpMessage): void {
    const expect = message.headers.get('expect')?.toLowerCase();
    if (this.role !== 'request' || expect === undefined) return;
    if (expect !== '100-continue') throw new HttpParseError(417, 'cannot do what is expected');
    this.expectsContinue = true;
  }

  private readFraming(message: HttpMessage): void {
    const coding = message.headers.get('transfer-encoding');
    const length = message.headers.get('content-length');
    if (coding !== undefined) {
      if (coding.toLowerCase() !== 'chunked' || length !== undefined)
        throw new HttpParseError(400, 'bad framing');
      this.bodyLength = CHUNKED;
      return;
    }
    if (length !== undefined) {
      if (!CONTENT_LENGTH.test(length)) throw new HttpParseError(400, 'bad length');
      this.bodyLength = Number(length);
      if (this.bodyLength > this.maxBodyBytes) throw new HttpParseError(413, 'body too large');
      return;
    }
    const hasNoBody = this.role === 'request' || message.status === 204 || message.status === 304;
    this.bodyLength = hasNoBody ? 0 : UNTIL_CLOSE;
    if (!hasNoBody) message.keepAlive = false;
  }

  private readSizedBody(): HttpMessage | null {
    const length = this.bodyLength;
    if (this.buffer.length < length) return null;
    const body = this.buffer.subarray(0, length);
    this.consume(length);
    return this.complete(body);
  }

  private readChunkedBody(): HttpMessage | null {
    for (;;) {
      const lineEnd = this.buffer.indexOf(CRLF);
      if (lineEnd < 0) {
        if (this.buffer.length > MAX_CHUNK_LINE_BYTES) throw new HttpParseError(400, 'bad chunk');
        return null;
      }
      const size = this.parseChunkSize(lineEnd);
      const start = lineEnd + CRLF.length;
      if (size === 0) return this.readTrailer(start);
      const end = start + size;
      if (this.buffer.length < end + CRLF.length) return null;
      if (this.buffer[end] !== CR) throw new HttpParseError(400, 'bad chunk');
      this.chunks.push(this.buffer.subarray(start, end));
      this.chunkBytes += size;
      this.consume(end + CRLF.length);
    }
  }

  /**
   * Parses the size of the chunk whose first line ends at `lineEnd`; chunk extensions after `;` are ignored.
   */
  private parseChunkSize(lineEnd: number): number {
    const line = this.buffer.toString('latin1', 0, lineEnd);
    const hex = line.split(';')[0]!.trim();
    if (!CHUNK_SIZE.test(hex)) throw new HttpParseError(400, 'bad chunk');
    const size = Number.parseInt(hex, 16);
    if (this.chunkBytes + size > this.maxBodyBytes) throw new HttpParseError(413, 'body too large');
    return size;
  }

  /** Skips the trailer section, which ends with a blank line, and completes the message. */
  private readTrailer(start: number): HttpMessage | null {
    let lineStart = start;
    for (;;) {
      const lineEnd = this.buffer.indexOf(CRLF, lineStart);
      if (lineEnd < 0) return null;
      if (lineEnd === lineStart) {
        this.consume(lineEnd + CRLF.length);
        return this.complete(Buffer.concat(this.chunks));
      }
      lineStart = lineEnd + CRLF.length;
    }
  }
}

function parseRequestLine(parts: string[], message: HttpMessage): void {
  message.method = parts[0] ?? '';
  message.target = parts[1] ?? '';
  if (parts.length !== 3 || !TOKEN.test(message.method) || !message.target.startsWith('/'))
    throw new HttpParseError(400, 'bad request line');
}

function parseStatusLine(parts: string[], message: HttpMessage): void {
  const status = Number(parts[1]);
  if (!Number.isInteger(status) || status < 100 || status > 599) throw new HttpParseError(400, 'bad status');
  message.status = status;
}

function parseHeader(line: string, headers: Map<string, string>): void {
  const colon = line.indexOf(':');
  const name = line.slice(0, colon).toLowerCase();
  if (colon < 1 || !TOKEN.test(name)) throw new HttpParseError(400, 'bad header');
  const value = line.slice(colon + 1).trim();
  // With two different lengths, a proxy and this server could see different messages (request smuggling).
  if (name === 'content-length' && headers.has(name) && headers.get(name) !== value)
    throw new HttpParseError(400, 'two lengths');
  headers.set(name, value);
}

function readConnection(message: HttpMessage): void {
  const connection = message.headers.get('connection')?.toLowerCase();
  if (connection === 'close') message.keepAlive = false;
  if (connection === 'keep-alive') message.keepAlive = true;
}
