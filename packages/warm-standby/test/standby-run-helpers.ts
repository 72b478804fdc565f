/** Helpers of simulated runs with warm standbys: options scaled to the timings of these runs, status and handover requests. */
import assert from 'node:assert/strict';
import type { PlatformSettings } from '../../../src/config/platform-settings.js';
import type { LoadedPlugin } from '../../../src/plugin-host/api.js';
import { configurePlugin } from '../../../src/plugin-host/plugin-loader.js';
import { holderOf } from '../../../test/sim/run-helpers.js';
import type { SimulatedController } from '../../../test/sim/simulated-controller.js';
import type { Simulation } from '../../../test/sim/simulation.js';
import { servicePackage } from '../src/index.js';

/** Options of warm standby in simulated runs. Sessions expire after 2 s there, so a failure must be detected sooner. */
export const SIMULATION_OPTIONS = {
  replication: { heartbeat_ms: 100, answer_ms: 400, max_lag_ms: 1500 },
  detection: { least_silence_ms: 400, probe_ms: 250 },
  takeover: { rank_delay_ms: 300, backoff_ms: 3000, longest_backoff_ms: 20_000 },
  handover: { drain_ms: 1500, hold_ms: 8000 },
};

/** Enables the plugin at each controller of a run. `overrides` replace whole sections of `SIMULATION_OPTIONS`. */
export const warmStandbyPlugins =
  (overrides: object = {}) =>
  (settings: PlatformSettings): LoadedPlugin[] => [
    configurePlugin('warm_standby', servicePackage, { ...SIMULATION_OPTIONS, ...overrides }, settings),
  ];

/** The plugin's part of a controller's status, as far as tests read it. */
export interface StandbyStatus {
  readonly slices: readonly {
    readonly slice: string;
    readonly active: string;
    readonly role: 'holder' | 'standby' | 'none';
    readonly standbys: readonly string[];
    readonly warm?: boolean;
    readonly applied?: number | null;
    readonly lagEntries?: number | null;
    readonly waitsFor?: string | null;
    readonly followers?: readonly {
      readonly standby: string;
      readonly status: string;
      readonly lagEntries: number;
    }[];
  }[];
  readonly counts: {
    readonly suspicions: number;
    readonly refuted: number;
    readonly taken: number;
    readonly falseTakeovers: number;
  };
  readonly takeovers: readonly {
    readonly slice: string;
    readonly cause: string;
    readonly warm: boolean;
    readonly uncommittedEnds: number;
    readonly phasesMs: Readonly<Record<string, number>>;
  }[];
  readonly rejectedMessages: Readonly<Record<string, number>>;
}

/** The plugin's part of a running controller's status; fails if the plugin could not produce it. */
export function standbyStatusOf(node: SimulatedController): StandbyStatus {
  const { pluginHost } = node.controller!;
  const status = pluginHost!.status()['warm_standby'] as StandbyStatus & { failed?: string };
  assert.equal(status.failed, undefined);
  return status;
}

/** The first standby in the order that the shard's holder shows; fails if there is none. */
export function firstStandbyOf(simulation: Simulation, shard: string): SimulatedController {
  const holder = simulation.controllers.get(holderOf(simulation, shard)!)!;
  const name = standbyStatusOf(holder).slices.find((s) => s.slice === shard)?.standbys[0];
  assert.ok(name !== undefined, `the holder of ${shard} shows no standby`);
  return simulation.controllers.get(name)!;
}

/** Failovers to the controllers that run now, as far as each remembers its own. */
export const allFailovers = (simulation: Simulation) =>
  [...simulation.controllers.values()].flatMap((node) =>
    node.controller === null ? [] : standbyStatusOf(node).takeovers,
  );

/** One of the plugin's counts, summed over the controllers that run now. */
export const totalCount = (simulation: Simulation, count: keyof StandbyStatus['counts']) =>
  [...simulation.controllers.values()].reduce(
    (sum, node) => sum + (node.controller === null ? 0 : standbyStatusOf(node).counts[count]),
    0,
  );

/** The plugin's reply to an operator's handover request. */
export interface HandoverReply {
  readonly status: number;
  readonly body: {
    readonly handedOver: readonly { readonly slice: string; readonly to: string }[];
    readonly refused: readonly unknown[];
  };
}

/** Requests a handover of the controller's shards; the request runs on the clock of the controller's process. */
export const requestHandover = (node: SimulatedController, body: object = {}): Promise<HandoverReply> =>
  new Promise((resolve, reject) => {
    node.clock.run(() => {
      node.controller!.pluginHost!.command('warm_standby', 'handover', body).then((reply) => {
        resolve(reply as never);
      }, reject);
    });
  });
