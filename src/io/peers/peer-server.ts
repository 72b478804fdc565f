/** The server side of the connections between controllers. */
import net from 'node:net';
import { EMPTY_FRAME, MAX_FRAME_BYTES, encodeFrame, readFrames, type Frame } from './peer-frames.js';

/** Handlers of requests, and the connection limit of a peer server. */
export interface PeerServerOptions {
  /** Handles a forwarded cancellation of a job; resolves to the outcome that is sent back. */
  readonly onCancellation: (job: string) => Promise<string>;
  /** Returns whether this controller has contact with the state service. */
  readonly hasStateContact: () => boolean;
  /** Handles a plugin's request; resolves to null if no plugin knows the topic. `from` is the sender's IP address. */
  readonly onTopic?: (topic: string, payload: Uint8Array, from: string) => Promise<Uint8Array | null>;
  readonly maxConnections: number;
}

/** Answers requests of other controllers; a broken connection or frame ends only its own connection. */
export class PeerServer {
  private readonly sockets = new Set<net.Socket>();
  private readonly server: net.Server;

  constructor(private readonly options: PeerServerOptions) {
    this.server = net.createServer({ noDelay: true }, (socket) => void this.serve(socket));
    this.server.maxConnections = options.maxConnections;
  }

  /** Resolves once the server listens; rejects with Node's error if it cannot. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        resolve();
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private async serve(socket: net.Socket): Promise<void> {
    this.sockets.add(socket);
    try {
      for await (const frame of readFrames(socket)) if (!frame.answer) this.answer(frame, socket);
    } catch {
      // The connection broke or a frame was malformed; the other connections are not affected.
    } finally {
      this.sockets.delete(socket);
      socket.destroy();
    }
  }

  private answer(request: Frame, socket: net.Socket): void {
    const reply = (answer: Partial<Frame>) => {
      if (socket.destroyed || socket.writableLength >= MAX_FRAME_BYTES) return;
      socket.write(encodeFrame({ ...EMPTY_FRAME, ...answer, number: request.number, answer: true }));
    };
    if (request.topic !== '') void this.answerTopic(request, socket).then(reply);
    else if (request.contact) reply({ contact: this.options.hasStateContact() });
    else void this.answerCancellation(request).then(reply);
  }

  private async answerTopic({ topic, payload }: Frame, socket: net.Socket): Promise<Partial<Frame>> {
    try {
      const answer = await this.options.onTopic?.(topic, payload, socket.remoteAddress ?? '');
      return answer == null ? {} : { payload: answer };
    } catch {
      return {};
    }
  }

  private async answerCancellation({ cancel }: Frame): Promise<Partial<Frame>> {
    try {
      return { outcome: await this.options.onCancellation(cancel) };
    } catch {
      return { outcome: '' };
    }
  }
}
