/**
 * Direct messages to agents. Only fencing tokens (without commands) and stop commands are sent this way,
 * since an agent may carry out a message minutes after it was sent.
 */
import { Agent, request } from 'undici';
import type { AgentCommand, Heartbeat } from '../../core/model/heartbeats.js';
import type { FencingToken } from '../../core/model/ids.js';
import { paths } from '../paths.js';
import { directCommandsToWire, heartbeatFromWire } from './agent-messages.js';

/** Timeout of a connection attempt, and of a whole request. */
const TIMEOUT_MS = 1500;
/** Idle time after which a connection is closed: short, since there are far more agents than connections. */
const KEEP_ALIVE_MS = 2000;

/** Sends direct messages to agents. */
export interface AgentGateway {
  /**
   * Sends a token and commands to the agent at `address`. Returns the agent's answer, its heartbeat after the commands;
   * null if no valid heartbeat came within the timeout, or if too many messages were in flight to send it.
   */
  sendCommands(
    address: string,
    token: FencingToken,
    agentEpoch: number,
    commands: readonly AgentCommand[],
  ): Promise<Heartbeat | null>;
}

/** Sends direct messages over HTTP, with a bounded number in flight. */
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

  /** See `AgentGateway`. Returns null at once if `address` is empty or `maxInFlight` messages are in flight. */
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
