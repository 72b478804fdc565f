/** The HTTP route for the heartbeats of node agents. */
import type { FastifyInstance } from 'fastify';
import { commandsToWire, heartbeatFromWire, redirectToWire } from '../agents/agent-messages.js';
import { paths } from '../paths.js';
import type { HeartbeatHandler } from './http-api.js';

/**
 * Adds the heartbeat route. Answers 200 with the commands for the agent, 421 with the controller that the
 * agent should turn to, 503 while this controller cannot answer, or 400 for a malformed heartbeat.
 */
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
