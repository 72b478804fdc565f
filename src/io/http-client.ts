/**
 * One small JSON client over undici for the cloud, the state service and the workers: a deadline on each
 * request, a bound on sockets, and errors told apart by whether the request can have been carried out.
 */
import { Pool } from 'undici';

/** A response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
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
      connectTimeout: 1500,
      // Deadlines are set per request by a signal; the client's own coarse ones stay off.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 60_000,
    });
  }

  async request(method: Method, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse> {
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort(new Error('deadline'));
    }, timeoutMs);
    try {
      const r = await this.pool.request({
        method,
        path,
        signal: abort.signal,
        ...(body === undefined
          ? {}
          : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
      });
      const text = await r.body.text();
      return { status: r.statusCode, body: text === '' ? null : (JSON.parse(text) as unknown) };
    } finally {
      clearTimeout(timer);
    }
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }
}
