/** Simulated connections of a controller to the state service, the cloud, agents and other controllers. */
import type { Controller, ControllerDependencies } from '../../src/controller/controller.js';
import { jobId } from '../../src/core/model/ids.js';
import type { AgentGateway } from '../../src/io/agents/agent-client.js';
import { directCommandsToWire, heartbeatFromWire } from '../../src/io/agents/agent-messages.js';
import type { HttpResponse, Transport } from '../../src/io/http-client.js';
import type { Peer } from '../../src/io/peers/peer.js';
import { PARTITION_RETRY_MS } from './agent-network.js';
import type { SimulatedAgent } from './simulated-agent.js';
import type { SimulatedController } from './simulated-controller.js';
import type { Simulation } from './simulation.js';
import { NODES, type Json } from './sizes.js';
import type { ProcessClock } from './virtual-time.js';

/** Interval at which a request to the state service that a partition holds back is sent again. */
const STATE_RETRY_MS = 700;
/** Interval at which an answer of the watch that is held back is checked again. */
const HELD_WATCH_CHECK_MS = 20;
/** Simulated time after which no request to the state service is randomly lost or slow, so that all jobs can finish. */
const UNRELIABLE_UNTIL_MS = 90_000;
const LOSS_PROBABILITY = 0.002;
const SLOW_PROBABILITY = 0.01;
const DIRECT_COMMANDS_TIMEOUT_MS = 1500;
const CLOUD_SLOW_PROBABILITY = 0.03;
const CLOUD_LOSS_PROBABILITY = 0.3;
/** A controller has contact with the state service if that answered within this time. */
const STATE_CONTACT_MS = 1500;
const CANCEL_DELAY_MS = 3;

/** Address of a controller as seen by the other controllers. */
export function addressOf(node: string): string {
  return `10.0.0.${NODES.indexOf(node)}`;
}

/** The connections of one controller process; no answer arrives once the process's clock is dead. */
export class ControllerConnections {
  constructor(
    private readonly simulation: Simulation,
    private readonly node: SimulatedController,
    private readonly clock: ProcessClock,
  ) {}

  dependencies(): ControllerDependencies {
    const { time } = this.simulation;
    return {
      clock: this.clock,
      identity: `${this.node.name}-${this.node.processStarts}`,
      random: () => time.real(0, 1),
      state: { request: (...request) => this.requestState(...request) },
      watch: { request: (...request) => this.watchState(...request) },
      cloud: { request: (...request) => this.requestCloud(...request) },
      agents: this.agents(),
      peers: this.peers(),
      pluginLinks: this.peers(),
    };
  }

  private requestState(...[method, path, body, timeoutMs]: Parameters<Transport['request']>) {
    const { state } = this.simulation;
    return this.withTimeout(timeoutMs, (respond) => {
      this.simulation.observe(this.node.name, 'state', { method, path, body });
      const request = this.bodyAsSent(body);
      const apply = () => state.handle(method, path, request);
      const answer = () => {
        this.respondFromState(0, respond, this.node.isRefusedByState ? { status: 503, body: null } : apply());
      };
      this.sendToState(answer, apply, request);
    });
  }

  private watchState(...[method, path, body, timeoutMs]: Parameters<Transport['request']>) {
    const { time, state } = this.simulation;
    return this.withTimeout(timeoutMs, (respond) => {
      this.simulation.observe(this.node.name, 'state watch', { method, path, body });
      const answer = () => {
        state.watch(path, (response) => {
          this.respondToWatch(respond, response);
        });
      };
      time.after(time.int(1, 12), () => {
        this.whenStateReachable(answer);
      });
    });
  }

