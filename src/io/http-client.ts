/**
 * A JSON client over undici for the cloud and the state service: a deadline on each request and a bound on sockets.
 */
import { Pool } from 'undici';
import { CodedError } from '../core/errors.js';

const CONNECT_TIMEOUT_MS = 1500;
const KEEP_ALIVE_MS = 60_000;

/** A response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
}

/** A request without an answer in time: it may or may not have been carried out. */
export class TimeoutError extends CodedError {
  readonly code = 'timeout';
}

/** The HTTP methods in use. */
export type Method = 'GET' | 'POST' | 'DELETE';

/** Sends requests to one server. */
export interface Transport {
  /** Throws when no answer came: the request may or may not have been carried out. */
  request(method: Method, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse>;
}

/** A pool of connections to one server. */
export class HttpClient implements Transport {
  private readonly pool: Pool;

  constructor(address: string, connections: number) {
    this.pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      // Deadlines are set per request by a signal; the client's own coarse ones stay off.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }

  /** See `Transport`. Throws where no answer came within the timeout. */
  async request(method: Method, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse> {
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort(new TimeoutError('deadline'));
    }, timeoutMs);
    try {
      const response = await this.pool.request({
        method,
        path,
        signal: abort.signal,
        ...(body === undefined
          ? {}
          : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
      });
      const text = await response.body.text();
      return { status: response.statusCode, body: text === '' ? null : (JSON.parse(text) as unknown) };
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes all connections; requests under way fail. */
  close(): Promise<void> {
    return this.pool.destroy();
  }
}
