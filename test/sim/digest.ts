/** Digests of all messages that controllers send in a seeded run; equal digests mean equal behaviour. */
import { createHash, type Hash } from 'node:crypto';
import { standby } from '../../packages/warm-standby/test/standbys.js';
import { injectFaults } from './faults.js';
import { scheduleRollingUpgrade } from './rolling-upgrade.js';
import { Simulation } from './simulation.js';
import { FLEET, GROWN, SMALL, type SimulationSize } from './sizes.js';

/** One seeded run with random faults. */
export interface RunSpec {
  readonly kind: 'small' | 'grown' | 'fleet' | 'standby';
  readonly seed: number;
}

/** How many messages a run's controllers sent, and their digest. */
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

/** Simulated time at which the runs end, the last faults being over before. */
const END_MS: Readonly<Record<RunSpec['kind'], number>> = {
  small: 140_000,
  grown: 110_000,
  fleet: 60_000,
  standby: 110_000,
};
const FAULTS_UNTIL_MS = 70_000;
const UPGRADE_AT_MS = 12_000;
/** Every third run begins with the previous version and has a rolling upgrade. */
const UPGRADE_EVERY = 3;

/** The run's name in reports and files. */
export function nameOf({ kind, seed }: RunSpec): string {
  return `${kind}-${seed}`;
}

/** JSON with sorted keys, so that the order in which fields are written does not matter. */
function canonical(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (inner instanceof Uint8Array) return createHash('sha256').update(inner).digest('hex');
    if (inner === null || typeof inner !== 'object' || Array.isArray(inner)) return inner;
    return Object.fromEntries(Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}

/** Runs the simulation and digests what its controllers send; `onMessage` gets each message as one line. */
export async function digestOf(spec: RunSpec, onMessage?: (line: string) => void): Promise<RunDigest> {
  const isUpgrade = spec.kind !== 'standby' && spec.seed % UPGRADE_EVERY === 0;
  const packages = spec.kind === 'standby' ? standby() : undefined;
  const hash: Hash = createHash('sha256');
  let messages = 0;
  const simulation = new Simulation({
    seed: spec.seed,
    size: SIZES[spec.kind],
    startsWithPreviousVersion: isUpgrade,
    packages,
    observe: (from, to, message) => {
      const line = `${simulation.time.now.toFixed(3)} ${from} ${to} ${canonical(message)}\n`;
      messages++;
      hash.update(line);
      onMessage?.(line);
    },
  });
  if (isUpgrade) scheduleRollingUpgrade(simulation, UPGRADE_AT_MS);
  else simulation.submitsPipelines = true;
  injectFaults(simulation, FAULTS_UNTIL_MS);
  await simulation.time.runUntil(END_MS[spec.kind]);
  return { run: nameOf(spec), messages, sha256: hash.digest('hex') };
}
