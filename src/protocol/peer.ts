// Codec of the messages between controllers: protobuf envelopes (peer.proto) in frames with a 4-byte length
// prefix.
export { decodePeerMessage, PeerDecoder } from './peer-decoder.ts';
export { encodePeerMessage } from './peer-encoder.ts';
export { FrameReader, InvalidPeerMessageError, isForwardedHeartbeat } from './peer-frames.ts';
