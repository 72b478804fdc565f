/** HTTP paths of all requests, and the largest body accepted. */

/** Paths of all requests. */
export const paths = {
  jobs: '/v1/jobs',
  job: '/v1/jobs/:id',
  cancel: '/v1/jobs/:id/abort',
  health: '/healthz',
  status: '/v1/status',
  packageCommand: '/v1/packages/:name/:command',
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
/** The largest body of a request. */
export const BODY_LIMIT = 64 * 1024;
