/**
 * The link to another controller: one connection, opened when it is needed, with requests and answers matched by number.
 */
import net from 'node:net';
import { splitAddress } from '../../core/model/address.js';
import { EMPTY_FRAME, encodeFrame, readFrames, type Frame } from './peer-frames.js';
import type { Peer } from './peer.js';

/** Requests under way at once; further ones are refused. */
const MAX_PENDING_REQUESTS = 100;

/** A connection to another controller, opened again after it has failed or a request has timed out. */
export class PeerLink implements Peer {
  private socket: net.Socket | null = null;
  private lastNumber = 0;
  private readonly pending = new Map<number, (answer: Frame | null) => void>();

  constructor(
    private readonly address: string,
    /** The local address to connect from, where the other side identifies controllers by their addresses. */
    private readonly localAddress?: string,
  ) {}

  /** See `Peer`. */
  async cancel(job: string, timeoutMs: number): Promise<string | null> {
    return (await this.send({ cancel: job }, timeoutMs))?.outcome ?? null;
  }

  /** See `Peer`. */
  async contact(timeoutMs: number): Promise<boolean | null> {
    return (await this.send({ contact: true }, timeoutMs))?.contact ?? null;
  }

  /** See `Peer`. */
  async ask(topic: string, payload: Uint8Array, timeoutMs: number): Promise<Uint8Array | null> {
    // A version without topics takes it for a request about its contact, which is harmless.
    const answer = await this.send({ topic, payload, contact: true }, timeoutMs);
    return answer === null || answer.payload.length === 0 ? null : answer.payload;
  }

  /** Closes the connection; pending requests are answered with null. */
  close(): void {
    if (this.socket !== null) this.drop(this.socket);
  }

  private send(request: Partial<Frame>, timeoutMs: number): Promise<Frame | null> {
    if (this.pending.size >= MAX_PENDING_REQUESTS) return Promise.resolve(null);
    this.socket ??= this.connect();
    const socket = this.socket;
    const number = this.nextNumber();
    return new Promise((resolve) => {
      const settle = (answer: Frame | null) => {
        clearTimeout(timer);
        this.pending.delete(number);
        resolve(answer);
      };
      const timer = setTimeout(() => {
        settle(null);
        // Silence may be a network partition that never resets the connection: the next request opens a new one.
        this.drop(socket);
      }, timeoutMs);
      this.pending.set(number, settle);
      socket.write(encodeFrame({ ...EMPTY_FRAME, ...request, number }));
    });
  }

  /** Numbers wrap around at 32 bits. */
  private nextNumber(): number {
    this.lastNumber = (this.lastNumber + 1) >>> 0;
    return this.lastNumber;
  }

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
      for await (const frame of readFrames(socket)) if (frame.answer) this.pending.get(frame.number)?.(frame);
    } catch {
      // The connection is gone; pending requests are answered below.
    }
    this.drop(socket);
  }

  private drop(socket: net.Socket): void {
    socket.destroy();
    if (this.socket !== socket) return;
    this.socket = null;
    for (const settle of [...this.pending.values()]) settle(null);
  }
}
