/**
 * The link between controllers: length-prefixed protobuf frames over plain sockets, one connection to each
 * peer, questions and answers matched by number. It only makes things faster; nothing depends on it.
 */
import net from 'node:net';
import protobuf from 'protobufjs/light.js';
import { splitAddress } from '../../core/model/address.js';

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
interface Frame {
  number: number;
  answer: boolean;
  cancel: string;
  outcome: string;
  /** Asks for, or tells of, contact to the state service. */
  contact: boolean;
  /** What a package asks that of another controller, and the answer; empty: none. */
  topic: string;
  payload: Uint8Array;
}
/** What versions without topics have always sent; a field that is left out has its default at the other end. */
const EMPTY = { answer: false, cancel: '', outcome: '', contact: false };
const MAX_FRAME_BYTES = 64 * 1024;

function encode(f: Partial<Frame>): Buffer {
  const body = FrameType.encode(FrameType.create(f)).finish();
  const out = Buffer.allocUnsafe(4 + body.length);
  out.writeUInt32BE(body.length, 0);
  out.set(body, 4);
  return out;
}

/** Splits a connection's bytes into messages of the peer protocol. */
export async function* readFrames(socket: AsyncIterable<Buffer>): AsyncGenerator<Frame> {
  let held: Buffer = Buffer.alloc(0);
  for await (const chunk of socket) {
    held = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
    while (held.length >= 4) {
      const n = held.readUInt32BE(0);
      if (n > MAX_FRAME_BYTES) throw new Error('frame too long');
      if (held.length < 4 + n) break;
      yield FrameType.decode(held.subarray(4, 4 + n)) as unknown as Frame;
      held = held.subarray(4 + n);
    }
  }
}

/** Takes a cancellation from another controller and says what became of it. */
export type CancelHandler = (job: string) => Promise<string>;

/** Answers a question of a package; null where nobody does. `from` is the sender's IP address. */
export type TopicAnswer = (topic: string, payload: Uint8Array, from: string) => Promise<Uint8Array | null>;

/** Answers the other controllers. */
export class PeerServer {
  private readonly sockets = new Set<net.Socket>();
  private readonly server: net.Server;

  constructor(
    private readonly handler: CancelHandler,
    private readonly contact: () => boolean,
    most: number,
    private readonly topics: TopicAnswer = () => Promise.resolve(null),
  ) {
    this.server = net.createServer({ noDelay: true }, (s) => void this.serve(s));
    this.server.maxConnections = most;
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        resolve();
      });
    });
  }

  private async serve(socket: net.Socket): Promise<void> {
    this.sockets.add(socket);
    try {
      for await (const f of readFrames(socket)) {
        if (f.answer) continue;
        const reply = (answer: Partial<Frame>) => {
          if (!socket.destroyed && socket.writableLength < MAX_FRAME_BYTES)
            socket.write(encode({ ...EMPTY, ...answer, number: f.number, answer: true }));
        };
        if (f.topic !== '') {
          void this.topics(f.topic, f.payload, socket.remoteAddress ?? '')
            .catch(() => null)
            .then((payload) => {
              reply(payload === null ? {} : { payload });
            });
        } else if (f.contact) reply({ contact: this.contact() });
        else {
          void this.handler(f.cancel)
            .catch(() => '')
            .then((outcome) => {
              reply({ outcome });
            });
        }
      }
    } catch {
      // A broken connection or frame ends this connection only.
    } finally {
      this.sockets.delete(socket);
      socket.destroy();
    }
  }

  close(): void {
    this.server.close();
    for (const s of this.sockets) s.destroy();
  }
}

/** Another controller. */
export interface Peer {
  /** The peer's answer, or null where none came in time. */
  cancel(job: string, timeoutMs: number): Promise<string | null>;
  /** Whether the peer has contact to the state service; null where it does not answer. */
  contact(timeoutMs: number): Promise<boolean | null>;
  /** The answer to a package's question, or null where none came in time or nobody there knows the topic. */
  ask(topic: string, payload: Uint8Array, timeoutMs: number): Promise<Uint8Array | null>;
}

/** A connection to another controller, opened when it is needed. */
export class PeerLink implements Peer {
  private socket: net.Socket | null = null;
  private number = 0;
  private readonly waiting = new Map<number, (answer: Frame | null) => void>();

  constructor(
    private readonly address: string,
    /** The local address to connect from, where the other side tells controllers by their addresses. */
    private readonly localAddress?: string,
  ) {}

  private connect(): net.Socket {
    const [host, port] = splitAddress(this.address);
    const socket = net.connect({
      host,
      port,
      noDelay: true,
      ...(this.localAddress === undefined ? {} : { localAddress: this.localAddress }),
    });
    socket.on('error', () => undefined);
    void this.read(socket);
    return socket;
  }

  private async read(socket: net.Socket): Promise<void> {
    try {
      for await (const f of readFrames(socket)) if (f.answer) this.waiting.get(f.number)?.(f);
    } catch {
      // The connection is gone; whoever waits is told below.
    }
    this.drop(socket);
  }

  private drop(socket: net.Socket): void {
    socket.destroy();
    if (this.socket !== socket) return;
    this.socket = null;
    for (const go of [...this.waiting.values()]) go(null);
  }

  async cancel(job: string, timeoutMs: number): Promise<string | null> {
    return (await this.send({ cancel: job }, timeoutMs))?.outcome ?? null;
  }

  async contact(timeoutMs: number): Promise<boolean | null> {
    return (await this.send({ contact: true }, timeoutMs))?.contact ?? null;
  }

  async ask(topic: string, payload: Uint8Array, timeoutMs: number): Promise<Uint8Array | null> {
    // A version without topics takes it for a question about its contact, which harms nobody.
    const answer = await this.send({ topic, payload, contact: true }, timeoutMs);
    return answer === null || answer.payload.length === 0 ? null : answer.payload;
  }

  private send(what: Partial<Frame>, timeoutMs: number): Promise<Frame | null> {
    if (this.waiting.size >= 100) return Promise.resolve(null);
    this.socket ??= this.connect();
    const socket = this.socket;
    const number = (this.number = (this.number + 1) >>> 0);
    return new Promise((resolve) => {
      const go = (outcome: Frame | null) => {
        clearTimeout(timer);
        this.waiting.delete(number);
        resolve(outcome);
      };
      const timer = setTimeout(() => {
        go(null);
        // Silence may be a cut that never resets the connection: begin anew next time.
        this.drop(socket);
      }, timeoutMs);
      this.waiting.set(number, go);
      socket.write(encode({ ...EMPTY, ...what, number }));
    });
  }

  close(): void {
    if (this.socket !== null) this.drop(this.socket);
  }
}
