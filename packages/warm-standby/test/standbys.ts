/** Seeded runs with the package enabled: its options, scaled as everything else is there, and what tests ask of it. */
import assert from 'node:assert/strict';
import type { PlatformSettings } from '../../../src/config/platform-settings.js';
import type { LoadedPlugin } from '../../../src/plugin-host/api.js';
import { configurePlugin } from '../../../src/plugin-host/plugin-loader.js';
import { holderOf } from '../../../test/sim/run-helpers.js';
import type { SimulatedController } from '../../../test/sim/simulated-controller.js';
import type { Simulation } from '../../../test/sim/simulation.js';
import { servicePackage } from '../src/index.js';

/** A session lives for 2 s in these runs, so that detection has to be faster than that. */
export const OPTIONS = {
  replication: { heartbeat_ms: 100, answer_ms: 400, max_lag_ms: 1500 },
  detection: { least_silence_ms: 400, probe_ms: 250 },
  takeover: { rank_delay_ms: 300, backoff_ms: 3000, longest_backoff_ms: 20_000 },
  handover: { drain_ms: 1500, hold_ms: 8000 },
};

/** The package for each controller of a run, with other options on top. */
export const standby =
  (over: object = {}) =>
  (settings: PlatformSettings): LoadedPlugin[] => [
    configurePlugin('warm_standby', servicePackage, { ...OPTIONS, ...over }, settings),
  ];

/** What a controller shows of the package. */
export interface Shown {
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

export function shown(node: SimulatedController): Shown {
  const { packages } = node.controller!;
  const part = packages!.status()['warm_standby'] as Shown & { failed?: string };
  assert.equal(part.failed, undefined);
  return part;
}

/** The shard's first standby, as its holder sees it. */
export function standbyOf(simulation: Simulation, shard: string): SimulatedController {
  const holder = simulation.controllers.get(holderOf(simulation, shard)!)!;
  const name = shown(holder).slices.find((s) => s.slice === shard)?.standbys[0];
  assert.ok(name !== undefined, `${shard} has a standby`);
  return simulation.controllers.get(name)!;
}

/** All takeovers that the controllers know of. */
export const takeovers = (simulation: Simulation) =>
  [...simulation.controllers.values()].flatMap((node) =>
    node.controller === null ? [] : shown(node).takeovers,
  );

/** Counts over all controllers. */
export const total = (simulation: Simulation, count: keyof Shown['counts']) =>
  [...simulation.controllers.values()].reduce(
    (sum, node) => sum + (node.controller === null ? 0 : shown(node).counts[count]),
    0,
  );

/** The answer to a handover, as the package gives it to operators. */
export interface HandoverReply {
  readonly status: number;
  readonly body: {
    readonly handedOver: readonly { readonly slice: string; readonly to: string }[];
    readonly refused: readonly unknown[];
  };
}

/** Asks a controller to hand its shards over; the request runs in the controller's process. */
export const handover = (node: SimulatedController, body: object = {}): Promise<HandoverReply> =>
  new Promise((resolve, reject) => {
    node.clock.run(() => {
      node.controller!.packages!.command('warm_standby', 'handover', body).then((reply) => {
        resolve(reply as never);
      }, reject);
    });
  });
