// An incremental HTTP/1.1 message parser for both directions. Bytes may arrive in any pieces.

export interface Message {
  /** Request: method and target. Response: the status in `status`. */
  method: string;
  target: string;
  status: number;
  headers: Map<string, string>;
  body: Buffer;
  keepAlive: boolean;
}

export class HttpParseError extends Error {
  readonly status: number;
  constructor(status: number, reason: string) {
    super(reason);
    this.status = status;
  }
}

const MAX_HEAD = 16 * 1024;
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const EMPTY = Buffer.alloc(0);
type Role = 'request' | 'response';

export class HttpParser {
  private buffer: Buffer = EMPTY;
  private head: Message | null = null;
  /** Bytes of body still expected; -1 while chunked, -2 when the body runs to the end of the connection. */
  private need = 0;
  private chunks: Buffer[] = [];
  private chunkBytes = 0;
  private waitsForContinue = false;
  private readonly role: Role;
  private readonly maxBody: number;

  constructor(role: Role, maxBody: number) {
    this.role = role;
    this.maxBody = maxBody;
  }

  /** Once for each message whose sender waits to be told to go on with the body. */
  takeContinue(): boolean {
    const waits = this.waitsForContinue;
    this.waitsForContinue = false;
    return waits;
  }

  /** True while a message has begun and is not complete. */
  get midMessage(): boolean {
    return this.head !== null || this.buffer.length > 0;
  }

  feed(data: Buffer): Message[] {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    const out: Message[] = [];
    for (;;) {
      const m = this.next();
      if (m === null) return out;
      // The body has come without being asked for.
      this.waitsForContinue = false;
      out.push(m);
    }
  }

  /** The connection ended: completes a response whose body runs to the end. */
  end(): Message | null {
    if (this.head === null || this.need !== -2) return null;
    const m = this.head;
    m.body = this.buffer;
    this.reset();
    return m;
  }

  private reset(): void {
    this.head = null;
    this.chunks = [];
    this.chunkBytes = 0;
  }

  private next(): Message | null {
    if (this.head === null && !this.readHead()) return null;
    if (this.need === -2) return null;
    return this.need === -1 ? this.readChunked() : this.readSized();
  }

  private readHead(): boolean {
    // Blank lines before a message are tolerated, as the standard asks.
    let start = 0;
    while (this.buffer[start] === 13 || this.buffer[start] === 10) start++;
    if (start > 0) this.buffer = this.buffer.subarray(start);
    const end = this.buffer.indexOf('\r\n\r\n');
    if (end > MAX_HEAD || (end < 0 && this.buffer.length > MAX_HEAD))
      throw new HttpParseError(431, 'head too large');
    if (end < 0) return false;
    const lines = this.buffer.toString('latin1', 0, end).split('\r\n');
    this.buffer = this.buffer.subarray(end + 4);
    this.head = this.startLine(lines[0] ?? '');
    for (let i = 1; i < lines.length; i++) this.header(lines[i] ?? '');
    this.frame(this.head);
    return true;
  }

  private startLine(line: string): Message {
    const parts = line.split(' ');
    const version = this.role === 'request' ? parts[2] : parts[0];
    if (version !== 'HTTP/1.1' && version !== 'HTTP/1.0') throw new HttpParseError(400, 'bad start line');
    const m: Message = {
      method: '',
      target: '',
      status: 0,
      headers: new Map(),
      body: EMPTY,
      keepAlive: version === 'HTTP/1.1',
    };
    if (this.role === 'request') {
      m.method = parts[0] ?? '';
      m.target = parts[1] ?? '';
      if (parts.length !== 3 || !TOKEN.test(m.method) || !m.target.startsWith('/'))
        throw new HttpParseError(400, 'bad request line');
    } else {
      m.status = Number(parts[1]);
      if (!Number.isInteger(m.status) || m.status < 100 || m.status > 599)
        throw new HttpParseError(400, 'bad status');
    }
    return m;
  }

  private header(line: string): void {
    const colon = line.indexOf(':');
    const name = line.slice(0, colon).toLowerCase();
    if (colon < 1 || !TOKEN.test(name)) throw new HttpParseError(400, 'bad header');
    const value = line.slice(colon + 1).trim();
    const headers = this.head!.headers;
    // Two different lengths would let two readers see two different messages.
    if (name === 'content-length' && headers.has(name) && headers.get(name) !== value)
      throw new HttpParseError(400, 'two lengths');
    headers.set(name, value);
  }

  private frame(m: Message): void {
    const expect = m.headers.get('expect')?.toLowerCase();
    if (this.role === 'request' && expect !== undefined) {
      if (expect !== '100-continue') throw new HttpParseError(417, 'cannot do what is expected');
      this.waitsForContinue = true;
    }
    const connection = m.headers.get('connection')?.toLowerCase();
    if (connection === 'close') m.keepAlive = false;
    if (connection === 'keep-alive') m.keepAlive = true;
    const coding = m.headers.get('transfer-encoding');
    const length = m.headers.get('content-length');
    if (coding !== undefined) {
      if (coding.toLowerCase() !== 'chunked' || length !== undefined)
        throw new HttpParseError(400, 'bad framing');
      this.need = -1;
    } else if (length !== undefined) {
      if (!/^\d{1,15}$/.test(length)) throw new HttpParseError(400, 'bad length');
      this.need = Number(length);
      if (this.need > this.maxBody) throw new HttpParseError(413, 'body too large');
    } else {
      const bodyless = this.role === 'request' || m.status === 204 || m.status === 304;
      this.need = bodyless ? 0 : -2;
      if (!bodyless) m.keepAlive = false;
    }
  }

  private readSized(): Message | null {
    if (this.buffer.length < this.need) return null;
    const m = this.head!;
    m.body = this.buffer.subarray(0, this.need);
    this.buffer = this.buffer.subarray(this.need);
    this.reset();
    return m;
  }

  private readChunked(): Message | null {
    for (;;) {
      const end = this.buffer.indexOf('\r\n');
      if (end < 0) {
        if (this.buffer.length > 1024) throw new HttpParseError(400, 'bad chunk');
        return null;
      }
      const hex = this.buffer.toString('latin1', 0, end).split(';')[0]!.trim();
      if (!/^[0-9a-fA-F]{1,8}$/.test(hex)) throw new HttpParseError(400, 'bad chunk');
      const size = Number.parseInt(hex, 16);
      if (this.chunkBytes + size > this.maxBody) throw new HttpParseError(413, 'body too large');
      if (size === 0) return this.readTrailer(end + 2);
      if (this.buffer.length < end + 2 + size + 2) return null;
      if (this.buffer[end + 2 + size] !== 13) throw new HttpParseError(400, 'bad chunk');
      this.chunks.push(this.buffer.subarray(end + 2, end + 2 + size));
      this.chunkBytes += size;
      this.buffer = this.buffer.subarray(end + 2 + size + 2);
    }
  }

  private readTrailer(from: number): Message | null {
    let at = from;
    for (;;) {
      const end = this.buffer.indexOf('\r\n', at);
      if (end < 0) return null;
      if (end === at) {
        const m = this.head!;
        m.body = Buffer.concat(this.chunks);
        this.buffer = this.buffer.subarray(end + 2);
        this.reset();
        return m;
      }
      at = end + 2;
    }
  }
}
