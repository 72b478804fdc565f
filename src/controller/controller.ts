/** Puts one controller together and runs its loops. */
import { randomBytes } from 'node:crypto';
import type { Logger } from 'pino';
import type { Operator } from '../config/operator.js';
import type { Settings } from '../config/settings.js';
import { splitAddress } from '../core/address.js';
import type { Clock } from '../core/clock.js';
import { jobId } from '../core/types.js';
import { realClock } from '../io/clock.js';
import { CloudClient } from '../io/cloud.js';
import { HttpClient, type Transport } from '../io/http.js';
import { PeerLink, PeerServer, type Peer } from '../io/peers.js';
import { buildServer } from '../io/users.js';
import { AgentClient, type AgentGateway } from '../io/workers.js';
import { ControllerContext } from './context.js';
import { HealthTracker } from './health.js';
import { JobService } from './jobs.js';
import { Leader } from './leader/leader.js';
import { Membership } from './membership.js';
import { ShardController } from './owner/owner.js';
import { HeartbeatRouter } from './report-router.js';
import { Availability } from './availability.js';
import { status } from './status.js';
import { ShardTransfer } from './slice-transfer.js';
import type { LoadedPackage, Service } from '../packages/api.js';
import { TopicChannel } from '../packages/channel.js';
import { ViewFacts } from '../packages/facts.js';
import { PackageHost, TracerSwitch } from '../packages/host.js';

/** The world outside, as one controller reaches it. */
export interface ControllerDependencies {
  readonly clock: Clock;
  /** Differs between any two starts of any controller. */
  readonly identity: string;
  /** Uniform in [0, 1), to spread what would else happen at once. */
  readonly random: () => number;
  readonly state: Transport;
  readonly watch: Transport;
  readonly cloud: Transport;
  readonly agents: AgentGateway;
  readonly peers: ReadonlyMap<string, Peer>;
  /** Links for packages, apart from the others: what is slow there delays nothing else. */
  readonly packageLinks?: ReadonlyMap<string, Peer>;
}

/** One controller: all its loops, with the outside passed in. */
export class Controller {
  readonly context: ControllerContext;
  readonly membership: Membership;
  readonly shardController: ShardController;
  readonly leader: Leader;
  readonly jobs: JobService;
  readonly heartbeats: HeartbeatRouter;

  readonly availability: Availability;
  readonly channel: TopicChannel;
  /** Null where no package is enabled. */
  readonly packages: PackageHost | null;

  constructor(
    settings: Settings,
    operator: Operator,
    log: Logger,
    outside: ControllerDependencies,
    packages: readonly LoadedPackage[] = [],
  ) {
    const context = new ControllerContext(
      settings,
      operator,
      log,
      outside.clock,
      outside.identity,
      outside.state,
      outside.watch,
    );
    const health = new HealthTracker(context, outside.random);
    this.context = context;
    this.membership = new Membership(context);
    this.availability = new Availability(context, this.membership, outside.peers);
    this.shardController = new ShardController(context, outside.agents, health);
    this.leader = new Leader(
      context,
      this.membership,
      new CloudClient(outside.cloud, settings.cloudLimits.rps, outside.clock),
    );
    this.jobs = new JobService(context, this.shardController, outside.peers);
    this.heartbeats = new HeartbeatRouter(
      context,
      this.shardController,
      this.leader,
      health,
      this.membership,
      this.availability,
    );
    this.channel = new TopicChannel(outside.packageLinks ?? new Map());
    const tracer = new TracerSwitch();
    const service = (packageLog: Logger): Service => ({
      node: settings.node,
      incarnation: context.incarnation,
      settings,
      peers: settings.peers,
      clock: context.clock,
      random: outside.random,
      log: packageLog,
      facts: new ViewFacts(context),
      shardControl: new ShardTransfer(context, this.membership),
      channel: this.channel,
      learn: (hint) => {
        health.applyHint(hint);
      },
      onEvent: (listener) => {
        context.events.subscribe(listener);
      },
      tracer,
      provideTracer: (target) => {
        tracer.provide(target);
      },
    });
    this.packages = packages.length === 0 ? null : new PackageHost(packages, service, log);
  }

  private async logUsage(): Promise<never> {
    const { clock, log, state } = this.context;
    for (;;) {
      await clock.sleep(USAGE_EVERY_MS);
      log.info(state.usage.snapshot(), 'state service usage');
    }
  }

  async run(): Promise<void> {
    await Promise.all([
      this.context.watcher.run(),
      this.membership.run(),
      this.shardController.run(),
      this.leader.run(),
      this.heartbeats.run(),
      this.availability.run(),
      ...(this.packages === null ? [] : [this.packages.run()]),
      this.logUsage(),
    ]);
  }
}

/** Usage of the state service is logged so often. */
const USAGE_EVERY_MS = 30_000;

/** Connections for packages come from the address at which the others know this controller, where it has one. */
function packageLinks(settings: Settings): ReadonlyMap<string, Peer> {
  const [host] = splitAddress(settings.peerBind);
  const localAddress = host === '0.0.0.0' ? undefined : host;
  return new Map(settings.peers.map((p) => [p.node as string, new PeerLink(p.address, localAddress)]));
}

/** Starts a controller on real sockets and clocks; returns only when it fails. */
export async function serve(
  settings: Settings,
  operator: Operator,
  log: Logger,
  packages: readonly LoadedPackage[] = [],
): Promise<void> {
  const sockets = settings.limits.max_connections;
  const outside: ControllerDependencies = {
    clock: realClock,
    identity: randomBytes(6).toString('hex'),
    random: Math.random,
    state: new HttpClient(settings.state, 8),
    watch: new HttpClient(settings.state, 1),
    cloud: new HttpClient(settings.cloud, 4),
    agents: new AgentClient(Math.max(8, Math.floor(sockets / 20))),
    peers: new Map(settings.peers.map((p) => [p.node as string, new PeerLink(p.address)])),
    ...(packages.length === 0 ? {} : { packageLinks: packageLinks(settings) }),
  };
  const controller = new Controller(settings, operator, log, outside, packages);
  const peerServer = new PeerServer(
    (job) => Promise.resolve(controller.jobs.acceptForwardedCancellation(jobId(job))),
    () => controller.context.state.isReachable(1500),
    Math.max(8, settings.nodes * 4),
    (topic, payload, from) => controller.channel.answer(topic, payload, from),
  );
  await peerServer.listen(...splitAddress(settings.peerBind));
  const server = buildServer({
    log,
    jobs: controller.jobs,
    heartbeats: controller.heartbeats,
    healthy: () => controller.availability.isHealthy,
    status: () => ({
      ...status(controller.context, controller.shardController, controller.availability.isHealthy),
      ...(controller.packages === null ? {} : { packages: controller.packages.status() }),
    }),
    maxConnections: Math.floor(sockets * 0.85),
    leastInProgress: operator.users.least_in_progress,
    mostInProgress: operator.users.most_in_progress,
    ...(controller.packages === null ? {} : { packages: controller.packages }),
  });
  const [host, port] = splitAddress(settings.bind);
  await server.listen({ host, port });
  log.info(
    { node: settings.node, incarnation: controller.context.incarnation, bind: settings.bind },
    'serving',
  );
  await controller.run();
}
