// The form of the outbox file: a line that names it, then frames. A frame holds what was written together: either all of it
// is there or none. Layout, numbers little-endian:
//   4 bytes mark, 4 bytes length of the payload, 4 bytes CRC-32 of length and payload, payload (JSON: a list of entries)
import crc from 'crc-32';

export const HEAD = Buffer.from('swiftford outbox 1\n');
const MARK = Buffer.from([0xf7, 0x53, 0x46, 0x0a]);
const OVERHEAD = 12;
const MAX_PAYLOAD = 64 << 20;

export function encodeFrame(entries: readonly unknown[]): Buffer {
  const payload = Buffer.from(JSON.stringify(entries));
  const frame = Buffer.alloc(OVERHEAD + payload.length);
  MARK.copy(frame);
  frame.writeUInt32LE(payload.length, 4);
  payload.copy(frame, OVERHEAD);
  frame.writeUInt32LE(sum(frame, payload.length), 8);
  return frame;
}

const sum = (frame: Uint8Array, length: number): number =>
  crc.buf(frame.subarray(OVERHEAD, OVERHEAD + length), crc.buf(frame.subarray(4, 8))) >>> 0;

/** The payload of a whole and undamaged frame at `at`, and where the next one begins. */
function frameAt(bytes: Buffer, at: number): { payload: Buffer; end: number } | null {
  if (at + OVERHEAD > bytes.length || !bytes.subarray(at, at + 4).equals(MARK)) return null;
  const length = bytes.readUInt32LE(at + 4);
  const end = at + OVERHEAD + length;
  if (length > MAX_PAYLOAD || end > bytes.length) return null;
  if (sum(bytes.subarray(at, end), length) !== bytes.readUInt32LE(at + 8)) return null;
  return { payload: bytes.subarray(at + OVERHEAD, end), end };
}

export interface ReadFrames {
  entries: unknown[];
  /** Length of the part that is in order. */
  end: number;
}

/**
 * Reads a file. What does not make a frame at its end was being written when the process ended: its writer had not yet
 * been told that it is kept, so nothing depends on it, and it is left out. The same before another whole frame is damage:
 * `Damaged` says where, and nothing may be concluded from the rest.
 */
export function readFrames(bytes: Buffer): ReadFrames {
  if (bytes.length < HEAD.length && HEAD.subarray(0, bytes.length).equals(bytes))
    return { entries: [], end: 0 };
  if (!bytes.subarray(0, HEAD.length).equals(HEAD)) throw new DamagedFrameError(0, 'this is no outbox');
  const entries: unknown[] = [];
  let at = HEAD.length;
  for (;;) {
    const frame = frameAt(bytes, at);
    if (frame === null) break;
    entries.push(...parse(frame.payload, at));
    at = frame.end;
  }
  // Also a length that was damaged to reach beyond the end must not hide what comes after it.
  for (let i = bytes.indexOf(MARK, at + 1); i >= 0; i = bytes.indexOf(MARK, i + 1))
    if (frameAt(bytes, i) !== null)
      throw new DamagedFrameError(at, 'a record is damaged, and others follow it');
  return { entries, end: at };
}

function parse(payload: Buffer, at: number): unknown[] {
  try {
    const list = JSON.parse(payload.toString('utf8'));
    if (Array.isArray(list)) return list;
  } catch {}
  throw new DamagedFrameError(at, 'a record cannot be read');
}

export class DamagedFrameError extends Error {
  constructor(
    readonly offset: number,
    readonly reason: string,
  ) {
    super(reason);
  }
}
