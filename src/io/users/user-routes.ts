/** HTTP routes for users: submitting, looking up and cancelling jobs. */
import type { FastifyInstance, FastifyReply } from 'fastify';
import { ConcurrencyLimit } from '../../core/concurrency-limit.js';
import { jobId } from '../../core/model/ids.js';
import { monotonicMs } from '../../core/model/time.js';
import { paths } from '../paths.js';
import type { JobRequests } from './http-api.js';
import {
  SubmissionSchema,
  jobStateToWire,
  isJobId,
  jobFromWire,
  statusToWire,
  type SubmissionBody,
} from './job-messages.js';

/** Mean response times above this multiple of the best mean, and above `MIN_OVERLOAD_MS`, count as overload. */
const OVERLOAD_TOLERANCE = 4;
/** Mean response times below this never count as overload. */
const MIN_OVERLOAD_MS = 250;
const RETRY_LATER = { error: 'try again later' };
const NO_SUCH_JOB = { error: 'no such job' };

interface JobParams {
  Params: { id: string };
}

/**
 * Adds the routes for jobs. Submissions and lookups beyond an adaptive limit on requests in progress, which
 * stays within `bounds`, are refused at once with 429.
 */
export function serveJobs(
  app: FastifyInstance,
  jobs: JobRequests,
  bounds: { readonly min: number; readonly max: number },
): void {
  const limits = { ...bounds, tolerance: OVERLOAD_TOLERANCE, minOverloadMs: MIN_OVERLOAD_MS };
  // Submissions and lookups have separate limits, so that many or slow lookups do not block submissions.
  serveSubmissions(app, jobs, new ConcurrencyLimit(limits));
  serveLookups(app, jobs, new ConcurrencyLimit(limits));
  serveCancellations(app, jobs);
}

function serveSubmissions(app: FastifyInstance, jobs: JobRequests, limit: ConcurrencyLimit): void {
  app.post<{ Body: SubmissionBody }>(
    paths.jobs,
    { schema: { body: SubmissionSchema } },
    async (request, reply) => {
      const { body } = request;
      const result = await runWithinLimit(limit, () => jobs.submit(jobFromWire(body)));
      if (result === null) return sendOverloaded(reply);
      if (result.kind === 'later') return sendRetryLater(reply);
      if (result.kind === 'impossible') return reply.code(422).send({ error: result.why });
      return reply
        .code(result.kind === 'accepted' ? 201 : 200)
        .send(jobStateToWire(jobId(body.nameId), result.state));
    },
  );
}

function serveLookups(app: FastifyInstance, jobs: JobRequests, limit: ConcurrencyLimit): void {
  app.get<JobParams>(paths.job, async (request, reply) => {
    if (!isJobId(request.params.id)) return reply.code(404).send(NO_SUCH_JOB);
    const id = jobId(request.params.id);
    const result = await runWithinLimit(limit, async () => ({ found: await jobs.find(id) }));
    if (result === null) return sendOverloaded(reply);
    if (result.found === undefined) return reply.code(404).send(NO_SUCH_JOB);
    return reply.send(statusToWire(id, result.found));
  });
}

function serveCancellations(app: FastifyInstance, jobs: JobRequests): void {
  app.post<JobParams>(paths.cancel, async (request, reply) => {
    if (!isJobId(request.params.id)) return reply.code(404).send(NO_SUCH_JOB);
    const id = jobId(request.params.id);
    // No concurrency limit: a cancellation mostly waits for agents, so its response time does not indicate
    // load here.
    const result = await jobs.cancel(id);
    if (result.kind === 'not_found') return reply.code(404).send(NO_SUCH_JOB);
    if (result.kind === 'later') return sendRetryLater(reply);
    return reply.send(jobStateToWire(id, result.state));
  });
}

/** Runs a request if the limit admits it and reports its response time to the limit; null if it was refused. */
async function runWithinLimit<Result>(
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

const sendRetryLater = (reply: FastifyReply) => reply.code(503).header('retry-after', '1').send(RETRY_LATER);
