/**
 * Direct commands to workers. Only fences (no commands) and stops go this way, since a message may be
 * carried out minutes late.
 */
import { Agent, request } from 'undici';
import type { AgentCommand, Heartbeat } from '../../core/model/heartbeats.js';
import type { FencingToken } from '../../core/model/ids.js';
import { paths } from '../paths.js';
import { directCommandsToWire, heartbeatFromWire } from './agent-messages.js';

/** Sends direct commands to workers. */
export interface AgentGateway {
  /** The worker's report after the commands, or null where no answer came or too many are under way. */
  sendCommands(
    address: string,
    token: FencingToken,
    session: number,
    commands: readonly AgentCommand[],
  ): Promise<Heartbeat | null>;
}

/** Direct commands over HTTP, with a bounded number of connections. */
export class AgentClient implements AgentGateway {
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

  async sendCommands(
    address: string,
    token: FencingToken,
    session: number,
    commands: readonly AgentCommand[],
  ): Promise<Heartbeat | null> {
    if (address === '' || this.open >= this.most) return null;
    this.open++;
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort();
    }, 1500);
    try {
      const r = await request(`http://${address}${paths.directCommands}`, {
        dispatcher: this.agent,
        method: 'POST',
        signal: abort.signal,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(directCommandsToWire(token, session, commands)),
      });
      return heartbeatFromWire(await r.body.json());
    } catch {
      return null;
    } finally {
      clearTimeout(timer);
      this.open--;
    }
  }
}
