/** Digests of all messages that controllers send in seeded runs. Equal digests show that their behaviour is equal. */
import { createHash, type Hash } from 'node:crypto';
import { warmStandbyPlugins } from '../../packages/warm-standby/test/standby-run-helpers.js';
import { injectFaults } from './faults.js';
import { scheduleRollingUpgrade } from './rolling-upgrade.js';
import { Simulation } from './simulation.js';
import { FLEET, GROWN, SMALL, type SimulationSize } from './sizes.js';

/** Kind and seed of a run with random faults. */
export interface RunSpec {
  readonly kind: 'small' | 'grown' | 'fleet' | 'standby';
  readonly seed: number;
}

/** Number of messages that the controllers of a run sent, and the digest of the messages. */
export interface RunDigest {
  readonly run: string;
  readonly messages: number;
  readonly sha256: string;
}

const SIZES: Readonly<Record<RunSpec['kind'], SimulationSize>> = {
  small: SMALL,
  grown: GROWN,
  fleet: FLEET,
  standby: SMALL,
};

/** Simulated time at which each kind of run ends. All faults have ended by then, except in the runs of `fleet`. */
const END_MS: Readonly<Record<RunSpec['kind'], number>> = {
  small: 140_000,
  grown: 110_000,
  fleet: 60_000,
  standby: 110_000,
};
/** Simulated time after which no further fault is injected. */
const FAULTS_UNTIL_MS = 70_000;
/** Simulated time at which a rolling upgrade begins. */
const UPGRADE_AT_MS = 12_000;
/** Every third seed starts with the previous version and has a rolling upgrade, except in runs with warm standbys. */
const UPGRADE_EVERY = 3;

/** The run's name in printed lines, digest files and transcript files, such as `small-4`. */
export function runName({ kind, seed }: RunSpec): string {
  return `${kind}-${seed}`;
}

/**
 * JSON with sorted keys, so that the order in which the code writes fields does not change the digest. Byte arrays are
 * replaced by their digests.
 */
function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (inner instanceof Uint8Array) return createHash('sha256').update(inner).digest('hex');
    if (inner === null || typeof inner !== 'object' || Array.isArray(inner)) return inner;
    return Object.fromEntries(Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}

/**
 * Runs the simulation and digests the messages that its controllers send. `onMessage` is called with each message as a line:
 * simulated time in ms, sender, receiver and content. Throws the error of a violated invariant.
 */
export async function digestRun(spec: RunSpec, onMessage?: (line: string) => void): Promise<RunDigest> {
  const isUpgrade = spec.kind !== 'standby' && spec.seed % UPGRADE_EVERY === 0;
  const plugins = spec.kind === 'standby' ? warmStandbyPlugins() : undefined;
  const hash: Hash = createHash('sha256');
  let messages = 0;
  const simulation = new Simulation({
    seed: spec.seed,
    size: SIZES[spec.kind],
    startsWithPreviousVersion: isUpgrade,
    plugins,
    observe: (from, to, message) => {
      const line = `${simulation.time.now.toFixed(3)} ${from} ${to} ${canonicalJson(message)}\n`;
      messages++;
      hash.update(line);
      onMessage?.(line);
    },
  });
  if (isUpgrade) scheduleRollingUpgrade(simulation, UPGRADE_AT_MS);
  else simulation.submitsPipelines = true;
  injectFaults(simulation, FAULTS_UNTIL_MS);
  await simulation.time.runUntil(END_MS[spec.kind]);
  return { run: runName(spec), messages, sha256: hash.digest('hex') };
}
