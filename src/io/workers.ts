/**
 * Direct commands to workers. Only fences (no commands) and stops go this way, since a message may be
 * carried out minutes late.
 */
import { Agent, request } from 'undici';
import type { Command, Report, FencingToken } from '../core/types.js';
import * as wire from './wire.js';

/** Sends direct commands to workers. */
export interface Workers {
  /** The worker's report after the commands, or null where no answer came or too many are under way. */
  direct(
    address: string,
    tok: FencingToken,
    session: number,
    commands: readonly Command[],
  ): Promise<Report | null>;
}

/** Direct commands over HTTP, with a bounded number of connections. */
export class WorkerClient implements Workers {
  private readonly agent = new Agent({
    connections: 1,
    pipelining: 1,
    connectTimeout: 1500,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: 2000,
  });
  private open = 0;

  constructor(private readonly most: number) {}

  async direct(
    address: string,
    tok: FencingToken,
    session: number,
    commands: readonly Command[],
  ): Promise<Report | null> {
    if (address === '' || this.open >= this.most) return null;
    this.open++;
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort();
    }, 1500);
    try {
      const r = await request(`http://${address}${wire.paths.direct}`, {
        dispatcher: this.agent,
        method: 'POST',
        signal: abort.signal,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(wire.directToWire(tok, session, commands)),
      });
      return wire.reportFromWire(await r.body.json());
    } catch {
      return null;
    } finally {
      clearTimeout(timer);
      this.open--;
    }
  }
}
