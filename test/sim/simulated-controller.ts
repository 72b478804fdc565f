/** A controller of a seeded run: it can crash, restart, pause, be partitioned, and run the previous version. */
import { pino } from 'pino';
import { readOperatorSettings } from '../../src/config/operator-settings.js';
import type { PlatformSettings } from '../../src/config/platform-settings.js';
import { Controller } from '../../src/controller/controller.js';
import { nodeName, teamName, zoneName } from '../../src/core/model/ids.js';
import type { LoadedPlugin } from '../../src/plugin-host/api.js';
import { ControllerConnections, addressOf } from './controller-connections.js';
import type { Simulation } from './simulation.js';
import { LIMITS, NODES, TEAMS, ZONES } from './sizes.js';
import { ProcessClock } from './virtual-time.js';

/** The operators' file of seeded runs: intervals are shorter than in production. */
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

/** Drift of a process's monotonic clock, and offset of its wall clock. */
const MAX_CLOCK_RATE = 1.0005;
const MAX_WALL_CLOCK_OFFSET_MS = 100;

/** What a controller may be cut off from. */
export type Dependency = 'state' | 'workers' | 'peers';

export const asError = (error: unknown): Error =>
  error instanceof Error ? error : new Error('failed', { cause: error });

export class SimulatedController {
  /** Null while the process is down. */
  controller: Controller | null = null;
  /** The clock of the current process, or of the last one. */
  clock: ProcessClock;
  /** Processes started so far. */
  starts = 0;
  /** The packages that the node runs, made anew with each start. */
  packages: (settings: PlatformSettings) => readonly LoadedPlugin[] = () => [];
  /** Controllers that it does not reach, and that do not reach it. */
  readonly partitionedFrom = new Set<string>();
  /** What the node cannot reach now. */
  readonly unreachable = new Set<Dependency>();
  /** The state service refuses this node's requests, other than watches. */
  isRefusedByState = false;
  /** How much later than usual the watch delivers changes to this node. */
  watchLagMs = 0;
  /** It runs the version before pipelines, which ignores lower limits and writes final states without their time. */
  runsPreviousVersion = false;

  constructor(
    private readonly simulation: Simulation,
    readonly name: string,
    readonly zone: string,
  ) {
    this.clock = new ProcessClock(simulation.time, 1, 0);
  }

  /** Starts a new process, with a clock of its own. */
  start(): void {
    const { simulation } = this;
    const { time } = simulation;
    this.clock = new ProcessClock(
      time,
      time.real(1, MAX_CLOCK_RATE),
      time.int(-MAX_WALL_CLOCK_OFFSET_MS, MAX_WALL_CLOCK_OFFSET_MS),
    );
    this.starts++;
    const settings = this.platformSettings();
    this.controller = new Controller({
      settings,
      operator: readOperatorSettings(OPERATOR_FILE),
      log: pino({ level: 'silent' }),
      dependencies: new ControllerConnections(simulation, this, this.clock).all(),
      packages: this.packages(settings),
    });
    this.controller.run().catch((error: unknown) => {
      simulation.fail(error);
    });
  }

  /** Ends the process at once; nothing of it happens any more. */
  crash(): void {
    this.clock.dead = true;
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
      nodes: NODES.length,
      zones: ZONES.map(zoneName),
      teams: [...TEAMS].map(([name, gpus]) => ({
        name: teamName(name),
        guarantee: [0, 0, size.times * 6_000_000],
        limitCpu: null,
        limitGpu: gpus * size.times * 1_000_000,
      })),
      objectives: [],
      workers: {
        report_s: LIMITS.reportS,
        lease_s: LIMITS.leaseS,
        gang_wait_s: LIMITS.gangWaitS,
        gang_peer_s: LIMITS.gangPeerS,
        cancel_s: LIMITS.cancelS,
      },
      stateLimits: {
        rps: size.rps,
        write_rps: size.writeRps,
        value_kb: 8,
        txn_ops: size.txnOps,
        ...(this.runsPreviousVersion || upcomingLimits === null ? {} : { next: upcomingLimits }),
      },
      cloudLimits: { rps: 5, list_lag_s: 2 },
      limits: { cpu: 1, ram_mb: 100, max_connections: 100 },
    };
  }
}
