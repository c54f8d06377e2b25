// Format of the journal file: a header line, then frames. A frame holds the entries of one write and is read
// as a whole or not at all. Layout of a frame, numbers in little-endian order:
//   marker: 4 bytes; length of the payload: 4 bytes; CRC-32 of length and payload: 4 bytes;
//   payload: JSON array of entries
import crc from 'crc-32';
import { SwiftfordError } from '../../../src/types/errors.ts';

/** The first line of every journal file. */
export const HEADER = Buffer.from('swiftford outbox 1\n');

const FRAME_MARKER = Buffer.from([0xf7, 0x53, 0x46, 0x0a]);
const LENGTH_OFFSET = 4;
const CHECKSUM_OFFSET = 8;
const PAYLOAD_OFFSET = 12;
const MAX_PAYLOAD_BYTES = 64 << 20;

/** A frame, or the header line, is damaged. */
export class DamagedFrameError extends SwiftfordError {
  readonly code = 'DAMAGED_FRAME';

  /** `offset`: position in the file at which the frame begins, in bytes. */
  constructor(
    readonly offset: number,
    readonly reason: string,
    cause?: unknown,
  ) {
    super(reason, { cause });
  }
}

/** Contents of a journal file. */
export interface DecodedFrames {
  /** The entries of all intact frames, in order. */
  entries: unknown[];
  /** Length in bytes of the header line and the intact frames; an incomplete frame may follow. */
  validLength: number;
}

/** Encodes entries that are written together as one frame. */
export function encodeFrame(entries: readonly unknown[]): Buffer {
  const payload = Buffer.from(JSON.stringify(entries));
  const frame = Buffer.alloc(PAYLOAD_OFFSET + payload.length);
  FRAME_MARKER.copy(frame);
  frame.writeUInt32LE(payload.length, LENGTH_OFFSET);
  payload.copy(frame, PAYLOAD_OFFSET);
  frame.writeUInt32LE(checksum(frame, payload.length), CHECKSUM_OFFSET);
  return frame;
}

/**
 * Decodes a journal file. An incomplete frame at the end was being written when the process ended. It was
 * never reported as persisted, so nothing depends on it, and it is ignored. An invalid frame before an intact
 * one is damage: throws DamagedFrameError with its offset, as the later entries cannot be relied on without
 * it.
 */
export function readFrames(bytes: Buffer): DecodedFrames {
  if (bytes.length < HEADER.length && HEADER.subarray(0, bytes.length).equals(bytes))
    return { entries: [], validLength: 0 };
  if (!bytes.subarray(0, HEADER.length).equals(HEADER))
    throw new DamagedFrameError(
      0,
      "not a journal: the file does not begin with the line 'swiftford outbox 1'",
    );
  const entries: unknown[] = [];
  let end = HEADER.length;
  let frame = frameAt(bytes, end);
  while (frame !== null) {
    entries.push(...parsePayload(frame.payload, end));
    end = frame.end;
    frame = frameAt(bytes, end);
  }
  if (hasFrameAfter(bytes, end))
    throw new DamagedFrameError(end, 'a record is damaged and intact records follow it');
  return { entries, validLength: end };
}

/**
 * Whether an intact frame begins after `offset`. Searches for the marker instead of skipping by the length
 * field, as a damaged length may point beyond the end of the file.
 */
function hasFrameAfter(bytes: Buffer, offset: number): boolean {
  let markerOffset = bytes.indexOf(FRAME_MARKER, offset + 1);
  while (markerOffset >= 0) {
    if (frameAt(bytes, markerOffset) !== null) return true;
    markerOffset = bytes.indexOf(FRAME_MARKER, markerOffset + 1);
  }
  return false;
}

/** The payload of the intact frame at `offset` and the offset after it; null if there is none. */
function frameAt(bytes: Buffer, offset: number): { payload: Buffer; end: number } | null {
  const payloadStart = offset + PAYLOAD_OFFSET;
  if (payloadStart > bytes.length) return null;
  if (!bytes.subarray(offset, offset + FRAME_MARKER.length).equals(FRAME_MARKER)) return null;
  const length = bytes.readUInt32LE(offset + LENGTH_OFFSET);
  const end = payloadStart + length;
  if (length > MAX_PAYLOAD_BYTES || end > bytes.length) return null;
  const frame = bytes.subarray(offset, end);
  if (checksum(frame, length) !== frame.readUInt32LE(CHECKSUM_OFFSET)) return null;
  return { payload: bytes.subarray(payloadStart, end), end };
}

function checksum(frame: Uint8Array, payloadLength: number): number {
  const lengthChecksum = crc.buf(frame.subarray(LENGTH_OFFSET, CHECKSUM_OFFSET));
  return crc.buf(frame.subarray(PAYLOAD_OFFSET, PAYLOAD_OFFSET + payloadLength), lengthChecksum) >>> 0;
}

function parsePayload(payload: Buffer, offset: number): unknown[] {
  const invalidPayload = (cause?: unknown): DamagedFrameError =>
    new DamagedFrameError(offset, 'the payload of the record is not a JSON array', cause);
  let entries: unknown;
  try {
    entries = JSON.parse(payload.toString('utf8'));
  } catch (error) {
    throw invalidPayload(error);
  }
  if (!Array.isArray(entries)) throw invalidPayload();
  return entries;
}
