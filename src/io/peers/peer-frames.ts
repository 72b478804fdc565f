/** Frames of the link between controllers: protobuf messages, each preceded by its length in four bytes, big-endian. */
import protobuf from 'protobufjs/light.js';
import { ProtocolError } from '../protocol-error.js';

/** The longest frame that is read, and the most that a server keeps unsent for one connection. */
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

/** A request, or the answer to the request with the same number. */
export interface Frame {
  number: number;
  answer: boolean;
  /** The job whose cancellation is forwarded. */
  cancel: string;
  /** What became of the cancellation. */
  outcome: string;
  /** Asks for, or tells of, contact to the state service. */
  contact: boolean;
  /** The subject of a package's request; empty: none. */
  topic: string;
  /** The content of a package's request or answer. */
  payload: Uint8Array;
}

/**
 * The fields that versions without topics always send. A field that is left out has its default at the receiver, but an
 * explicitly empty one changes the bytes on the wire.
 */
export const EMPTY_FRAME = { answer: false, cancel: '', outcome: '', contact: false };

/** The bytes of a frame, with its length. */
export function encodeFrame(frame: Partial<Frame>): Buffer {
  const body = FrameType.encode(FrameType.create(frame)).finish();
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, LENGTH_BYTES);
  return bytes;
}

/** Splits a connection's bytes into frames. Throws `ProtocolError` on one that is too long, or protobuf's error. */
export async function* readFrames(socket: AsyncIterable<Buffer>): AsyncGenerator<Frame> {
  let buffered: Buffer = Buffer.alloc(0);
  for await (const chunk of socket) {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    while (buffered.length >= LENGTH_BYTES) {
      const bodyBytes = buffered.readUInt32BE(0);
      if (bodyBytes > MAX_FRAME_BYTES) throw new ProtocolError(`frame of ${bodyBytes} bytes`);
      const frameBytes = LENGTH_BYTES + bodyBytes;
      if (buffered.length < frameBytes) break;
      yield FrameType.decode(buffered.subarray(LENGTH_BYTES, frameBytes)) as unknown as Frame;
      buffered = buffered.subarray(frameBytes);
    }
  }
}
