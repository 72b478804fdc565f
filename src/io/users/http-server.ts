/** The HTTP server for users, agents, operators and the load balancer: parsing, errors and limits; the routes stand apart. */
import fastify, { type FastifyInstance, type FastifyReply } from 'fastify';
import type { Logger } from 'pino';
import { CodedError, UnavailableError } from '../../core/errors.js';
import { LOG_EVENT } from '../../core/log-events.js';
import { BODY_LIMIT } from '../paths.js';
import { serveHeartbeats } from './agent-routes.js';
import type { HeartbeatHandler, JobRequests, PackageRequests } from './http-api.js';
import { servePackages, serveStatus } from './operator-routes.js';
import { serveJobs } from './user-routes.js';

const KEEP_ALIVE_MS = 75_000;

/** What the HTTP server serves, and its limits. */
export interface ServerOptions {
  readonly log: Logger;
  readonly jobs: JobRequests;
  readonly heartbeats: HeartbeatHandler;
  readonly isHealthy: () => boolean;
  readonly status: () => object;
  readonly maxConnections: number;
  /** Bounds of the adaptive limit on users' requests in progress. */
  readonly minInProgress: number;
  readonly maxInProgress: number;
  /** Commands and metrics of packages; none where no package is enabled. */
  readonly packages?: PackageRequests;
}

/** A request body that is not JSON. */
class MalformedRequestError extends CodedError {
  readonly code = 'malformed_request';
}

/** Builds the HTTP server; it does not listen yet. */
export function buildServer(options: ServerOptions): FastifyInstance {
  const app = fastify({
    bodyLimit: BODY_LIMIT,
    keepAliveTimeout: KEEP_ALIVE_MS,
    exposeHeadRoutes: false,
    // A number in quotes is malformed, not a number.
    ajv: { customOptions: { coerceTypes: false, useDefaults: false, removeAdditional: false } },
  });
  app.server.maxConnections = options.maxConnections;
  parseAllBodiesAsJson(app);
  app.setErrorHandler((error: RequestError, _request, reply) => sendError(error, reply, options.log));
  serveJobs(app, options.jobs, { min: options.minInProgress, max: options.maxInProgress });
  serveHeartbeats(app, options.heartbeats);
  serveStatus(app, options);
  if (options.packages !== undefined) servePackages(app, options.packages);
  return app;
}

/** Whatever content type a client names, its body is taken for JSON. */
function parseAllBodiesAsJson(app: FastifyInstance): void {
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'string' }, (_request, body, done) => {
    if (body === '') {
      done(null, undefined);
      return;
    }
    try {
      done(null, JSON.parse(body as string));
    } catch (cause) {
      done(new MalformedRequestError('not JSON', { cause }));
    }
  });
}

type RequestError = Error & { statusCode?: number; validation?: unknown };

function sendError(error: RequestError, reply: FastifyReply, log: Logger): FastifyReply {
  if (error instanceof UnavailableError)
    return reply.code(503).header('retry-after', '1').send({ error: 'unavailable' });
  if (isClientError(error)) return reply.code(400).send({ error: error.message });
  log.error({ err: error }, LOG_EVENT.requestFailed);
  return reply.code(503).header('retry-after', '1').send({ error: 'internal' });
}

const isClientError = (error: RequestError): boolean =>
  error instanceof MalformedRequestError ||
  error.validation !== undefined ||
  (error.statusCode !== undefined && error.statusCode < 500);
