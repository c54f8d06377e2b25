// An incremental parser of HTTP/1.1 messages, for requests and responses. Bytes may arrive in any pieces.
import { SwiftfordError, type SwiftfordErrorOptions } from '../types/errors.ts';

/** A request or a response. */
export interface HttpMessage {
  /** Of a request; empty in a response. */
  method: string;
  /** Of a request; empty in a response. */
  target: string;
  /** Of a response; 0 in a request. */
  status: number;
  /** By their names in lower case. */
  headers: Map<string, string>;
  body: Buffer;
  /** Whether the connection stays open after this message. */
  keepAlive: boolean;
}

/** A message that is not HTTP/1.1 or larger than allowed; `status` is that of the response to it. */
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
const EMPTY = Buffer.alloc(0);

/** Values of `bodyLength` for bodies without a length of their own. */
const CHUNKED = -1;
const UNTIL_CLOSE = -2;

type Role = 'request' | 'response';

/** Reads the messages of one direction of one connection. */
export class HttpParser {
  private buffer: Buffer = EMPTY;
  /** The message whose body is being read. */
  private current: HttpMessage | null = null;
  /** Bytes of the body, `CHUNKED` or `UNTIL_CLOSE`. */
  private bodyLength = 0;
  private chunks: Buffer[] = [];
  private chunkBytes = 0;
  private expectsContinue = false;

  /** `maxBody`: the largest body in bytes. */
  constructor(
    private readonly role: Role,
    private readonly maxBody: number,
  ) {}

  /** True once for each request whose sender waits for `100 Continue` before it sends the body. */
  takeContinue(): boolean {
    const expected = this.expectsContinue;
    this.expectsContinue = false;
    return expected;
  }

  /** True while a message has begun and is not complete. */
  get midMessage(): boolean {
    return this.current !== null || this.buffer.length > 0;
  }

  /** The messages that are complete with these bytes; throws `HttpParseError`. */
  feed(data: Buffer): HttpMessage[] {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    const messages: HttpMessage[] = [];
    for (;;) {
      const message = this.next();
      if (message === null) return messages;
      // The body has come without being asked for.
      this.expectsContinue = false;
      messages.push(message);
    }
  }

  /** The connection was closed: returns a response whose body goes on until then, or null. */
  end(): HttpMessage | null {
    if (this.current === null || this.bodyLength !== UNTIL_CLOSE) return null;
    return this.complete(this.buffer);
  }

  private next(): HttpMessage | null {
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

  /** Takes bytes off the buffer. */
  private skip(bytes: number): void {
    this.buffer = this.buffer.subarray(bytes);
  }

  private readHead(): boolean {
    this.skipBlankLines();
    const end = this.buffer.indexOf(END_OF_HEAD);
    if (end > MAX_HEAD_BYTES || (end < 0 && this.buffer.length > MAX_HEAD_BYTES))
      throw new HttpParseError(431, 'head too large');
    if (end < 0) return false;
    const lines = this.buffer.toString('latin1', 0, end).split(CRLF);
    this.skip(end + END_OF_HEAD.length);
    const message = this.parseStartLine(lines[0] ?? '');
    this.current = message;
    for (let i = 1; i < lines.length; i++) parseHeader(lines[i] ?? '', message.headers);
    this.readExpect(message);
    readConnection(message);
    this.readFraming(message);
    return true;
  }

  /** Blank lines before a message are tolerated, as the standard asks. */
  private skipBlankLines(): void {
    let start = 0;
    while (this.buffer[start] === CR || this.buffer[start] === LF) start++;
    if (start > 0) this.skip(start);
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
      body: EMPTY,
      keepAlive: version === 'HTTP/1.1',
    };
    if (this.role === 'request') parseRequestLine(parts, message);
    else parseStatusLine(parts, message);
    return message;
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
      if (this.bodyLength > this.maxBody) throw new HttpParseError(413, 'body too large');
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
    this.skip(length);
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
      this.skip(end + CRLF.length);
    }
  }

  /** The size of the chunk whose first line ends at `lineEnd`; extensions after `;` are ignored. */
  private parseChunkSize(lineEnd: number): number {
    const line = this.buffer.toString('latin1', 0, lineEnd);
    const hex = line.split(';')[0]!.trim();
    if (!CHUNK_SIZE.test(hex)) throw new HttpParseError(400, 'bad chunk');
    const size = Number.parseInt(hex, 16);
    if (this.chunkBytes + size > this.maxBody) throw new HttpParseError(413, 'body too large');
    return size;
  }

  /** The lines after the last chunk are ignored, up to a blank one. */
  private readTrailer(start: number): HttpMessage | null {
    let lineStart = start;
    for (;;) {
      const lineEnd = this.buffer.indexOf(CRLF, lineStart);
      if (lineEnd < 0) return null;
      if (lineEnd === lineStart) {
        this.skip(lineEnd + CRLF.length);
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
  // Two different lengths would let two readers see two different messages.
  if (name === 'content-length' && headers.has(name) && headers.get(name) !== value)
    throw new HttpParseError(400, 'two lengths');
  headers.set(name, value);
}

function readConnection(message: HttpMessage): void {
  const connection = message.headers.get('connection')?.toLowerCase();
  if (connection === 'close') message.keepAlive = false;
  if (connection === 'keep-alive') message.keepAlive = true;
}
