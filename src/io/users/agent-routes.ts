/** The route for agents' heartbeats. */
import type { FastifyInstance } from 'fastify';
import { commandsToWire, heartbeatFromWire, redirectToWire } from '../agents/agent-messages.js';
import { paths } from '../paths.js';
import type { HeartbeatHandler } from './http-api.js';

/** Adds the route: answers with commands, or names the controller that answers instead. */
export function serveHeartbeats(app: FastifyInstance, heartbeats: HeartbeatHandler): void {
  app.post(paths.heartbeat, async (request, reply) => {
    const heartbeat = heartbeatFromWire(request.body);
    if (heartbeat === null) return reply.code(400).send({ error: 'not a report' });
    const answer = heartbeats.answer(heartbeat);
    switch (answer.kind) {
      case 'ok':
        return reply.send(commandsToWire(answer.token, answer.commands));
      case 'busy':
        return reply.code(503).send({ error: 'try again later' });
      case 'redirect':
        return reply.code(421).send(redirectToWire(answer.node));
    }
  });
}
