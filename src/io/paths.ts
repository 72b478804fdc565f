/** HTTP paths of users, agents, the cloud and the state service. */

/** HTTP paths, those served by a controller and those that it requests. */
export const paths = {
  jobs: '/v1/jobs',
  job: '/v1/jobs/:id',
  cancel: '/v1/jobs/:id/abort',
  health: '/healthz',
  status: '/v1/status',
  pluginCommand: '/v1/packages/:name/:command',
  metrics: '/metrics',
  heartbeat: '/v1/report',
  directCommands: '/do',
  show: '/show',
  types: '/machine_types',
  machines: '/machines',
  release: '/machines/release',
  kv: '/kv',
  txn: '/txn',
  leases: '/grants',
  watch: '/follow',
};
