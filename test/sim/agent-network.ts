/** The simulated network between agents and controllers, which delays, duplicates and holds back heartbeats. */
import assert from 'node:assert/strict';
import type { Controller } from '../../src/controller/controller.js';
import { commandsToWire, heartbeatFromWire, redirectToWire } from '../../src/io/agents/agent-messages.js';
import type { HttpResponse } from '../../src/io/http-client.js';
import type { SimulatedAgent } from './simulated-agent.js';
import type { AnswerHandler } from './simulated-cluster.js';
import type { Simulation } from './simulation.js';
import { AGENT_TIMINGS, type Json } from './sizes.js';

/** Interval at which a message that a partition holds back is sent again. */
export const PARTITION_RETRY_MS = 900;
/** Share of messages that are slow: they may take nearly as long as an agent waits for an answer. */
const SLOW_MESSAGE_PROBABILITY = 0.08;
const SLOW_DELAY_MS = { min: 200, max: 3800 };
const DELAY_MS = { min: 1, max: 5 };
/** Maximum delay of a duplicated heartbeat, as a multiple of the agents' lease. */
const MAX_DUPLICATE_AGE_LEASES = 2.5;
const MIN_DUPLICATE_AGE_MS = 1000;

/** Carries heartbeats to controllers and their answers to agents. */
export class AgentNetwork {
  /** Zones across whose boundary no agent, even one that boots meanwhile, and no controller reach each other. */
  readonly partitionedZones = new Set<string>();

  constructor(private readonly simulation: Simulation) {}

  /** Whether a partition separates an agent from a controller in both directions. */
  isPartitioned(agent: SimulatedAgent, node: string): boolean {
    const { zone } = this.simulation.controllers.get(node)!;
    const isZonePartitioned =
      agent.zone !== zone && (this.partitionedZones.has(agent.zone) || this.partitionedZones.has(zone));
    return isZonePartitioned || agent.partitionedFrom.has(node);
  }

  /** Delivers a heartbeat; `done` receives the answer unless the answer is lost. */
  sendHeartbeat(agent: SimulatedAgent, node: string, heartbeat: Json, done: AnswerHandler): void {
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

  /** Delivers some messages to agents once more, up to several leases later, whatever has happened to the sender. */
  duplicateLater(deliver: () => void): void {
    const { time, duplicateCommandsProbability } = this.simulation;
    // No random number is drawn in runs without such copies, since that would change them.
    if (duplicateCommandsProbability === 0 || !time.happens(duplicateCommandsProbability)) return;
    time.after(this.duplicateAgeMs(), deliver);
  }

  private duplicateAgeMs(): number {
    return this.simulation.time.int(
      MIN_DUPLICATE_AGE_MS,
      AGENT_TIMINGS.leaseS * 1000 * MAX_DUPLICATE_AGE_LEASES,
    );
  }

  private answerHeartbeat(agent: SimulatedAgent, node: string, heartbeat: Json, done: AnswerHandler): void {
    const { simulation } = this;
    const { controller, clock } = simulation.controllers.get(node)!;
    if (controller === null) {
      done({ status: 500, body: null });
      return;
    }
    clock.run(() => {
      const response = answerOf(controller, heartbeat);
      this.expectUsableAnswer(node, heartbeat, response);
      simulation.observe(node, `agent ${agent.name}`, response);
      simulation.time.after(this.delayMs(), () => {
        if (!clock.isDead && this.hasInboundPath(agent, node)) done(response);
      });
      this.duplicateLater(() => {
        done(response, true);
      });
    });
  }

  /**
   * An agent stays with a controller that answers it 200, also if it drops the answer because of its token, and so loses its
   * lease there. A controller that has been told of a higher token must not answer.
   */
  private expectUsableAnswer(node: string, heartbeat: Json, { status, body }: HttpResponse): void {
    if (status !== 200) return;
    const { mandate } = body as { mandate: number };
    const seen = Number(heartbeat['mandate']);
    if (mandate < seen)
      this.simulation.fail(
        new Error(`${node} answered 200 with token ${mandate}, although the agent has seen ${seen}`),
      );
  }

  private hasOutboundPath(agent: SimulatedAgent, node: string): boolean {
    return this.isReachable(agent, node) && !agent.isOutboundPartitioned;
  }

  private hasInboundPath(agent: SimulatedAgent, node: string): boolean {
    return this.isReachable(agent, node) && !agent.isInboundPartitioned;
  }

  private isReachable(agent: SimulatedAgent, node: string): boolean {
    return (
      !this.simulation.controllers.get(node)!.unreachable.has('agents') && !this.isPartitioned(agent, node)
    );
  }

  /**
   * Delivers a copy of a heartbeat up to several leases later, to whichever process the controller runs by then, and drops
   * the answer.
   */
  private deliverDuplicateLater(node: string, body: Json): void {
    const { time } = this.simulation;
    time.after(this.duplicateAgeMs(), () => {
      const heartbeat = heartbeatFromWire(structuredClone(body));
      assert.ok(heartbeat !== null);
      const { controller, clock } = this.simulation.controllers.get(node)!;
      clock.run(() => controller?.heartbeats.answer(heartbeat));
    });
  }

  private delayMs(): number {
    const { time, isNetworkReliable } = this.simulation;
    if (!isNetworkReliable && time.happens(SLOW_MESSAGE_PROBABILITY))
      return time.int(SLOW_DELAY_MS.min, SLOW_DELAY_MS.max);
    return time.int(DELAY_MS.min, DELAY_MS.max);
  }
}

/** Has a controller answer a heartbeat; returns the answer in its wire format. */
function answerOf(controller: Controller, body: Json): HttpResponse {
  const heartbeat = heartbeatFromWire(body);
  assert.ok(heartbeat !== null);
  const answer = controller.heartbeats.answer(heartbeat);
  if (answer.kind === 'busy') return { status: 503, body: null };
  if (answer.kind === 'redirect') return { status: 421, body: redirectToWire(answer.node) };
  const commands = JSON.parse(JSON.stringify(commandsToWire(answer.token, answer.commands))) as Json;
  return { status: 200, body: commands };
}
