/** The client side of the connection between two controllers; requests and answers are matched by number. */
import net from 'node:net';
import { splitAddress } from '../../core/model/address.js';
import { EMPTY_FRAME, encodeFrame, readFrames, type Frame } from './peer-frames.js';
import type { Peer } from './peer.js';

/** Maximum number of requests in flight; further ones resolve to null at once. */
const MAX_PENDING_REQUESTS = 100;

/** A connection to another controller; opened by the first request, and again by the next one after it has failed. */
export class PeerLink implements Peer {
  private socket: net.Socket | null = null;
  private lastNumber = 0;
  private readonly pendingRequests = new Map<number, (answer: Frame | null) => void>();

  constructor(
    private readonly address: string,
    /** IP address to connect from, where the receiver identifies controllers by their addresses; undefined: any. */
    private readonly localAddress?: string,
  ) {}

  /** Implements `Peer.cancel`. */
  async forwardCancellation(job: string, timeoutMs: number): Promise<string | null> {
    return (await this.send({ cancel: job }, timeoutMs))?.outcome ?? null;
  }

  /** Implements `Peer.contact`. */
  async hasStateContact(timeoutMs: number): Promise<boolean | null> {
    return (await this.send({ contact: true }, timeoutMs))?.contact ?? null;
  }

  /** Implements `Peer.ask`. */
  async ask(topic: string, payload: Uint8Array, timeoutMs: number): Promise<Uint8Array | null> {
    // A version without topics takes this for a question about its contact with the state service: harmless.
    const answer = await this.send({ topic, payload, contact: true }, timeoutMs);
    return answer === null || answer.payload.length === 0 ? null : answer.payload;
  }

  /** Closes the connection; pending requests resolve to null. */
  close(): void {
    if (this.socket !== null) this.drop(this.socket);
  }

  private send(request: Partial<Frame>, timeoutMs: number): Promise<Frame | null> {
    if (this.pendingRequests.size >= MAX_PENDING_REQUESTS) return Promise.resolve(null);
    this.socket ??= this.connect();
    const socket = this.socket;
    const number = this.nextNumber();
    return new Promise((resolve) => {
      const settle = (answer: Frame | null) => {
        clearTimeout(timer);
        this.pendingRequests.delete(number);
        resolve(answer);
      };
      const timer = setTimeout(() => {
        settle(null);
        // The cause may be a network partition that never resets the connection: the next request opens a new one.
        this.drop(socket);
      }, timeoutMs);
      this.pendingRequests.set(number, settle);
      socket.write(encodeFrame({ ...EMPTY_FRAME, ...request, number }));
    });
  }

  /** The number of the next request; wraps around at 32 bits. */
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
      for await (const frame of readFrames(socket))
        if (frame.answer) this.pendingRequests.get(frame.number)?.(frame);
    } catch {
      // The connection broke or a frame was malformed; `drop` resolves the pending requests to null.
    }
    this.drop(socket);
  }

  private drop(socket: net.Socket): void {
    socket.destroy();
    if (this.socket !== socket) return;
    this.socket = null;
    for (const settle of [...this.pendingRequests.values()]) settle(null);
  }
}
