/** One controller: constructs its modules in order of their dependencies and runs their loops. */
import type { Logger } from 'pino';
import type { OperatorSettings } from '../config/operator-settings.js';
import type { PlatformSettings } from '../config/platform-settings.js';
import { LOG_EVENT } from '../core/log-events.js';
import type { Clock } from '../core/model/clock.js';
import type { AgentGateway } from '../io/agents/agent-client.js';
import { CloudClient } from '../io/cloud/cloud-client.js';
import type { Transport } from '../io/http-client.js';
import type { Peer } from '../io/peers/peer.js';
import type { LoadedPlugin, PluginServices } from '../plugin-host/api.js';
import { PluginHost, ForwardingTracer } from '../plugin-host/plugin-host.js';
import { TopicChannel } from '../plugin-host/topic-channel.js';
import { JobService } from './api/job-service.js';
import { ViewCommittedState } from './committed-state.js';
import { ControllerContext } from './controller-context.js';
import { HealthTracker } from './health/health-tracker.js';
import { HeartbeatRouter } from './heartbeats/heartbeat-router.js';
import { Leader } from './leader/leader.js';
import { Availability } from './membership/availability.js';
import { Membership } from './membership/membership.js';
import { ShardTransfer } from './membership/shard-transfer.js';
import { ShardController } from './shard/shard-controller.js';

/** Interval at which the usage of the state service is logged. */
const USAGE_LOG_INTERVAL_MS = 30_000;

/** What a controller needs from its environment: clock, randomness and connections; tests pass fakes. */
export interface ControllerDependencies {
  readonly clock: Clock;
  /** Id of this run of the process; unique over all restarts of all controllers. */
  readonly identity: string;
  /** Uniform in [0, 1), for the jitter of retries that would otherwise coincide. */
  readonly random: () => number;
  readonly state: Transport;
  readonly watch: Transport;
  readonly cloud: Transport;
  readonly agents: AgentGateway;
  readonly peers: ReadonlyMap<string, Peer>;
  /** Connections for plugins, separate from `peers` so that a slow plugin does not delay other requests. */
  readonly pluginLinks?: ReadonlyMap<string, Peer>;
}

/** The settings, dependencies and plugins of a controller. */
export interface ControllerOptions {
  readonly settings: PlatformSettings;
  readonly operator: OperatorSettings;
  readonly log: Logger;
  readonly dependencies: ControllerDependencies;
  readonly plugins?: readonly LoadedPlugin[];
}

/** Creates the modules of one controller and runs their loops. */
export class Controller {
  readonly context: ControllerContext;
  readonly membership: Membership;
  readonly availability: Availability;
  readonly shardController: ShardController;
  readonly leader: Leader;
  readonly jobs: JobService;
  readonly heartbeats: HeartbeatRouter;
  /** Requests between the plugins of different controllers. */
  readonly channel: TopicChannel;
  /** The host of the enabled plugins; null if no plugin is enabled. */
  readonly pluginHost: PluginHost | null;
  private readonly health: HealthTracker;

  constructor({ settings, operator, log, dependencies, plugins = [] }: ControllerOptions) {
    const { clock, identity, state, watch, cloud, agents, peers } = dependencies;
    this.context = new ControllerContext({
      settings,
      operator,
      log,
      clock,
      identity,
      stateTransport: state,
      watchTransport: watch,
    });
    this.health = new HealthTracker(this.context, dependencies.random);
    this.membership = new Membership(this.context);
    this.availability = new Availability(this.context, peers);
    this.shardController = new ShardController(this.context, agents, this.health);
    const cloudClient = new CloudClient(cloud, settings.cloudLimits.rps, clock);
    this.leader = new Leader(this.context, this.membership, cloudClient);
    this.jobs = new JobService(this.context, this.shardController, peers);
    this.heartbeats = new HeartbeatRouter({
      context: this.context,
      shardController: this.shardController,
      leader: this.leader,
      health: this.health,
      membership: this.membership,
      availability: this.availability,
    });
    this.channel = new TopicChannel(dependencies.pluginLinks ?? new Map());
    this.pluginHost = plugins.length === 0 ? null : this.createPluginHost(plugins, dependencies.random);
  }

  /** Runs all loops. Never resolves; rejects when one of them fails. */
  async run(): Promise<void> {
    await Promise.all([
      this.context.watcher.run(),
      this.membership.run(),
      this.shardController.run(),
      this.leader.run(),
      this.heartbeats.run(),
      this.availability.run(),
      ...(this.pluginHost === null ? [] : [this.pluginHost.run()]),
      this.logUsage(),
    ]);
  }

  private createPluginHost(plugins: readonly LoadedPlugin[], random: () => number): PluginHost {
    const { context, health } = this;
    const { settings, clock, incarnation, log } = context;
    const tracer = new ForwardingTracer();
    const servicesFor = (pluginLog: Logger): PluginServices => ({
      node: settings.node,
      incarnation,
      settings,
      peers: settings.peers,
      clock,
      random,
      log: pluginLog,
      committedState: new ViewCommittedState(context),
      shardControl: new ShardTransfer(context, this.membership),
      channel: this.channel,
      applyHint: (hint) => {
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
    return new PluginHost(plugins, servicesFor, log);
  }

  private async logUsage(): Promise<never> {
    const { clock, log, state } = this.context;
    for (;;) {
      await clock.sleep(USAGE_LOG_INTERVAL_MS);
      log.info(state.usage.snapshot(), LOG_EVENT.stateServiceUsage);
    }
  }
}
