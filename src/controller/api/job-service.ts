/** Submitting, showing and cancelling jobs: what users are told, and only after it is committed. */
import { LOG_EVENT } from '../../core/log-events.js';
import { NO_TASKS_DONE } from '../../core/jobs/done-tasks.js';
import { checkFeasibility } from '../../core/jobs/feasibility.js';
import { toStoredJob } from '../../core/records/stored-records.js';
import { NO_VERSION, type JobId } from '../../core/model/ids.js';
import type { FinalRecord, JobRecord, JobSpec, JobState, JobStatus } from '../../core/model/jobs.js';
import { key } from '../../core/records/keys.js';
import { UnavailableError } from '../../core/errors.js';
import { GroupCommit } from '../../io/state/group-commit.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { Peer } from '../../io/peers/peer.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { ShardController } from '../shard/shard-controller.js';

/** What became of a submission. */
export type SubmissionResult =
  | { readonly kind: 'accepted' | 'known'; readonly state: JobState }
  | { readonly kind: 'impossible'; readonly why: string }
  /** Cannot be decided or committed now. */
  | { readonly kind: 'later' };

/** What became of a request to cancel. */
export type CancellationResult =
  | { readonly kind: 'final'; readonly state: JobState }
  | { readonly kind: 'not_found' }
  | { readonly kind: 'later' };

/** What the jobs that a submission names mean for it. */
type JudgedNeeds =
  | { readonly kind: 'open'; readonly left: readonly JobId[] }
  | { readonly kind: 'withdrawn'; readonly because: JobId }
  /** One of them was never accepted, is the job itself, or is a service. */
  | { readonly kind: 'impossible' };

/** How long a cancellation is worked on before its user is told to come back. */
const CANCEL_WAIT_MS = 3000;

/** Serves the users: submissions, questions and cancellations. */
export class JobService {
  private readonly finishWaiters = new Map<JobId, Set<() => void>>();
  private readonly submissions: GroupCommit;

  constructor(
    private readonly context: ControllerContext,
    private readonly owner: ShardController,
    private readonly peers: ReadonlyMap<string, Peer>,
  ) {
    this.submissions = new GroupCommit(context.state);
    context.viewChanges.subscribe(({ jobs }) => {
      for (const id of jobs)
        if (!context.view.jobs.has(id)) for (const go of this.finishWaiters.get(id) ?? []) go();
    });
  }

  private statusOf(job: JobRecord): JobStatus {
    const running = this.context.allocations.current().jobs.get(job.spec.id)?.tasks.size ?? 0;
    return { state: running > 0 ? 'running' : 'pending', done: job.done.count, running };
  }

  private finalStatus(f: FinalRecord): JobStatus {
    const because = f.because === undefined ? {} : { because: f.because };
    return { state: f.state, done: f.done, running: 0, ...because };
  }

  async submit(spec: JobSpec): Promise<SubmissionResult> {
    const { context } = this;
    const { view } = context;
    if (!context.watcher.isReady || view.types === null || !context.state.isReachable(1500))
      return { kind: 'later' };
    const verdict = checkFeasibility(spec, context.teams, view.types);
    if (verdict !== 'ok') return this.knownOrImpossible(spec.id, verdict);
    if (view.jobs.has(spec.id) || this.context.finalStates.cached(spec.id) !== undefined) {
      const known = await this.find(spec.id);
      if (known !== undefined) return { kind: 'known', state: known.state };
    }
    const needs = await this.judgeNeeds(spec);
    if (needs.kind === 'impossible') return this.knownOrImpossible(spec.id, 'unknown_need');
    if (needs.kind === 'withdrawn') {
      // One that names a cancelled job is accepted, and is over at once.
      const over: FinalRecord = {
        state: 'cancelled',
        done: 0,
        at: context.clock.wallClock(),
        because: needs.because,
      };
      return this.accept(spec, { key: key.final(spec.id), value: over, reason: 'submission' }, 'cancelled');
    }
    const { needs: named, ...rest } = spec;
    const record: JobRecord = {
      spec: needs.left.length === 0 ? rest : { ...rest, needs: needs.left },
      phase: 'active',
      done: NO_TASKS_DONE,
      submitted: context.clock.wallClock(),
    };
    // One that does not fit is refused with its status: its change would be refused for ever.
    const stored = toStoredJob(record, context.state.limits.valueBytes);
    if (stored === null) return this.knownOrImpossible(spec.id, 'too_large');
    return this.accept(spec, { key: key.job(spec.id), value: stored, reason: 'submission' }, 'pending');
  }

