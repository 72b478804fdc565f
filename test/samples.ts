/** A sample submission, machine type, machine and platform settings for tests. */
import { machineName, nodeName, typeName, zoneName } from '../src/core/model/ids.js';
import type { MachineRecord, MachineType, Allocation } from '../src/core/model/machines.js';
import { demandVector } from '../src/core/model/resources.js';
import { wallClockMs } from '../src/core/model/time.js';

/** A valid submission as a user would send it. */
export const submission = (fields: Record<string, unknown> = {}): Record<string, unknown> => ({
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
  ...fields,
});

export const type: MachineType = {
  name: typeName('m'),
  capacity: demandVector(16, 64, 4),
  price: 4,
  spotPrice: 2,
  bootS: 30,
  cacheGb: 100,
  fetchGbPerS: 1,
  zones: [zoneName('a'), zoneName('b')],
};
export const types = new Map([[type.name, type]]);

/** The record of a machine of type `m` in shard `c-0` that is up. */
export const machine = (name: string, placed: readonly Allocation[], zone = 'a'): MachineRecord => ({
  name: machineName(name),
  type: type.name,
  zone: zoneName(zone),
  spot: false,
  owner: nodeName('c-0'),
  floor: 1,
  phase: 'up',
  placed,
  since: wallClockMs(0),
});

/** The platform file of the first of three controllers in two zones. */
export const platformSettings = `
node = "c-0"
area = "a"
bind = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
[[others]]
node = "c-1"
area = "b"
endpoint = "10.0.0.2:8081"
[[others]]
node = "c-2"
area = "a"
endpoint = "10.0.0.3:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
count = 3
zones = ["a", "b"]
time_bound_ms = 100.0
teams = []
workers = { report_s = 2.5, lease_s = 14.0, gang_wait_s = 40.0, gang_peer_s = 5.0, cancel_s = 44.0 }
state = { rps = 150.0, write_rps = 60.0, value_kb = 8.0, txn_ops = 32 }
cloud = { rps = 2.0, list_lag_s = 6.0 }
quota = { cpu = 0.255, ram_mb = 178.0, max_connections = 1500 }
`;
