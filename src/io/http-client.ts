/** A JSON client over undici for the cloud and the state service, with a timeout per request and a bounded pool. */
import { Pool } from 'undici';
import { CodedError } from '../core/errors.js';

const CONNECT_TIMEOUT_MS = 1500;
const KEEP_ALIVE_MS = 60_000;

/** An HTTP response. */
export interface HttpResponse {
  readonly status: number;
  /** The parsed JSON; null if the body is empty. */
  readonly body: unknown;
}

/** Thrown if no response came in time: the request may or may not have been carried out. */
export class TimeoutError extends CodedError {
  readonly code = 'timeout';
}

/** The HTTP methods in use. */
export type Method = 'GET' | 'POST' | 'DELETE';

/** Sends HTTP requests to one server. */
export interface Transport {
  /**
   * Sends a request with `body` as JSON (undefined: no body). Throws if no response came within `timeoutMs` or its body
   * is not JSON: the request may or may not have been carried out.
   */
  request(method: Method, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse>;
}

/** A transport with a pool of connections to one server. */
export class HttpClient implements Transport {
  private readonly pool: Pool;

  constructor(address: string, connections: number) {
    this.pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      // An abort signal limits the time of each request; undici's own timeouts are coarse and stay off.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }

  /** Implements `Transport.request`. Throws `TimeoutError`, undici's errors, or `SyntaxError` on a malformed body. */
  async request(method: Method, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse> {
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort(new TimeoutError(`no response to ${method} ${path} within ${timeoutMs} ms`));
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

  /** Closes all connections; requests in flight fail. */
  close(): Promise<void> {
    return this.pool.destroy();
  }
}