  /** Commits an accepted job, in whatever state it is from the first moment. */
  private async accept(spec: JobSpec, op: WriteOperation, state: JobState): Promise<SubmissionResult> {
    const { context } = this;
    const { id, team, kind, tasks } = spec;
    const since = context.clock.now();
    const guards = [key.job(id), key.final(id)].map((k) => ({ key: k, version: NO_VERSION }));
    const result = await this.submissions.commit(id, { guards, operations: [op] });
    if (result.kind === 'ok') {
      context.watcher.applyCommitted([op], result.revision);
      context.log.info({ job: id, team, kind, tasks, class: spec.class }, LOG_EVENT.jobAccepted);
      if (context.events.isActive) context.events.emit({ kind: 'job_accepted', job: id, team, since });
      return { kind: 'accepted', state };
    }
    if (result.kind === 'conflict') {
      const known = await this.find(id);
      if (known !== undefined) return { kind: 'known', state: known.state };
    }
    // No answer: it may have been committed. The retry will find out.
    return { kind: 'later' };
  }

  /** A job that was accepted stays accepted, whatever has changed since: limits, teams, machine types. */
  private async knownOrImpossible(id: JobId, why: string): Promise<SubmissionResult> {
    const known = await this.find(id);
    return known === undefined ? { kind: 'impossible', why } : { kind: 'known', state: known.state };
  }

  /**
   * Which of the jobs that it names are not done yet; whether they were accepted is decided as freshly as a poll is.
   * Throws `UnavailableError` where that cannot be known now.
   */
  private async judgeNeeds({ id: of, needs: named = [] }: JobSpec): Promise<JudgedNeeds> {
    const { context } = this;
    const left: JobId[] = [];
    let because: JobId | null = null;
    if (named.includes(of)) return { kind: 'impossible' };
    if (named.some((id) => context.finalStates.cached(id) === undefined))
      await context.watcher.waitUntilFresh();
    for (const id of named) {
      const job = context.view.jobs.get(id);
      if (job === undefined) {
        const final = await context.finalStates.read(id, context.view.revision);
        if (final === undefined) return { kind: 'impossible' };
        if (final.state === 'cancelled') because ??= final.because ?? id;
        continue;
      }
      // A service runs until it is cancelled: what waits for its end could never run.
      if (job.spec.kind === 'service') return { kind: 'impossible' };
      left.push(id);
      const dependency = await context.dependencies.resolve(job);
      if (dependency?.kind === 'withdrawn') because ??= dependency.because;
    }
    return because === null ? { kind: 'open', left } : { kind: 'withdrawn', because };
  }

  /**
   * The job's state, as new as anything that any controller has told anybody. Undefined: never accepted.
   * Throws `UnavailableError` where that cannot be known now.
   */
  async find(id: JobId): Promise<JobStatus | undefined> {
    const { context } = this;
    const cached = this.context.finalStates.cached(id);
    if (cached !== undefined) return this.finalStatus(cached);
    // Without the state service nothing but final states can be told: said at once, not after a wait.
    if (!context.watcher.isReady || !context.state.isReachable(1500)) throw new UnavailableError('not ready');
    await context.watcher.waitUntilFresh();
    const job = context.view.jobs.get(id);
    if (job !== undefined) {
      const d = await context.dependencies.resolve(job);
      // Its record may stand for a while yet, but it can never start: no user has to wait for the change to be written,
      // nor for an outage to end. A cancellation is for ever, so every controller comes to this answer from now on.
      if (d?.kind === 'withdrawn') return { state: 'cancelled', done: 0, running: 0, because: d.because };
      return {
        ...this.statusOf(job),
        ...(d?.kind === 'blocked' ? { needs: d.by } : {}),
        ...this.inheritedBy(job),
        ...this.failuresOf(job),
      };
    }
    const final = await this.context.finalStates.read(id, context.view.revision);
    return final === undefined ? undefined : this.finalStatus(final);
  }

