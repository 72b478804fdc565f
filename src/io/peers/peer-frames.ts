/** Frames between controllers: protobuf messages, each preceded by its length in bytes as a big-endian uint32. */
import protobuf from 'protobufjs/light.js';
import { ProtocolError } from '../protocol-error.js';

/** Maximum bytes of a received frame; a server drops answers to a connection with this many unsent bytes. */
export const MAX_FRAME_BYTES = 64 * 1024;
const LENGTH_BYTES = 4;

const root = protobuf.Root.fromJSON({
  nested: {
    Frame: {
      fields: {
        number: { type: 'uint32', id: 1 },
        answer: { type: 'bool', id: 2 },
        cancel: { type: 'string', id: 3 },
        outcome: { type: 'string', id: 4 },
        contact: { type: 'bool', id: 5 },
        topic: { type: 'string', id: 6 },
        payload: { type: 'bytes', id: 7 },
      },
    },
  },
});
const FrameType = root.lookupType('Frame');

/** A request (with a topic, for contact, else a cancellation), or the answer to the request with the same number. */
export interface Frame {
  /** Identifies a request on its connection. */
  number: number;
  /** Whether this frame is an answer. */
  answer: boolean;
  /** Id of the job whose cancellation a request forwards. */
  cancel: string;
  /** Outcome of a forwarded cancellation, in its answer; empty if it failed. */
  outcome: string;
  /** In a request: asks whether the receiver has contact with the state service. In the answer: whether it has. */
  contact: boolean;
  /** Topic of a plugin's request; empty in all other frames. */
  topic: string;
  /** Content of a plugin's request or of the answer to it. */
  payload: Uint8Array;
}

/**
 * Default values of the fields that versions without topics always send. Left out, a field has the same value at the
 * receiver, but the frame's bytes differ from those of these versions.
 */
export const EMPTY_FRAME = { answer: false, cancel: '', outcome: '', contact: false };

/** Encodes a frame, preceded by its length. */
export function encodeFrame(frame: Partial<Frame>): Buffer {
  const body = FrameType.encode(FrameType.create(frame)).finish();
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, LENGTH_BYTES);
  return bytes;
}

/** Decodes the frames of a connection. Throws `ProtocolError` on a frame that is too long, or protobuf's errors. */
export async function* readFrames(socket: AsyncIterable<Buffer>): AsyncGenerator<Frame> {
  let buffered: Buffer = Buffer.alloc(0);
  for await (const chunk of socket) {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    while (buffered.length >= LENGTH_BYTES) {
      const bodyBytes = buffered.readUInt32BE(0);
      if (bodyBytes > MAX_FRAME_BYTES)
        throw new ProtocolError(`received frame of ${bodyBytes} bytes, expected at most ${MAX_FRAME_BYTES}`);
      const frameBytes = LENGTH_BYTES + bodyBytes;
      if (buffered.length < frameBytes) break;
      yield FrameType.decode(buffered.subarray(LENGTH_BYTES, frameBytes)) as unknown as Frame;
      buffered = buffered.subarray(frameBytes);
    }
  }
}