  /** Resolves with the response that `start` passes on; rejects after `timeoutMs` on the process's clock. */
  private withTimeout(
    timeoutMs: number,
    start: (respond: (response: HttpResponse) => void) => void,
  ): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      this.clock.after(timeoutMs, () => {
        reject(new Error(`no answer within ${timeoutMs} ms`));
      });
      start(resolve);
    });
  }

  /** Delivers the watch's answer once nothing holds it back, even if its receiver no longer waits for it. */
  private respondToWatch(respond: (response: HttpResponse) => void, response: HttpResponse): void {
    const { node, simulation } = this;
    const deliver = (answer: HttpResponse) => {
      if (!node.isWatchHeldBack) respond(answer);
      else
        simulation.time.after(HELD_WATCH_CHECK_MS, () => {
          this.clock.run(() => {
            deliver(answer);
          });
        });
    };
    this.respondFromState(node.watchLagMs, deliver, response);
  }

  private respondFromState(
    lagMs: number,
    respond: (response: HttpResponse) => void,
    response: HttpResponse,
  ): void {
    const { time } = this.simulation;
    time.after(time.int(1, 12) + lagMs, () => {
      if (this.node.unreachable.has('state')) return;
      this.clock.run(() => {
        respond(response);
      });
    });
  }

  /** Copies a request's body, in the format of the version that the controller runs. */
  private bodyAsSent(body: unknown): unknown {
    if (body === undefined) return undefined;
    const copy = structuredClone(body) as { readonly then?: readonly Json[] };
    if (this.node.runsPreviousVersion) for (const change of copy.then ?? []) toPreviousVersion(change);
    return copy;
  }

  /** Delivers a request once no partition holds it back, even if its sender no longer waits for the answer. */
  private whenStateReachable(deliver: () => void): void {
    if (!this.node.unreachable.has('state')) deliver();
    else
      this.simulation.time.after(STATE_RETRY_MS, () => {
        this.whenStateReachable(deliver);
      });
  }

  /** Sends a request to the state service; the request may be lost, slow, or applied without an answer. */
  private sendToState(answer: () => void, apply: () => void, body: unknown): void {
    const { simulation } = this;
    const { time } = simulation;
    const arrive = () => {
      this.whenStateReachable(answer);
    };
    const isUnreliable = !simulation.isNetworkReliable && time.now < UNRELIABLE_UNTIL_MS;
    if (isUnreliable && time.happens(LOSS_PROBABILITY)) return;
    if (hasChanges(body) && time.happens(simulation.lateWriteProbability)) {
      // The answer is lost, and the transaction is applied late, possibly after newer ones of the same process.
      time.after(time.int(2000, 12_000), () => {
        simulation.lateWritesApplied++;
        apply();
      });
    } else if (simulation.maxStateDelayMs > 0) {
      time.after(time.int(0, simulation.maxStateDelayMs), arrive);
    } else {
      // A slow request may arrive after its sender has given up.
      const isSlow = isUnreliable && time.happens(SLOW_PROBABILITY);
      time.after(isSlow ? time.int(200, 6000) : time.int(1, 12), arrive);
    }
  }

  private requestCloud(...[method, path, body, timeoutMs]: Parameters<Transport['request']>) {
    const { time, cluster } = this.simulation;
    this.simulation.observe(this.node.name, 'cloud', { method, path, body });
    return this.withTimeout(timeoutMs, (respond) => {
      const isSlow = time.happens(CLOUD_SLOW_PROBABILITY);
      if (isSlow && time.happens(CLOUD_LOSS_PROBABILITY)) return;
      time.after(isSlow ? time.int(4000, 12_000) : time.int(20, 200), () => {
        const response = cluster.cloud.handle(path, body);
        this.clock.run(() => {
          respond(response);
        });
      });
    });
  }

  private agents(): AgentGateway {
    return {
      sendCommands: (address, token, epoch, commands) =>
        new Promise((resolve) => {
          this.clock.after(DIRECT_COMMANDS_TIMEOUT_MS, () => {
            resolve(null);
          });
          const body = JSON.parse(JSON.stringify(directCommandsToWire(token, epoch, commands))) as Json;
          this.simulation.observe(this.node.name, `agent ${address}`, body);
          this.expectStopsOnly(body);
          this.sendToAgent(address, body, (heartbeat) => {
            this.clock.run(() => {
              resolve(heartbeatFromWire(heartbeat));
            });
          });
        }),
    };
  }

  /**
   * A late copy of a direct message is executed if its token and epoch still match. Stops name an attempt that is never
   * started again; a copied start would run a task that has left the machine.
   */
  private expectStopsOnly(body: Json): void {
    const others = (body['orders'] as Json[]).filter(({ orderKind }) => orderKind !== 'stop');
    if (others.length > 0)
      this.simulation.fail(
        new Error(`a direct message holds ${JSON.stringify(others[0])}, expected stops only`),
      );
  }

  private sendToAgent(address: string, body: Json, done: (heartbeat: Json) => void): void {
    const { time, cluster, network } = this.simulation;
    const arrive = () => {
      const agent = cluster.machines.get(address)?.agent;
      if (agent == null || agent.isTerminated) return;
      const isHeldBack =
        this.node.unreachable.has('agents') ||
        network.isPartitioned(agent, this.node.name) ||
        agent.isInboundPartitioned;
      if (isHeldBack) {
        time.after(PARTITION_RETRY_MS, arrive);
        return;
      }
      agent.handleDirectCommands(body, done);
      network.duplicateLater(() => {
        this.deliverCopy(agent, body);
      });
    };
    time.after(time.int(1, 5), arrive);
  }

  /** Delivers a copy of a direct message that the agent has answered; nobody waits for the answer to the copy. */
  private deliverCopy(agent: SimulatedAgent, body: Json): void {
    const isAccepted = Number(body['mandate']) >= agent.token && body['shift'] === agent.agentEpoch;
    if (isAccepted && (body['orders'] as Json[]).length > 0) this.simulation.duplicateCommandsExecuted++;
    agent.handleDirectCommands(body, () => undefined);
  }

  private peers(): ReadonlyMap<string, Peer> {
    return new Map(NODES.filter((name) => name !== this.node.name).map((name) => [name, this.peer(name)]));
  }

  private peer(name: string): Peer {
    const { time } = this.simulation;
    const delayMs = () => time.int(1, 6);
    const observe = (message: unknown) => {
      this.simulation.observe(this.node.name, name, message);
    };
    return {
      hasStateContact: (timeoutMs) => {
        observe('contact');
        this.node.onContactAsked();
        return this.askPeer({ name, timeoutMs, delayMs: delayMs() }, (peer) =>
          Promise.resolve(peer.context.state.isReachable(STATE_CONTACT_MS)),
        );
      },
      forwardCancellation: (job, timeoutMs) => {
        observe({ cancel: job });
        return this.askPeer({ name, timeoutMs, delayMs: CANCEL_DELAY_MS }, (peer) =>
          Promise.resolve(peer.jobs.acceptForwardedCancellation(jobId(job))),
        );
      },
      ask: (topic, payload, timeoutMs) => {
        observe({ topic, payload });
        return this.askPeer({ name, timeoutMs, delayMs: delayMs() }, (peer) =>
          peer.channel.answer(topic, payload.slice(), addressOf(this.node.name)),
        );
      },
    };
  }

  /** Asks another controller; null where no answer comes within `timeoutMs`. */
  private askPeer<T>(
    request: { readonly name: string; readonly timeoutMs: number; readonly delayMs: number },
    ask: (peer: Controller) => Promise<T>,
  ): Promise<T | null> {
    return new Promise((resolve, reject) => {
      this.clock.after(request.timeoutMs, () => {
        resolve(null);
      });
      this.simulation.time.after(request.delayMs, () => {
        const peer = this.simulation.controllers.get(request.name)!;
        const { controller } = peer;
        if (!this.canReach(peer) || controller === null) return;
        peer.clock.run(() => {
          ask(controller)
            .then((answer) => {
              this.clock.run(() => {
                resolve(answer);
              });
            })
            .catch(reject);
        });
      });
    });
  }

  /** Whether no partition separates the controller from another one. */
  private canReach(peer: SimulatedController): boolean {
    const { node } = this;
    return (
      !node.unreachable.has('peers') &&
      !peer.unreachable.has('peers') &&
      !node.partitionedFrom.has(peer.name) &&
      !peer.partitionedFrom.has(node.name)
    );
  }
}

function hasChanges(body: unknown): boolean {
  return ((body as { readonly then?: readonly unknown[] } | undefined)?.then?.length ?? 0) > 0;
}

/** Removes from a change what the previous version did not write: the time of a job's final state. */
function toPreviousVersion(change: Json): void {
  if (String(change['write']).startsWith('f/')) delete (change['value'] as Json)['at'];
}