  private inheritedBy(job: JobRecord): Pick<JobStatus, 'inherited'> {
    const { dependencies, clock } = this.context;
    const urgency = dependencies.current().inherited.get(job.spec.id);
    if (urgency === undefined) return {};
    const { priority, dueMs } = urgency;
    return { inherited: { priority, dueInS: dueMs === null ? null : (dueMs - clock.wallClock()) / 1000 } };
  }

  private failuresOf({ failing }: JobRecord): Pick<JobStatus, 'failing'> {
    if (failing === undefined) return {};
    const { rounds, why, machines, until } = failing;
    const nextTryInS = Math.max(0, (until - this.context.clock.wallClock()) / 1000);
    return { failing: { rounds, why, machines, nextTryInS } };
  }

  async cancel(id: JobId): Promise<CancellationResult> {
    const { context } = this;
    const status = await this.find(id);
    if (status === undefined) return { kind: 'not_found' };
    if (status.state === 'done' || status.state === 'cancelled')
      return { kind: 'final', state: status.state };
    const job = context.view.jobs.get(id);
    if (job === undefined) return { kind: 'later' };
    if (context.ownership.ownsTeam(job.spec.team)) return this.cancelOwned(id);
    const start = this.context.clock.now();
    const wait = this.waitUntilFinished(id, CANCEL_WAIT_MS);
    const owner = context.ownership.holderOf(context.view.teams.get(job.spec.team)) ?? undefined;
    const peer = owner === undefined ? undefined : this.peers.get(owner);
    const taken = peer === undefined ? null : await peer.cancel(id, 800);
    // Where the owner cannot be reached directly, the request is left in the state service for it.
    if (taken !== 'taken' && !context.view.cancellations.has(id)) {
      const op: WriteOperation = { key: key.cancellation(id), value: {}, reason: 'cancellation' };
      const r = await context.state.transact(
        { guards: [context.guards.forKey(op.key)], operations: [op] },
        REQUEST_PRIORITY.users,
      );
      if (r.kind === 'ok') context.watcher.applyCommitted([op], r.revision);
    }
    await wait;
    context.log.debug(
      { job: id, ms: this.context.clock.now() - start, taken },
      LOG_EVENT.cancellationForwarded,
    );
    return this.cancellationResult(id);
  }

  /** A peer forwards a cancellation of a job whose team this controller owns. */
  acceptForwardedCancellation(id: JobId): string {
    const job = this.context.view.jobs.get(id);
    if (job === undefined || !this.context.ownership.ownsTeam(job.spec.team)) return 'not_mine';
    this.owner.requestCancellation(id);
    return 'taken';
  }

  private async cancelOwned(id: JobId): Promise<CancellationResult> {
    this.owner.requestCancellation(id);
    await this.waitUntilFinished(id, CANCEL_WAIT_MS);
    return this.cancellationResult(id);
  }

  private async cancellationResult(id: JobId): Promise<CancellationResult> {
    if (this.context.view.jobs.has(id)) return { kind: 'later' };
    const final = await this.context.finalStates.read(id, this.context.view.revision);
    return final === undefined ? { kind: 'later' } : { kind: 'final', state: final.state };
  }

  /** Resolves when the job has left the view, or after the time. */
  private waitUntilFinished(id: JobId, ms: number): Promise<void> {
    if (!this.context.view.jobs.has(id)) return Promise.resolve();
    return new Promise((resolve) => {
      const set = this.finishWaiters.get(id) ?? new Set();
      this.finishWaiters.set(id, set);
      const go = () => {
        stop();
        set.delete(go);
        if (set.size === 0) this.finishWaiters.delete(id);
        resolve();
      };
      const stop = this.context.clock.after(ms, go);
      set.add(go);
    });
  }
}
