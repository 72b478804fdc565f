/** JSON over HTTP/1.1 on loopback: servers and clients of the stand-ins. */
import { randomInt } from 'node:crypto';
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';

/** A JSON object as it is sent. */
export type Json = Record<string, unknown>;

/** An answer: status and JSON body. */
export interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/** Answers a request; a promise may resolve late. */
export type Handler = (method: string, url: string, body: unknown) => Reply | Promise<Reply>;

const LOOPBACK = '127.0.0.1';
/** Below the ephemeral ports, so that no outgoing connection takes a port between the check and its use. */
const PORTS = { min: 12_000, slices: 90, perSlice: 200 };
/** The first port of this process: two scripts that run at the same time should not choose the same port. */
const FIRST_PORT = PORTS.min + (process.pid % PORTS.slices) * PORTS.perSlice;
const chosenPorts = new Set<number>();
const agent = new http.Agent({ keepAlive: true, maxSockets: 400 });

/** A server that answers JSON with the handler. */
export function jsonServer(handle: Handler): http.Server {
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      const body: unknown = text === '' ? undefined : JSON.parse(text);
      void Promise.resolve(handle(request.method ?? '', request.url ?? '', body)).then((reply) => {
        response.writeHead(reply.status, { 'content-type': 'application/json' });
        response.end(JSON.stringify(reply.body));
      });
    });
  });
  // A watch may block longer than the defaults allow.
  server.requestTimeout = 0;
  server.keepAliveTimeout = 120_000;
  return server;
}

/** Listens on a free loopback port and returns it. */
export async function listen(server: net.Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  return (server.address() as AddressInfo).port;
}

/** A free port that a process can listen on, also again after a restart. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + randomInt(PORTS.perSlice);
    if (chosenPorts.has(port)) continue;
    const server = net.createServer();
    const isListening = await new Promise<boolean>((resolve) => {
      server.once('error', () => {
        resolve(false);
      });
      server.listen(port, LOOPBACK, () => {
        resolve(true);
      });
    });
    if (!isListening) continue;
    await new Promise((resolve) => server.close(resolve));
    chosenPorts.add(port);
    return port;
  }
}

/** Sends a request; null if there is no complete answer within the timeout. */
export function send(
  method: string,
  address: string,
  path: string,
  body: unknown,
  timeoutMs: number,
): Promise<Reply | null> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const request = http.request({ agent, host, port: Number(port), method, path, headers }, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => {
        resolve(null);
      });
      response.on('end', () => {
        resolve({ status: response.statusCode ?? 0, body: parsed(Buffer.concat(chunks).toString()) });
      });
    });
    const timer = setTimeout(() => {
      request.destroy();
      resolve(null);
    }, timeoutMs);
    request.on('close', () => {
      clearTimeout(timer);
      resolve(null);
    });
    request.on('error', () => {
      resolve(null);
    });
    request.end(text);
  });
}

function parsed(text: string): unknown {
  try {
    return text === '' ? null : (JSON.parse(text) as unknown);
  } catch {
    return null;
  }
}
