// Framing of the messages between controllers: a 4-byte big-endian length, followed by one protobuf Envelope.
import { MAX_PEER_MESSAGE_BYTES } from '../core/base/message-size.ts';
import { SwiftfordError } from '../types/errors.ts';

/** Another controller sent an invalid message; its connection must be closed. */
export class InvalidPeerMessageError extends SwiftfordError {
  readonly code = 'INVALID_PEER_MESSAGE';
}

/** Size of the length prefix of a frame. */
export const LENGTH_PREFIX_BYTES = 4;

/**
 * First byte of a frame's body with a forwarded heartbeat: the tag of field 6 (`forwarded_heartbeat`), wire
 * type 2.
 */
const FORWARDED_HEARTBEAT_TAG = (6 << 3) | 2;

/**
 * Whether a frame's body is a forwarded heartbeat. Checks only the first byte, without decoding the message,
 * because thousands of forwarded heartbeats may arrive at once.
 */
export const isForwardedHeartbeat = (body: Uint8Array): boolean => body[0] === FORWARDED_HEARTBEAT_TAG;

/** Splits a stream of bytes into the bodies of its frames. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  /** Returns the bodies completed by this chunk; throws `InvalidPeerMessageError` if a frame is too large. */
  readFrames(chunk: Buffer): Buffer[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const bodies: Buffer[] = [];
    while (this.pending.length >= LENGTH_PREFIX_BYTES) {
      const size = this.pending.readUInt32BE(0);
      if (size > MAX_PEER_MESSAGE_BYTES) {
        throw new InvalidPeerMessageError(
          `frame of ${size} bytes exceeds the limit of ${MAX_PEER_MESSAGE_BYTES} bytes`,
        );
      }
      const end = LENGTH_PREFIX_BYTES + size;
      if (this.pending.length < end) break;
      bodies.push(this.pending.subarray(LENGTH_PREFIX_BYTES, end));
      this.pending = this.pending.subarray(end);
    }
    return bodies;
  }
}
