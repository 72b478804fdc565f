/** Names, limits and settings file of the controllers of a loopback cluster. */

export const NODES = ['c-0', 'c-1', 'c-2'];
export const ZONES = ['a', 'b'];
export const TEAMS = new Map([
  ['red', 64],
  ['blue', 64],
  ['green', 64],
]);
export const LIMITS = { leaseS: 14, reportS: 2, gangWaitS: 40, gangPeerS: 5, cancelS: 40 };
export const BUDGET = { rps: 600, writeRps: 400, txnOps: 16 };

export function platformFile(c: {
  name: string;
  zone: string;
  bind: string;
  internal: string;
  others: readonly string[];
  cloud: string;
  state: string;
}): string {
  const teams = [...TEAMS].map(
    ([name, gpus]) =>
      `[[cluster.teams]]\nname = "${name}"\ncpus = 0\ncpus_max = 0\ngpus = 16\ngpus_max = ${gpus}`,
  );
  return `node = "${c.name}"
area = "${c.zone}"
bind = "${c.bind}"
internal_addr = "${c.internal}"
${c.others.join('\n')}
[outside]
cloud = "${c.cloud}"
state = "${c.state}"
[cluster]
count = ${NODES.length}
zones = ["a", "b"]
time_bound_ms = 100.0
workers = { report_s = ${LIMITS.reportS}, lease_s = ${LIMITS.leaseS}, gang_wait_s = ${LIMITS.gangWaitS}, gang_peer_s = ${LIMITS.gangPeerS}, cancel_s = ${LIMITS.cancelS} }
state = { rps = ${BUDGET.rps}, write_rps = ${BUDGET.writeRps}, value_kb = 8, txn_ops = ${BUDGET.txnOps} }
cloud = { rps = 5, list_lag_s = 4 }
quota = { cpu = 1, ram_mb = 200, max_connections = 500 }
${teams.join('\n')}
`;
}
