/** Samples that several tests use. */
import {
  demandOf,
  machineName,
  nodeName,
  typeName,
  wallMs,
  zoneName,
  type MachineRecord,
  type MachineType,
  type Placed,
} from '../src/core/types.js';

/** A valid submission as a user would send it. */
export const submission = (over: Record<string, unknown> = {}): Record<string, unknown> => ({
  nameId: 'wk-000412',
  workload: 'train',
  tenant: 'vision',
  shape: 'sweep',
  tier: 'standard',
  shards: 3,
  vcpus: 8,
  cards: 1,
  memoryGb: 64,
  bundle: 'img-07',
  pullGb: 6.2,
  flavors: null,
  vault: null,
  samePlace: false,
  scatter: false,
  loaner: true,
  expectedS: 240,
  snapshotEveryS: 30,
  snapshotS: 4,
  dueS: 900,
  ...over,
});

export const type: MachineType = {
  name: typeName('m'),
  capacity: demandOf(16, 64, 4),
  price: 4,
  spotPrice: 2,
  bootS: 30,
  cacheGb: 100,
  fetchGbPerS: 1,
  zones: [zoneName('a'), zoneName('b')],
};
export const types = new Map([[type.name, type]]);

/** A machine of that type which is up. */
export const machine = (name: string, placed: readonly Placed[], zone = 'a'): MachineRecord => ({
  name: machineName(name),
  type: type.name,
  zone: zoneName(zone),
  spot: false,
  owner: nodeName('c-0'),
  floor: 1,
  phase: 'up',
  placed,
  since: wallMs(0),
});
