/** Routes for operators and the load balancer: health, status, and commands and metrics of packages. */
import type { FastifyInstance } from 'fastify';
import { paths } from '../paths.js';
import type { PackageRequests } from './http-api.js';

interface CommandParams {
  Params: { name: string; command: string };
}

/** Adds the routes for health and status. */
export function serveStatus(
  app: FastifyInstance,
  { isHealthy, status }: { readonly isHealthy: () => boolean; readonly status: () => object },
): void {
  app.get(paths.health, async (_request, reply) => {
    const ok = isHealthy();
    return reply.code(ok ? 200 : 503).send({ ok });
  });
  app.get(paths.status, async (_request, reply) => reply.send(status()));
}

/** Adds the routes for operators' commands to packages, and for their metrics. */
export function servePackages(app: FastifyInstance, packages: PackageRequests): void {
  app.post<CommandParams>(paths.packageCommand, async (request, reply) => {
    const { name, command } = request.params;
    const answer = await packages.command(name, command, request.body);
    if (answer === null) return reply.code(404).send({ error: 'no such package or command' });
    return reply.code(answer.status).send(answer.body);
  });
  app.get(paths.metrics, async (_request, reply) =>
    reply.type('text/plain; version=0.0.4').send(await packages.metrics()),
  );
}
