/** Accepts submissions: one is answered as accepted only after its job is committed. */
import type { DependencyStatus } from '../../core/jobs/dependencies.js';
import { NO_TASKS_DONE } from '../../core/jobs/done-tasks.js';
import { checkFeasibility } from '../../core/jobs/feasibility.js';
import { LOG_EVENT } from '../../core/log-events.js';
import { NO_VERSION, type JobId } from '../../core/model/ids.js';
import type { SubmissionResult } from '../../core/model/job-results.js';
import type { FinalRecord, JobRecord, JobSpec, JobState } from '../../core/model/jobs.js';
import { key } from '../../core/records/keys.js';
import { toStoredJob } from '../../core/records/stored-records.js';
import { GroupCommit } from '../../io/state/group-commit.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import { STATE_CONTACT_MS, type JobLookup } from './job-lookup.js';

/** What the dependencies of a submitted job mean for it. */
type DependencyVerdict =
  /** All of them were accepted and none was cancelled. */
  | { readonly kind: 'open'; readonly unfinished: readonly JobId[] }
  /** One of them was or will be cancelled; `because` is the job whose cancellation is the cause. */
  | { readonly kind: 'cancelled'; readonly because: JobId }
  /** One of them was never accepted, is the job itself, or is a service. */
  | { readonly kind: 'impossible' };

/** Checks submissions and commits the jobs that can be accepted. */
export class JobSubmission {
  private readonly commits: GroupCommit;

  constructor(
    private readonly context: ControllerContext,
    private readonly lookup: JobLookup,
  ) {
    this.commits = new GroupCommit(context.state);
  }

  /**
   * Accepts a job, or returns that it is known, that it is impossible, or that its user should retry. Throws
   * `UnavailableError` where records that decide this cannot be read now.
   */
  async submit(spec: JobSpec): Promise<SubmissionResult> {
    const { teams, view, watcher, state, finalStates } = this.context;
    if (!watcher.isReady || view.types === null || !state.isReachable(STATE_CONTACT_MS))
      return { kind: 'later' };
    const verdict = checkFeasibility(spec, teams, view.types);
    if (verdict !== 'ok') return this.knownOrImpossible(spec.id, verdict);
    if (view.jobs.has(spec.id) || finalStates.cached(spec.id) !== undefined) {
      const known = await this.lookup.find(spec.id);
      if (known !== undefined) return { kind: 'known', state: known.state };
    }
    const dependencies = await this.checkDependencies(spec);
    switch (dependencies.kind) {
      case 'impossible':
        return this.knownOrImpossible(spec.id, 'unknown_need');
      case 'cancelled':
        return this.acceptCancelled(spec, dependencies.because);
      case 'open':
        return this.acceptPending(spec, dependencies.unfinished);
    }
  }

  /** Accepts a job that depends on a cancelled one: its first record is its final state, cancelled. */
  private acceptCancelled(spec: JobSpec, because: JobId): Promise<SubmissionResult> {
    const at = this.context.clock.wallClock();
    const value: FinalRecord = { state: 'cancelled', done: 0, at, because };
    return this.accept(spec, { key: key.final(spec.id), value, reason: 'submission' }, 'cancelled');
  }

  private acceptPending(spec: JobSpec, unfinished: readonly JobId[]): Promise<SubmissionResult> {
    const { clock, state } = this.context;
    const { needs: submittedNeeds, ...specWithoutNeeds } = spec;
    const record: JobRecord = {
      spec: unfinished.length === 0 ? specWithoutNeeds : { ...specWithoutNeeds, needs: unfinished },
      phase: 'active',
      done: NO_TASKS_DONE,
      submitted: clock.wallClock(),
    };
    // A record above the limit is refused now: the state service would reject its commit each time.
    const value = toStoredJob(record, state.limits.valueBytes);
    if (value === null) return this.knownOrImpossible(spec.id, 'too_large');
    return this.accept(spec, { key: key.job(spec.id), value, reason: 'submission' }, 'pending');
  }

  /** Commits the first record of a job, which then has the given state. */
  private async accept(spec: JobSpec, operation: WriteOperation, state: JobState): Promise<SubmissionResult> {
    const { clock, watcher, log, events } = this.context;
    const { id, team, kind, tasks } = spec;
    const since = clock.now();
    const guards = [key.job(id), key.final(id)].map((guarded) => ({ key: guarded, version: NO_VERSION }));
    const result = await this.commits.commit(id, { guards, operations: [operation] });
    if (result.kind === 'ok') {
      watcher.applyCommitted([operation], result.revision);
      log.info({ job: id, team, kind, tasks, class: spec.class }, LOG_EVENT.jobAccepted);
      if (events.isActive) events.emit({ kind: 'job_accepted', job: id, team, since });
      return { kind: 'accepted', state };
    }
    if (result.kind === 'conflict') {
      const known = await this.lookup.find(id);
      if (known !== undefined) return { kind: 'known', state: known.state };
    }
    // Without an answer the job may have been committed; then the user's retry finds it.
    return { kind: 'later' };
  }

  /** A job accepted earlier is known even if it is impossible now: quotas, teams and machine types may have changed. */
  private async knownOrImpossible(id: JobId, why: string): Promise<SubmissionResult> {
    const known = await this.lookup.find(id);
    return known === undefined ? { kind: 'impossible', why } : { kind: 'known', state: known.state };
  }

  /**
   * Checks the dependencies of a submitted job and finds the unfinished ones. Whether a dependency was accepted is
   * decided on a view as fresh as that of a lookup. Throws `UnavailableError` where that cannot be known now.
   */
  private async checkDependencies({ id, needs = [] }: JobSpec): Promise<DependencyVerdict> {
    const { watcher, view, finalStates, dependencies } = this.context;
    if (needs.includes(id)) return { kind: 'impossible' };
    if (needs.some((dependency) => finalStates.cached(dependency) === undefined))
      await watcher.waitUntilFresh();
    const unfinished: JobId[] = [];
    let because: JobId | null = null;
    for (const dependency of needs) {
      const job = view.jobs.get(dependency);
      if (job === undefined) {
        const final = await finalStates.read(dependency, view.revision);
        if (final === undefined) return { kind: 'impossible' };
        because ??= causeOfCancellation(final, dependency);
        continue;
      }
      // A service runs until it is cancelled, so that a job waiting for its end could never run.
      if (job.spec.kind === 'service') return { kind: 'impossible' };
      unfinished.push(dependency);
      const status = await dependencies.resolve(job);
      because ??= causeOfPendingCancellation(status);
    }
    return because === null ? { kind: 'open', unfinished } : { kind: 'cancelled', because };
  }
}

/** The job whose cancellation ended the finished dependency `id`; null where the dependency is done. */
function causeOfCancellation(final: FinalRecord, id: JobId): JobId | null {
  return final.state === 'cancelled' ? (final.because ?? id) : null;
}

/** The job whose cancellation also cancels an unfinished dependency; null where none does. */
function causeOfPendingCancellation(status: DependencyStatus | undefined): JobId | null {
  return status?.kind === 'cancelled' ? status.because : null;
}
