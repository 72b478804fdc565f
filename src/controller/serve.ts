/** Runs a controller on real sockets and clocks. */
import { randomBytes } from 'node:crypto';
import type { Logger } from 'pino';
import type { OperatorSettings } from '../config/operator-settings.js';
import type { PlatformSettings } from '../config/platform-settings.js';
import { LOG_EVENT } from '../core/log-events.js';
import { splitAddress } from '../core/model/address.js';
import { jobId } from '../core/model/ids.js';
import { AgentClient } from '../io/agents/agent-client.js';
import { HttpClient } from '../io/http-client.js';
import { PeerLink } from '../io/peers/peer-link.js';
import { PeerServer } from '../io/peers/peer-server.js';
import type { Peer } from '../io/peers/peer.js';
import { systemClock } from '../io/system-clock.js';
import { buildServer } from '../io/users/http-server.js';
import type { LoadedPlugin } from '../plugin-host/api.js';
import { status } from './api/status.js';
import { Controller, type ControllerDependencies } from './controller.js';

/** Limit on connections to the state service for all requests but watches. */
const STATE_CONNECTIONS = 8;
/** Limit on connections to the state service for watches, of which one is pending at a time. */
const WATCH_CONNECTIONS = 1;
/** Limit on connections to the cloud. */
const CLOUD_CONNECTIONS = 4;
/** `max_connections` divided by this is the limit on connections for direct commands to agents. */
const AGENT_CONNECTIONS_DIVISOR = 20;
const MIN_AGENT_CONNECTIONS = 8;
/** Fraction of `max_connections` for incoming HTTP connections. */
const HTTP_CONNECTIONS_FRACTION = 0.85;
/** Limit on incoming connections from other controllers, per controller of the cluster. */
const PEER_CONNECTIONS_PER_NODE = 4;
const MIN_PEER_CONNECTIONS = 8;
/**
 * Age up to which an answer of the state service proves contact with it, in replies to peers' questions, even if a
 * later request has failed.
 */
const STATE_CONTACT_MS = 1500;

/**
 * Connections for plugins. They use this controller's peer address as their source unless that is the wildcard address,
 * so that the other controllers can identify it.
 */
function createPluginLinks(settings: PlatformSettings): ReadonlyMap<string, Peer> {
  const [host] = splitAddress(settings.peerBind);
  const localAddress = host === '0.0.0.0' ? undefined : host;
  return new Map(settings.peers.map((peer) => [peer.node, new PeerLink(peer.address, localAddress)]));
}

function createDependencies(settings: PlatformSettings, hasPlugins: boolean): ControllerDependencies {
  const maxConnections = settings.processLimits.max_connections;
  const agentConnections = Math.floor(maxConnections / AGENT_CONNECTIONS_DIVISOR);
  return {
    clock: systemClock,
    identity: randomBytes(6).toString('hex'),
    random: Math.random,
    state: new HttpClient(settings.state, STATE_CONNECTIONS),
    watch: new HttpClient(settings.state, WATCH_CONNECTIONS),
    cloud: new HttpClient(settings.cloud, CLOUD_CONNECTIONS),
    agents: new AgentClient(Math.max(MIN_AGENT_CONNECTIONS, agentConnections)),
    peers: new Map(settings.peers.map((peer) => [peer.node, new PeerLink(peer.address)])),
    ...(hasPlugins ? { pluginLinks: createPluginLinks(settings) } : {}),
  };
}

async function listenForPeers(controller: Controller, settings: PlatformSettings): Promise<void> {
  const peerServer = new PeerServer({
    onCancellation: (job) => Promise.resolve(controller.jobs.acceptForwardedCancellation(jobId(job))),
    hasStateContact: () => controller.context.state.isReachable(STATE_CONTACT_MS),
    onTopic: (topic, payload, from) => controller.channel.answer(topic, payload, from),
    maxConnections: Math.max(MIN_PEER_CONNECTIONS, settings.controllerCount * PEER_CONNECTIONS_PER_NODE),
  });
  await peerServer.listen(...splitAddress(settings.peerBind));
}

async function listenForHttp(
  controller: Controller,
  settings: PlatformSettings,
  operator: OperatorSettings,
  log: Logger,
): Promise<void> {
  const { availability, context, pluginHost, shardController } = controller;
  const server = buildServer({
    log,
    jobs: controller.jobs,
    heartbeats: controller.heartbeats,
    isHealthy: () => availability.isHealthy,
    status: () => ({
      ...status(context, shardController, availability.isHealthy),
      ...(pluginHost === null ? {} : { packages: pluginHost.status() }),
    }),
    maxConnections: Math.floor(settings.processLimits.max_connections * HTTP_CONNECTIONS_FRACTION),
    minInProgress: operator.users.least_in_progress,
    maxInProgress: operator.users.most_in_progress,
    ...(pluginHost === null ? {} : { plugins: pluginHost }),
  });
  const [host, port] = splitAddress(settings.bind);
  await server.listen({ host, port });
}

/** Starts a controller and runs it. Never resolves; rejects when it cannot listen or one of its loops fails. */
export async function serve(
  settings: PlatformSettings,
  operator: OperatorSettings,
  log: Logger,
  plugins: readonly LoadedPlugin[] = [],
): Promise<void> {
  const dependencies = createDependencies(settings, plugins.length > 0);
  const controller = new Controller({ settings, operator, log, dependencies, plugins });
  await listenForPeers(controller, settings);
  await listenForHttp(controller, settings, operator, log);
  const { incarnation } = controller.context;
  log.info({ node: settings.node, incarnation, bind: settings.bind }, LOG_EVENT.controllerServing);
  await controller.run();
}
