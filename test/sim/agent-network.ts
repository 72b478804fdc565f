/** The network between agents and controllers: it delays, duplicates and holds back heartbeats. */
import assert from 'node:assert/strict';
import type { Controller } from '../../src/controller/controller.js';
import { commandsToWire, heartbeatFromWire, redirectToWire } from '../../src/io/agents/agent-messages.js';
import type { HttpResponse } from '../../src/io/http-client.js';
import type { SimulatedAgent } from './simulated-agent.js';
import type { Simulation } from './simulation.js';
import { LIMITS, type Json } from './sizes.js';

/** Packets that a partition holds back are tried anew after this time. */
export const PARTITION_RETRY_MS = 900;
/** The share of messages that are slow, nearly as slow as an agent waits for an answer. */
const SLOW_MESSAGE_PROBABILITY = 0.08;
const SLOW_DELAY_MS = { min: 200, max: 3800 };
const DELAY_MS = { min: 1, max: 5 };
/** A duplicate arrives after up to this many leases. */
const MAX_DUPLICATE_AGE_LEASES = 2.5;

/** Carries heartbeats to controllers, and answers back. */
export class AgentNetwork {
  /** Zones that reach only their own controllers, with all machines that boot there meanwhile. */
  readonly partitionedZones = new Set<string>();

  constructor(private readonly simulation: Simulation) {}

  /** Whether an agent and a controller do not reach each other. */
  isPartitioned(agent: SimulatedAgent, node: string): boolean {
    const { zone } = this.simulation.controllers.get(node)!;
    const isZonePartitioned =
      agent.zone !== zone && (this.partitionedZones.has(agent.zone) || this.partitionedZones.has(zone));
    return isZonePartitioned || agent.partitionedFrom.has(node);
  }

  /** Delivers a heartbeat; `done` gets the answer unless it is lost. */
  sendHeartbeat(
    agent: SimulatedAgent,
    node: string,
    heartbeat: Json,
    done: (response: HttpResponse) => void,
  ): void {
    const { simulation } = this;
    const { time } = simulation;
    const arrive = () => {
      if (time.happens(simulation.duplicateHeartbeatProbability)) this.deliverDuplicateLater(node, heartbeat);
      if (!this.hasOutboundPath(agent, node)) {
        if (simulation.partitionsResetConnections || agent.isOutboundPartitioned)
          done({ status: 500, body: null });
        else time.after(PARTITION_RETRY_MS, arrive);
        return;
      }
      this.answerHeartbeat(agent, node, heartbeat, done);
    };
    time.after(this.delayMs(), arrive);
  }

  private answerHeartbeat(
    agent: SimulatedAgent,
    node: string,
    heartbeat: Json,
    done: (response: HttpResponse) => void,
  ): void {
    const { simulation } = this;
    const { controller, clock } = simulation.controllers.get(node)!;
    if (controller === null) {
      done({ status: 500, body: null });
      return;
    }
    clock.run(() => {
      const response = answerOf(controller, heartbeat);
      simulation.observe(node, `agent ${agent.name}`, response);
      simulation.time.after(this.delayMs(), () => {
        if (!clock.dead && this.hasInboundPath(agent, node)) done(response);
      });
    });
  }

  private hasOutboundPath(agent: SimulatedAgent, node: string): boolean {
    return this.isReachable(agent, node) && !agent.isOutboundPartitioned;
  }

  private hasInboundPath(agent: SimulatedAgent, node: string): boolean {
    return this.isReachable(agent, node) && !agent.isInboundPartitioned;
  }

  private isReachable(agent: SimulatedAgent, node: string): boolean {
    return (
      !this.simulation.controllers.get(node)!.unreachable.has('workers') && !this.isPartitioned(agent, node)
    );
  }

  /** Delivers a copy up to several leases later, whichever process runs there by then; nobody gets the answer. */
  private deliverDuplicateLater(node: string, body: Json): void {
    const { time } = this.simulation;
    time.after(time.int(1000, LIMITS.leaseS * 1000 * MAX_DUPLICATE_AGE_LEASES), () => {
      const heartbeat = heartbeatFromWire(structuredClone(body));
      assert.ok(heartbeat !== null);
      const { controller, clock } = this.simulation.controllers.get(node)!;
      clock.run(() => controller?.heartbeats.answer(heartbeat));
    });
  }

  private delayMs(): number {
    const { time, isSmooth } = this.simulation;
    if (!isSmooth && time.happens(SLOW_MESSAGE_PROBABILITY))
      return time.int(SLOW_DELAY_MS.min, SLOW_DELAY_MS.max);
    return time.int(DELAY_MS.min, DELAY_MS.max);
  }
}

/** A controller's answer to a heartbeat, as it goes over the wire. */
function answerOf(controller: Controller, body: Json): HttpResponse {
  const heartbeat = heartbeatFromWire(body);
  assert.ok(heartbeat !== null);
  const answer = controller.heartbeats.answer(heartbeat);
  if (answer.kind === 'busy') return { status: 503, body: null };
  if (answer.kind === 'redirect') return { status: 421, body: redirectToWire(answer.node) };
  const commands = JSON.parse(JSON.stringify(commandsToWire(answer.token, answer.commands))) as Json;
  return { status: 200, body: commands };
}
