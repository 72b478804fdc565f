/** A digest of all that leaves the controllers of a seeded run: two versions of the code behave alike where it is the same. */
import { createHash, type Hash } from 'node:crypto';
import { standby } from '../../packages/warm-standby/test/standbys.js';
import { Simulation } from './simulation.js';
import { FLEET, GROWN, SMALL, type SimulationSize } from './sizes.js';

/** One seeded run with random faults. */
export interface RunSpec {
  readonly kind: 'small' | 'grown' | 'fleet' | 'standby';
  readonly seed: number;
}

/** What a run sent: how many messages, and their digest. */
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
/** Every third run begins with the version before this one, and is upgraded process by process. */
const UPGRADE_EVERY = 3;

export const nameOf = ({ kind, seed }: RunSpec): string => `${kind}-${seed}`;

/** JSON with sorted keys, so that the order in which fields are written does not count. */
function canonical(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (inner instanceof Uint8Array) return createHash('sha256').update(inner).digest('hex');
    if (inner === null || typeof inner !== 'object' || Array.isArray(inner)) return inner;
    return Object.fromEntries(Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}

/** Plays a run and digests what its controllers send; `onMessage` gets each message as one line. */
export async function digestOf(spec: RunSpec, onMessage?: (line: string) => void): Promise<RunDigest> {
  const isUpgrade = spec.kind !== 'standby' && spec.seed % UPGRADE_EVERY === 0;
  const packages = spec.kind === 'standby' ? standby() : undefined;
  const hash: Hash = createHash('sha256');
  let messages = 0;
  const simulation = new Simulation(spec.seed, SIZES[spec.kind], isUpgrade, packages, (from, to, message) => {
    const line = `${simulation.time.now.toFixed(3)} ${from} ${to} ${canonical(message)}\n`;
    messages++;
    hash.update(line);
    onMessage?.(line);
  });
  if (isUpgrade) simulation.upgrade(UPGRADE_AT_MS);
  else simulation.submitsPipelines = true;
  simulation.injectFaults(FAULTS_UNTIL_MS);
  await simulation.time.runUntil(END_MS[spec.kind]);
  return { run: nameOf(spec), messages, sha256: hash.digest('hex') };
}
