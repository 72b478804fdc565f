/**
 * Settings files. Guards against a start with settings that are missing, invalid or misspelled, and against refusing a
 * platform file because of fields that a newer platform has added.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readOperatorSettings } from '../src/config/operator-settings.js';
import { SettingsError, readPlatformSettings } from '../src/config/platform-settings.js';

const VALID_SETTINGS = `
node = "c-0"
area = "a"
bind = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
something_new = 3
[[others]]
node = "c-1"
area = "b"
endpoint = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
count = 2
zones = ["a", "b"]
time_bound_ms = 100.0
[[cluster.teams]]
name = "red"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 32.0
[cluster.workers]
report_s = 2.5
lease_s = 14.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 44.0
[cluster.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 32
[cluster.cloud]
rps = 2.0
list_lag_s = 6.0
[cluster.quota]
cpu = 0.25
ram_mb = 178.0
max_connections = 1500
`;

test('the platform file is read, unknown fields are ignored, and a maximum of 0 means no limit', () => {
  const settings = readPlatformSettings(VALID_SETTINGS);
  assert.equal(settings.node, 'c-0');
  assert.equal(settings.peers[0]?.address, '10.0.0.2:8081');
  assert.equal(settings.teams[0]?.cpuQuota, null);
  assert.equal(settings.teams[0].gpuQuota, 32_000_000);
});

test('a missing or invalid field is reported by name in one line', () => {
  const assertReported = (text: string, field: RegExp) => {
    assert.throws(
      () => readPlatformSettings(text),
      (e: unknown) => e instanceof SettingsError && field.test(e.message) && !e.message.includes('\n'),
    );
  };
  assertReported(VALID_SETTINGS.replace('lease_s = 14.0\n', ''), /cluster\.workers\.lease_s/);
  assertReported(VALID_SETTINGS.replace('rps = 150.0', 'rps = "many"'), /cluster\.state\.rps/);
  assertReported(VALID_SETTINGS.replace('txn_ops = 32', 'txn_ops = 0'), /cluster\.state\.txn_ops/);
  assertReported(VALID_SETTINGS.replace('bind = "10.0.0.1:8080"', 'bind = "here"'), /bind/);
  assertReported('node = ', /not TOML/);
});

test("the operators' file has defaults, and a misspelled name is an error", () => {
  assert.equal(readOperatorSettings('').sessions.ttl_s, 8);
  assert.equal(readOperatorSettings('[sessions]\nttl_s = 9').sessions.ttl_s, 9);
  assert.throws(() => readOperatorSettings('[sessions]\nttl = 9'), /sessions\.ttl/);
  assert.throws(() => readOperatorSettings('[fleets]\nx = 1'), /fleets/);
});
