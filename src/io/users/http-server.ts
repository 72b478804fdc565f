/**
 * The HTTP server for users, agents, operators and the load balancer: body parsing, error responses and
 * limits. The routes are defined in modules of their own.
 */
import fastify, { type FastifyInstance, type FastifyReply } from 'fastify';
import type { Logger } from 'pino';
import { CodedError, UnavailableError } from '../../core/errors.js';
import { LOG_EVENT } from '../../core/log-events.js';
import { MAX_BODY_BYTES } from '../../core/model/message-limits.js';
import { serveHeartbeats } from './agent-routes.js';
import type { HeartbeatHandler, JobRequests, PluginRequests } from './http-api.js';
import { servePlugins, serveStatus } from './operator-routes.js';
import { serveJobs } from './user-routes.js';

const KEEP_ALIVE_MS = 75_000;

/** The request handlers of the HTTP server, and its limits. */
export interface ServerOptions {
  readonly log: Logger;
  readonly jobs: JobRequests;
  readonly heartbeats: HeartbeatHandler;
  readonly isHealthy: () => boolean;
  readonly status: () => object;
  readonly maxConnections: number;
  /** Lower and upper bound of the adaptive limits on users' requests in progress. */
  readonly minInProgress: number;
  readonly maxInProgress: number;
  /** Commands and metrics of plugins; absent if no plugin is enabled. */
  readonly plugins?: PluginRequests;
}

/** Thrown for a request body that is not JSON; answered with 400. */
class MalformedRequestError extends CodedError {
  readonly code = 'malformed_request';
}

/** Builds the HTTP server; it does not listen yet. */
export function buildServer(options: ServerOptions): FastifyInstance {
  const app = fastify({
    bodyLimit: MAX_BODY_BYTES,
    keepAliveTimeout: KEEP_ALIVE_MS,
    exposeHeadRoutes: false,
    // No type coercion: a number in quotes is rejected with 400, not read as a number.
    ajv: { customOptions: { coerceTypes: false, useDefaults: false, removeAdditional: false } },
  });
  app.server.maxConnections = options.maxConnections;
  parseAllBodiesAsJson(app);
  app.setErrorHandler((error: RequestError, _request, reply) => sendError(error, reply, options.log));
  serveJobs(app, options.jobs, { min: options.minInProgress, max: options.maxInProgress });
  serveHeartbeats(app, options.heartbeats);
  serveStatus(app, options);
  if (options.plugins !== undefined) servePlugins(app, options.plugins);
  return app;
}

/** Parses every request body as JSON, whatever content type the client declares. An empty body is undefined. */
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
