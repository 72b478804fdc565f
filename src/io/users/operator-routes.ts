/** HTTP routes for operators and the load balancer: health, status, and the commands and metrics of plugins. */
import type { FastifyInstance } from 'fastify';
import { paths } from '../paths.js';
import type { PluginRequests } from './http-api.js';

interface CommandParams {
  Params: { name: string; command: string };
}

/** Adds the routes for the health check (200 or 503) and the cluster status. */
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

/** Adds the routes for operators' commands to plugins and for the metrics of plugins. */
export function servePlugins(app: FastifyInstance, plugins: PluginRequests): void {
  app.post<CommandParams>(paths.pluginCommand, async (request, reply) => {
    const { name, command } = request.params;
    const answer = await plugins.command(name, command, request.body);
    if (answer === null) return reply.code(404).send({ error: 'no such package or command' });
    return reply.code(answer.status).send(answer.body);
  });
  app.get(paths.metrics, async (_request, reply) =>
    reply.type('text/plain; version=0.0.4').send(await plugins.metrics()),
  );
}
