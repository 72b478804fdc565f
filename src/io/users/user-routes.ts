/** Routes for users: submitting, showing and cancelling jobs. */
import type { FastifyInstance, FastifyReply } from 'fastify';
import { ConcurrencyLimit } from '../../core/concurrency-limit.js';
import { jobId } from '../../core/model/ids.js';
import { monotonicMs } from '../../core/model/time.js';
import { paths } from '../paths.js';
import type { JobRequests } from './http-api.js';
import {
  Submission,
  acceptedToWire,
  isJobId,
  jobFromWire,
  statusToWire,
  type SubmissionBody,
} from './job-messages.js';

/** Mean response times above this multiple of the best, and above the floor, are a sign of overload. */
const OVERLOAD_TOLERANCE = 4;
const OVERLOAD_FLOOR_MS = 250;
const RETRY_LATER = { error: 'try again later' };
const NO_SUCH_JOB = { error: 'no such job' };

interface JobParams {
  Params: { id: string };
}

/** Adds the routes; requests beyond an adaptive limit between the bounds are refused at once. */
export function serveJobs(
  app: FastifyInstance,
  jobs: JobRequests,
  bounds: { readonly min: number; readonly max: number },
): void {
  const limits = { ...bounds, tolerance: OVERLOAD_TOLERANCE, floorMs: OVERLOAD_FLOOR_MS };
  // Each has its own limit, so that lookups, however many or slow, do not keep submissions out.
  serveSubmissions(app, jobs, new ConcurrencyLimit(limits));
  serveLookups(app, jobs, new ConcurrencyLimit(limits));
  serveCancellations(app, jobs);
}

function serveSubmissions(app: FastifyInstance, jobs: JobRequests, limit: ConcurrencyLimit): void {
  app.post<{ Body: SubmissionBody }>(paths.jobs, { schema: { body: Submission } }, async (request, reply) => {
    const { body } = request;
    const result = await runWithin(limit, () => jobs.submit(jobFromWire(body)));
    if (result === null) return sendOverloaded(reply);
    if (result.kind === 'later') return sendLater(reply);
    if (result.kind === 'impossible') return reply.code(422).send({ error: result.why });
    return reply
      .code(result.kind === 'accepted' ? 201 : 200)
      .send(acceptedToWire(jobId(body.nameId), result.state));
  });
}

function serveLookups(app: FastifyInstance, jobs: JobRequests, limit: ConcurrencyLimit): void {
  app.get<JobParams>(paths.job, async (request, reply) => {
    if (!isJobId(request.params.id)) return reply.code(404).send(NO_SUCH_JOB);
    const id = jobId(request.params.id);
    const result = await runWithin(limit, async () => ({ found: await jobs.find(id) }));
    if (result === null) return sendOverloaded(reply);
    if (result.found === undefined) return reply.code(404).send(NO_SUCH_JOB);
    return reply.send(statusToWire(id, result.found));
  });
}

function serveCancellations(app: FastifyInstance, jobs: JobRequests): void {
  app.post<JobParams>(paths.cancel, async (request, reply) => {
    if (!isJobId(request.params.id)) return reply.code(404).send(NO_SUCH_JOB);
    const id = jobId(request.params.id);
    // Outside the limits: most of its time is spent by agents and is no sign of load here.
    const result = await jobs.cancel(id);
    if (result.kind === 'not_found') return reply.code(404).send(NO_SUCH_JOB);
    if (result.kind === 'later') return sendLater(reply);
    return reply.send(acceptedToWire(id, result.state));
  });
}

/** Runs a request within the limit; null where it is refused. */
async function runWithin<Result>(
  limit: ConcurrencyLimit,
  work: () => Promise<Result>,
): Promise<Result | null> {
  if (!limit.tryAcquire()) return null;
  const start = performance.now();
  try {
    return await work();
  } finally {
    const end = performance.now();
    limit.release(end - start, monotonicMs(end));
  }
}

const sendOverloaded = (reply: FastifyReply) => reply.code(429).header('retry-after', '1').send(RETRY_LATER);

const sendLater = (reply: FastifyReply) => reply.code(503).header('retry-after', '1').send(RETRY_LATER);
