// The format of the journal's file: a header line, then frames. A frame holds what was written together:
// either all of it is there or none. Layout, numbers little-endian:
//   mark: 4 bytes; length of the payload: 4 bytes; CRC-32 of length and payload: 4 bytes;
//   payload: JSON, a list of entries
import crc from 'crc-32';
import { SwiftfordError } from '../../../src/types/errors.ts';

/** The header line of every journal. */
export const HEADER = Buffer.from('swiftford outbox 1\n');

const MARK = Buffer.from([0xf7, 0x53, 0x46, 0x0a]);
const LENGTH_OFFSET = 4;
const CHECKSUM_OFFSET = 8;
const PAYLOAD_OFFSET = 12;
const MAX_PAYLOAD_BYTES = 64 << 20;

/** A frame is damaged. */
export class DamagedFrameError extends SwiftfordError {
  readonly code = 'DAMAGED_FRAME';

  /** `offset`: where the frame begins, in bytes. */
  constructor(
    readonly offset: number,
    readonly reason: string,
    cause?: unknown,
  ) {
    super(reason, { cause });
  }
}

/** What was read from a file. */
export interface DecodedFrames {
  /** The entries of all whole frames, in order. */
  entries: unknown[];
  /** Length in bytes of the part that is in order. */
  end: number;
}

/** The frame for entries that are written together. */
export function encodeFrame(entries: readonly unknown[]): Buffer {
  const payload = Buffer.from(JSON.stringify(entries));
  const frame = Buffer.alloc(PAYLOAD_OFFSET + payload.length);
  MARK.copy(frame);
  frame.writeUInt32LE(payload.length, LENGTH_OFFSET);
  payload.copy(frame, PAYLOAD_OFFSET);
  frame.writeUInt32LE(checksum(frame, payload.length), CHECKSUM_OFFSET);
  return frame;
}

/**
 * Reads a file. What does not make a frame at its end was being written when the process ended: its writer
 * did not yet know that it is on disk, so nothing depends on it, and it is left out. The same before
 * another whole frame is damage: DamagedFrameError says where, and nothing may be concluded from the rest.
 */
export function readFrames(bytes: Buffer): DecodedFrames {
  if (bytes.length < HEADER.length && HEADER.subarray(0, bytes.length).equals(bytes))
    return { entries: [], end: 0 };
  if (!bytes.subarray(0, HEADER.length).equals(HEADER)) throw new DamagedFrameError(0, 'this is no outbox');
  const entries: unknown[] = [];
  let end = HEADER.length;
  let frame = frameAt(bytes, end);
  while (frame !== null) {
    entries.push(...parsePayload(frame.payload, end));
    end = frame.end;
    frame = frameAt(bytes, end);
  }
  if (hasFrameAfter(bytes, end))
    throw new DamagedFrameError(end, 'a record is damaged, and others follow it');
  return { entries, end };
}

/** A length that was damaged to reach beyond the end must not hide what comes after it either. */
function hasFrameAfter(bytes: Buffer, offset: number): boolean {
  let mark = bytes.indexOf(MARK, offset + 1);
  while (mark >= 0) {
    if (frameAt(bytes, mark) !== null) return true;
    mark = bytes.indexOf(MARK, mark + 1);
  }
  return false;
}

/** The payload of a whole and undamaged frame at `offset`, and where the next one begins. */
function frameAt(bytes: Buffer, offset: number): { payload: Buffer; end: number } | null {
  const payloadStart = offset + PAYLOAD_OFFSET;
  if (payloadStart > bytes.length) return null;
  if (!bytes.subarray(offset, offset + MARK.length).equals(MARK)) return null;
  const length = bytes.readUInt32LE(offset + LENGTH_OFFSET);
  const end = payloadStart + length;
  if (length > MAX_PAYLOAD_BYTES || end > bytes.length) return null;
  const frame = bytes.subarray(offset, end);
  if (checksum(frame, length) !== frame.readUInt32LE(CHECKSUM_OFFSET)) return null;
  return { payload: bytes.subarray(payloadStart, end), end };
}

function checksum(frame: Uint8Array, payloadLength: number): number {
  const ofLength = crc.buf(frame.subarray(LENGTH_OFFSET, CHECKSUM_OFFSET));
  return crc.buf(frame.subarray(PAYLOAD_OFFSET, PAYLOAD_OFFSET + payloadLength), ofLength) >>> 0;
}

function parsePayload(payload: Buffer, offset: number): unknown[] {
  const unreadable = (cause?: unknown): DamagedFrameError =>
    new DamagedFrameError(offset, 'a record cannot be read', cause);
  let list: unknown;
  try {
    list = JSON.parse(payload.toString('utf8'));
  } catch (error) {
    throw unreadable(error);
  }
  if (!Array.isArray(list)) throw unreadable();
  return list;
}
