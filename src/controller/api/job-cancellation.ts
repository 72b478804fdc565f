/** Cancels jobs: directly where this controller holds the shard of the job's team, else through the one that does. */
import { LOG_EVENT } from '../../core/log-events.js';
import type { JobId } from '../../core/model/ids.js';
import type { CancellationResult, ForwardedCancellationOutcome } from '../../core/model/job-results.js';
import type { JobRecord } from '../../core/model/jobs.js';
import { key } from '../../core/records/keys.js';
import type { Peer } from '../../io/peers/peer.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { ShardController } from '../shard/shard-controller.js';
import type { JobLookup } from './job-lookup.js';

/** How long a cancellation may take before its user is asked to retry. */
const CANCELLATION_TIMEOUT_MS = 3000;
const PEER_TIMEOUT_MS = 800;

/** The modules and connections that `JobCancellation` uses. */
export interface JobCancellationOptions {
  readonly context: ControllerContext;
  readonly lookup: JobLookup;
  readonly shardController: ShardController;
  readonly peers: ReadonlyMap<string, Peer>;
}

/** Requests cancellations and waits until the jobs have ended. */
export class JobCancellation {
  private readonly context: ControllerContext;
  private readonly finishWaiters = new Map<JobId, Set<() => void>>();

  constructor(private readonly options: JobCancellationOptions) {
    const { context } = options;
    this.context = context;
    context.viewChanges.subscribe(({ jobs }) => {
      for (const id of jobs)
        if (!context.view.jobs.has(id)) for (const resume of this.finishWaiters.get(id) ?? []) resume();
    });
  }

  /**
   * Cancels a job and waits until it has ended, for `CANCELLATION_TIMEOUT_MS` at most. Throws `UnavailableError` where
   * the job's state cannot be known now.
   */
  async cancel(id: JobId): Promise<CancellationResult> {
    const { clock, ownership, view, log } = this.context;
    const status = await this.options.lookup.find(id);
    if (status === undefined) return { kind: 'not_found' };
    if (status.state === 'done' || status.state === 'cancelled')
      return { kind: 'final', state: status.state };
    const job = view.jobs.get(id);
    if (job === undefined) return { kind: 'later' };
    if (ownership.ownsTeam(job.spec.team)) return this.cancelOwned(id);
    const start = clock.now();
    const finished = this.waitUntilFinished(id);
    const peer = this.peerFor(job);
    const outcome = peer === undefined ? null : await peer.forwardCancellation(id, PEER_TIMEOUT_MS);
    // A request that the holder did not accept directly is stored in the state service, where the holder reads it.
    if (outcome !== 'taken' && !view.cancellations.has(id)) await this.storeCancellation(id);
    await finished;
    log.debug({ job: id, ms: clock.now() - start, outcome }, LOG_EVENT.cancellationForwarded);
    return this.result(id);
  }

  /** Accepts a cancellation that a peer forwards, if this controller knows the job and holds the shard of its team. */
  acceptForwarded(id: JobId): ForwardedCancellationOutcome {
    const job = this.context.view.jobs.get(id);
    if (job === undefined || !this.context.ownership.ownsTeam(job.spec.team)) return 'not_mine';
    this.options.shardController.requestCancellation(id);
    return 'taken';
  }

  private async cancelOwned(id: JobId): Promise<CancellationResult> {
    this.options.shardController.requestCancellation(id);
    await this.waitUntilFinished(id);
    return this.result(id);
  }

  /** The controller that holds the shard of the job's team; undefined where no other controller does. */
  private peerFor({ spec }: JobRecord): Peer | undefined {
    const { ownership, view } = this.context;
    const holder = ownership.holderOf(view.teams.get(spec.team));
    return holder === null ? undefined : this.options.peers.get(holder);
  }

  private async storeCancellation(id: JobId): Promise<void> {
    const { state, guards, watcher } = this.context;
    const operation: WriteOperation = { key: key.cancellation(id), value: {}, reason: 'cancellation' };
    const result = await state.transact(
      { guards: [guards.forKey(operation.key)], operations: [operation] },
      REQUEST_PRIORITY.users,
    );
    if (result.kind === 'ok') watcher.applyCommitted([operation], result.revision);
  }

  private async result(id: JobId): Promise<CancellationResult> {
    const { view, finalStates } = this.context;
    if (view.jobs.has(id)) return { kind: 'later' };
    const final = await finalStates.read(id, view.revision);
    return final === undefined ? { kind: 'later' } : { kind: 'final', state: final.state };
  }

  /** Resolves when the job has left the view, or after `CANCELLATION_TIMEOUT_MS`. */
  private waitUntilFinished(id: JobId): Promise<void> {
    const { view, clock } = this.context;
    if (!view.jobs.has(id)) return Promise.resolve();
    return new Promise((resolve) => {
      const waiters = this.finishWaiters.get(id) ?? new Set();
      this.finishWaiters.set(id, waiters);
      const resume = () => {
        cancelTimeout();
        waiters.delete(resume);
        if (waiters.size === 0) this.finishWaiters.delete(id);
        resolve();
      };
      const cancelTimeout = clock.after(CANCELLATION_TIMEOUT_MS, resume);
      waiters.add(resume);
    });
  }
}
