/** A controller of a seeded run, which can crash, restart, pause, be partitioned, or run the previous version. */
import { pino } from 'pino';
import { readOperatorSettings } from '../../src/config/operator-settings.js';
import type { PlatformSettings } from '../../src/config/platform-settings.js';
import { Controller } from '../../src/controller/controller.js';
import { nodeName, teamName, zoneName } from '../../src/core/model/ids.js';
import type { LoadedPlugin } from '../../src/plugin-host/api.js';
import { ControllerConnections, addressOf } from './controller-connections.js';
import type { Simulation } from './simulation.js';
import { AGENT_TIMINGS, NODES, TEAMS, ZONES } from './sizes.js';
import { ProcessClock } from './virtual-time.js';

/** The operators' file of seeded runs, with shorter intervals than in production. */
const OPERATOR_FILE = `
[placement]
behind_s = 20
[fleet]
idle_boot_factor = 2
refused_s = 2
[sessions]
ttl_s = 2
renew_every_s = 0.5
[slices]
settled_s = 2
`;

/** Maximum speed of a process's monotonic clock, relative to simulated time. */
const MAX_CLOCK_RATE = 1.0005;
/** Maximum error of a process's wall clock, in both directions. */
const MAX_WALL_CLOCK_OFFSET_MS = 100;

/** What a controller may be unable to reach. */
export type Dependency = 'state' | 'agents' | 'peers';

/** Returns an error as it is, and wraps any other thrown value. */
export const asError = (error: unknown): Error =>
  error instanceof Error ? error : new Error('a value other than an Error was thrown', { cause: error });

export class SimulatedController {
  /** The controller of the current process; null while the process is down. */
  controller: Controller | null = null;
  /** Clock of the current process, or of the last one while the process is down. */
  clock: ProcessClock;
  /** Number of processes started so far. */
  processStarts = 0;
  /** Creates the plugins that the controller runs; called at each start. */
  plugins: (settings: PlatformSettings) => readonly LoadedPlugin[] = () => [];
  /** Controllers from which the controller is partitioned in both directions. */
  readonly partitionedFrom = new Set<string>();
  /** Dependencies that the controller cannot reach now. */
  readonly unreachable = new Set<Dependency>();
  /** Whether the state service refuses the controller's requests, other than watch requests. */
  isRefusedByState = false;
  /** Called when the controller asks another one whether it has contact with the state service. */
  onContactAsked: () => void = () => undefined;
  /** Whether the watch's answers are held back, as while the state service refuses this controller alone. */
  isWatchHeldBack = false;
  /** Additional delay of the watch's answers to the controller. */
  watchLagMs = 0;
  /**
   * Whether the controller runs the version before pipelines, which ignores announced lower limits and writes final
   * states without their time.
   */
  runsPreviousVersion = false;

  constructor(
    private readonly simulation: Simulation,
    readonly name: string,
    readonly zone: string,
  ) {
    this.clock = new ProcessClock(simulation.time, 1, 0);
  }

  /** Starts a new process with a new clock. */
  start(): void {
    const { simulation } = this;
    const { time } = simulation;
    this.clock = new ProcessClock(
      time,
      time.real(1, MAX_CLOCK_RATE),
      time.int(-MAX_WALL_CLOCK_OFFSET_MS, MAX_WALL_CLOCK_OFFSET_MS),
    );
    this.processStarts++;
    const settings = this.platformSettings();
    this.controller = new Controller({
      settings,
      operator: readOperatorSettings(OPERATOR_FILE),
      log: pino({ level: 'silent' }),
      dependencies: new ControllerConnections(simulation, this, this.clock).dependencies(),
      plugins: this.plugins(settings),
    });
    this.controller.run().catch((error: unknown) => {
      simulation.fail(error);
    });
  }

  /** Ends the process at once; none of its pending callbacks run. */
  crash(): void {
    this.clock.isDead = true;
    this.controller = null;
  }

  private platformSettings(): PlatformSettings {
    const { size, upcomingLimits } = this.simulation;
    return {
      node: nodeName(this.name),
      zone: zoneName(this.zone),
      bind: '',
      peerBind: `${addressOf(this.name)}:1`,
      peers: NODES.filter((other) => other !== this.name).map((other) => ({
        node: nodeName(other),
        zone: zoneName(ZONES[NODES.indexOf(other) % ZONES.length]!),
        address: `${addressOf(other)}:1`,
      })),
      cloud: '',
      state: '',
      controllerCount: NODES.length,
      zones: ZONES.map(zoneName),
      teams: [...TEAMS].map(([name, gpus]) => ({
        name: teamName(name),
        guarantee: [0, 0, size.quotaFactor * 6_000_000],
        cpuQuota: null,
        gpuQuota: gpus * size.quotaFactor * 1_000_000,
      })),
      objectives: [],
      agentTimings: {
        report_s: AGENT_TIMINGS.reportS,
        lease_s: AGENT_TIMINGS.leaseS,
        gang_wait_s: AGENT_TIMINGS.gangWaitS,
        gang_peer_s: AGENT_TIMINGS.gangPeerS,
        cancel_s: AGENT_TIMINGS.cancelS,
      },
      stateLimits: {
        rps: size.rps,
        write_rps: size.writeRps,
        value_kb: 8,
        txn_ops: size.txnOps,
        ...(this.runsPreviousVersion || upcomingLimits === null ? {} : { next: upcomingLimits }),
      },
      cloudLimits: { rps: 5, list_lag_s: 2 },
      processLimits: { cpu: 1, ram_mb: 100, max_connections: 100 },
    };
  }
}
