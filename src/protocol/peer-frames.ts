// Frames of the connections between controllers: a length of four bytes, big-endian, then one protobuf Envelope.
import { SwiftfordError } from '../types/errors.ts';

/** Another controller sent what no version of this program sends; its connection is of no further use. */
export class InvalidPeerMessageError extends SwiftfordError {
  readonly code = 'INVALID_PEER_MESSAGE';
}

/** Bytes that a frame's length takes. */
export const LENGTH_BYTES = 4;
const MAX_FRAME_BYTES = 256 * 1024;

/** The first byte of a frame with a forwarded heartbeat: field 6 (`forwarded_heartbeat`) of the Envelope, a message. */
const FORWARDED_HEARTBEAT_TAG = (6 << 3) | 2;

/** Whether a frame's body is a forwarded heartbeat, of which thousands may come at once; found without decoding it. */
export const isForwardedHeartbeat = (body: Uint8Array): boolean => body[0] === FORWARDED_HEARTBEAT_TAG;

/** Splits a stream of bytes into the bodies of its frames. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  /** The bodies that are complete with this chunk; throws `InvalidPeerMessageError` if one is too large. */
  frames(chunk: Buffer): Buffer[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const bodies: Buffer[] = [];
    while (this.pending.length >= LENGTH_BYTES) {
      const size = this.pending.readUInt32BE(0);
      if (size > MAX_FRAME_BYTES) {
        throw new InvalidPeerMessageError(`a frame has ${size} bytes; ${MAX_FRAME_BYTES} are the most`);
      }
      const end = LENGTH_BYTES + size;
      if (this.pending.length < end) break;
      bodies.push(this.pending.subarray(LENGTH_BYTES, end));
      this.pending = this.pending.subarray(end);
    }
    return bodies;
  }
}
