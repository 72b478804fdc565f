/**
 * Direct messages to agents. Only fencing tokens (without commands) and stop commands are sent this way, since a message may
 * be carried out minutes late.
 */
import { Agent, request } from 'undici';
import type { AgentCommand, Heartbeat } from '../../core/model/heartbeats.js';
import type { FencingToken } from '../../core/model/ids.js';
import { paths } from '../paths.js';
import { directCommandsToWire, heartbeatFromWire } from './agent-messages.js';

/** Longest time for a connection, and for an answer. */
const TIMEOUT_MS = 1500;
/** Idle connections are closed early: there are far more agents than connections. */
const KEEP_ALIVE_MS = 2000;

/** Sends direct messages to agents. */
export interface AgentGateway {
  /** The agent's heartbeat after the commands, or null where no answer came or too many messages are under way. */
  sendCommands(
    address: string,
    token: FencingToken,
    agentEpoch: number,
    commands: readonly AgentCommand[],
  ): Promise<Heartbeat | null>;
}

/** Direct messages over HTTP, with a bounded number under way. */
export class AgentClient implements AgentGateway {
  private readonly agent = new Agent({
    connections: 1,
    pipelining: 1,
    connectTimeout: TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
  });
  private inFlight = 0;

  constructor(private readonly maxInFlight: number) {}

  /** See `AgentGateway`; gives null at once where too many requests are under way. */
  async sendCommands(
    address: string,
    token: FencingToken,
    agentEpoch: number,
    commands: readonly AgentCommand[],
  ): Promise<Heartbeat | null> {
    if (address === '' || this.inFlight >= this.maxInFlight) return null;
    this.inFlight++;
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort();
    }, TIMEOUT_MS);
    try {
      const response = await request(`http://${address}${paths.directCommands}`, {
        dispatcher: this.agent,
        method: 'POST',
        signal: abort.signal,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(directCommandsToWire(token, agentEpoch, commands)),
      });
      return heartbeatFromWire(await response.body.json());
    } catch {
      return null;
    } finally {
      clearTimeout(timer);
      this.inFlight--;
    }
  }
}
