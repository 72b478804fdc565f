/** What a controller offers users: submitting, showing and cancelling jobs. */
import type { JobId } from '../../core/model/ids.js';
import type {
  CancellationResult,
  ForwardedCancellationOutcome,
  SubmissionResult,
} from '../../core/model/job-results.js';
import type { JobSpec, JobStatus } from '../../core/model/jobs.js';
import type { Peer } from '../../io/peers/peer.js';
import type { ControllerContext } from '../controller-context.js';
import type { ShardController } from '../shard/shard-controller.js';
import { JobCancellation } from './job-cancellation.js';
import { JobLookup } from './job-lookup.js';
import { JobSubmission } from './job-submission.js';

/** Serves users' requests; every job state in an answer to a user was committed before the answer is sent. */
export class JobService {
  private readonly lookup: JobLookup;
  private readonly submission: JobSubmission;
  private readonly cancellation: JobCancellation;

  constructor(
    context: ControllerContext,
    shardController: ShardController,
    peers: ReadonlyMap<string, Peer>,
  ) {
    this.lookup = new JobLookup(context);
    this.submission = new JobSubmission(context, this.lookup);
    this.cancellation = new JobCancellation({ context, lookup: this.lookup, shardController, peers });
  }

  /** Accepts a job, or returns why it was not accepted. Throws `UnavailableError` where that cannot be decided now. */
  submit(spec: JobSpec): Promise<SubmissionResult> {
    return this.submission.submit(spec);
  }

  /** The job's state; undefined where it was never accepted. Throws `UnavailableError` where it cannot be known now. */
  find(id: JobId): Promise<JobStatus | undefined> {
    return this.lookup.find(id);
  }

  /**
   * Cancels a job and waits, within bounds, until it has ended. Throws `UnavailableError` where the job's state cannot
   * be known now.
   */
  cancel(id: JobId): Promise<CancellationResult> {
    return this.cancellation.cancel(id);
  }

  /** Accepts a cancellation that another controller forwards. */
  acceptForwardedCancellation(id: JobId): ForwardedCancellationOutcome {
    return this.cancellation.acceptForwarded(id);
  }
}
