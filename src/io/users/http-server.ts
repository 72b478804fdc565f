/** The HTTP side towards users, workers and the load balancer. */
import { LOG_EVENT } from '../../core/log-events.js';
import fastify, { type FastifyInstance } from 'fastify';
import type { Logger } from 'pino';
import { ConcurrencyLimit } from '../../core/concurrency-limit.js';
import { jobId } from '../../core/model/ids.js';
import { monotonicMs } from '../../core/model/time.js';
import type { JobService } from '../../controller/api/job-service.js';
import type { CancellationResult } from '../../core/model/job-results.js';
import type { HeartbeatRouter } from '../../controller/heartbeats/heartbeat-router.js';
import type { PluginHost } from '../../plugin-host/plugin-host.js';
import { UnavailableError } from '../../core/errors.js';
import { heartbeatFromWire, commandsToWire, redirectToWire } from '../agents/agent-messages.js';
import { BODY_LIMIT, paths } from '../paths.js';
import { Submission, jobFromWire, acceptedToWire, isJobId, statusToWire } from './job-messages.js';

/** What the HTTP server serves, and its limits. */
export interface ServerOptions {
  readonly log: Logger;
  readonly jobs: JobService;
  readonly heartbeats: HeartbeatRouter;
  readonly healthy: () => boolean;
  readonly status: () => object;
  readonly maxConnections: number;
  readonly leastInProgress: number;
  readonly mostInProgress: number;
  /** Commands and metrics of packages; none where no package is enabled. */
  readonly packages?: Pick<PluginHost, 'command' | 'metrics'>;
}

class Malformed extends Error {}

/** Builds the HTTP server; it does not listen yet. */
export function buildServer(o: ServerOptions): FastifyInstance {
  const app = fastify({
    bodyLimit: BODY_LIMIT,
    keepAliveTimeout: 75_000,
    exposeHeadRoutes: false,
    // A number in quotes is malformed, not a number.
    ajv: { customOptions: { coerceTypes: false, useDefaults: false, removeAdditional: false } },
  });
  app.server.maxConnections = o.maxConnections;
  const bounds = { min: o.leastInProgress, max: o.mostInProgress, tolerance: 4, floorMs: 250 };
  // Each has its own limit: however many questions are asked, and however slow their answers, submissions are taken.
  const submissions = new ConcurrencyLimit(bounds);
  const questions = new ConcurrencyLimit(bounds);
  const now = () => monotonicMs(performance.now());

  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'string' }, (_req, body, done) => {
    if (body === '') {
      done(null, undefined);
      return;
    }
    try {
      done(null, JSON.parse(body as string));
    } catch {
      done(new Malformed('not JSON'));
    }
  });
  app.setErrorHandler((e: Error & { statusCode?: number; validation?: unknown }, _req, reply) => {
    if (e instanceof UnavailableError)
      return reply.code(503).header('retry-after', '1').send({ error: 'unavailable' });
    const malformed =
      e instanceof Malformed ||
      e.validation !== undefined ||
      (e.statusCode !== undefined && e.statusCode < 500);
    if (malformed) return reply.code(400).send({ error: e.message });
    o.log.error({ err: e }, LOG_EVENT.requestFailed);
    return reply.code(503).header('retry-after', '1').send({ error: 'internal' });
  });

  /** Runs a user's request within the limit, or refuses it at once. */
  const admitted = async <T>(admission: ConcurrencyLimit, work: () => Promise<T>): Promise<T | null> => {
    if (!admission.tryAcquire()) return null;
    const start = now();
    try {
      return await work();
    } finally {
      const end = now();
      admission.release(end - start, end);
    }
  };
  const later = { error: 'try again later' };

  app.post(paths.jobs, { schema: { body: Submission } }, async (req, reply) => {
    const r = await admitted(submissions, () => o.jobs.submit(jobFromWire(req.body as never)));
    if (r === null) return reply.code(429).header('retry-after', '1').send(later);
    if (r.kind === 'later') return reply.code(503).header('retry-after', '1').send(later);
    if (r.kind === 'impossible') return reply.code(422).send({ error: r.why });
    const id = jobId((req.body as { nameId: string }).nameId);
    return reply.code(r.kind === 'accepted' ? 201 : 200).send(acceptedToWire(id, r.state));
  });

  app.get<{ Params: { id: string } }>(paths.job, async (req, reply) => {
    if (!isJobId(req.params.id)) return reply.code(404).send({ error: 'no such job' });
    const id = jobId(req.params.id);
    const r = await admitted(questions, async () => ({ found: await o.jobs.find(id) }));
    if (r === null) return reply.code(429).header('retry-after', '1').send(later);
    if (r.found === undefined) return reply.code(404).send({ error: 'no such job' });
    return reply.send(statusToWire(id, r.found));
  });

  app.post<{ Params: { id: string } }>(paths.cancel, async (req, reply) => {
    if (!isJobId(req.params.id)) return reply.code(404).send({ error: 'no such job' });
    const id = jobId(req.params.id);
    // Not timed: most of its time is the workers' and says nothing about load here.
    const r: CancellationResult = await o.jobs.cancel(id);
    if (r.kind === 'not_found') return reply.code(404).send({ error: 'no such job' });
    if (r.kind === 'later') return reply.code(503).header('retry-after', '1').send(later);
    return reply.send(acceptedToWire(id, r.state));
  });

  app.get(paths.health, async (_req, reply) => {
    const ok = o.healthy();
    return reply.code(ok ? 200 : 503).send({ ok });
  });

  app.get(paths.status, async (_req, reply) => reply.send(o.status()));

  app.post(paths.heartbeat, async (req, reply) => {
    const heartbeat = heartbeatFromWire(req.body);
    if (heartbeat === null) return reply.code(400).send({ error: 'not a report' });
    const a = o.heartbeats.answer(heartbeat);
    if (a.kind === 'ok') return reply.send(commandsToWire(a.token, a.commands));
    if (a.kind === 'busy') return reply.code(503).send(later);
    return reply.code(421).send(redirectToWire(a.node));
  });
  if (o.packages !== undefined) servePackages(app, o.packages);
  return app;
}

/** Operators' commands to packages, and their metrics. */
function servePackages(app: FastifyInstance, packages: Pick<PluginHost, 'command' | 'metrics'>): void {
  app.post<{ Params: { name: string; command: string } }>(paths.packageCommand, async (req, reply) => {
    const { name, command } = req.params;
    const r = await packages.command(name, command, req.body);
    if (r === null) return reply.code(404).send({ error: 'no such package or command' });
    return reply.code(r.status).send(r.body);
  });
  app.get(paths.metrics, async (_req, reply) =>
    reply.type('text/plain; version=0.0.4').send(await packages.metrics()),
  );
}
