/** Resolves dependencies between jobs: reads the final states that decide them and caches the resulting graph. */
import { UnavailableError } from '../core/errors.js';
import {
  resolveDependencies,
  resolveJobDependencies,
  unreadFinalStates,
  type DependencyGraph,
  type DependencyInput,
  type DependencyStatus,
} from '../core/jobs/dependencies.js';
import { dependenciesOf, transitiveDependencies } from '../core/jobs/dependency-order.js';
import type { Clock } from '../core/model/clock.js';
import type { JobId } from '../core/model/ids.js';
import type { JobRecord } from '../core/model/jobs.js';
import type { ClusterView } from '../core/state/cluster-view.js';
import { viewChangesOfJobs } from '../core/state/view-changes.js';
import type { AllocationTracker } from './allocation-tracker.js';
import type { FinalStateCache } from './final-state-cache.js';
import type { ViewChangeFeed } from './view-change-feed.js';

/** Limit on concurrent reads of final states: after a failover hundreds of jobs may need theirs at once. */
const MAX_CONCURRENT_READS = 8;
const READ_RETRY_MS = 250;

/** What a `DependencyTracker` computes the graph from. */
export interface DependencyTrackerOptions {
  readonly view: ClusterView;
  readonly viewChanges: ViewChangeFeed;
  readonly allocations: AllocationTracker;
  readonly finalStates: FinalStateCache;
  readonly clock: Clock;
  readonly heartbeatIntervalS: number;
}

/** Tracks which unfinished jobs may start, are blocked, or are to be cancelled because a dependency was. */
export class DependencyTracker {
  private graph: DependencyGraph | null = null;
  /** The `jobChangeCount` of the view from which `graph` was computed. */
  private graphJobChangeCount = -1;
  /** Whether an unfinished job depends on a job whose final state has not been read. */
  private hasUnreadFinalStates = false;
  private isReading = false;

  constructor(private readonly options: DependencyTrackerOptions) {
    const { view, viewChanges } = options;
    // Starts the reads as soon as a job ends instead of at the next use of the graph, since they take time.
    viewChanges.subscribe(({ jobs }) => {
      if ([...jobs].some((id) => !view.jobs.has(id))) this.current();
    });
  }

  private get input(): DependencyInput {
    const { view, allocations, finalStates } = this.options;
    const totals = allocations.current();
    return {
      jobs: view.jobs,
      finalState: (id) => finalStates.cached(id),
      hasStarted: (job) => totals.allocationsByJob.has(job.spec.id),
      runMs: (job) => this.estimatedRunMs(job),
    };
  }

  private estimatedRunMs({ spec }: JobRecord): number {
    const { view, heartbeatIntervalS } = this.options;
    let fetchS = 0;
    for (const type of view.typesByName.values()) fetchS = Math.max(fetchS, spec.imageGb / type.fetchGbPerS);
    return (spec.estimateS + fetchS + heartbeatIntervalS) * 1000;
  }

  /**
   * The dependencies of all unfinished jobs, according to the view and the final states read so far. Starts to read
   * missing final states in the background.
   */
  current(): DependencyGraph {
    const { jobChangeCount } = this.options.view;
    if (this.graph === null || this.graphJobChangeCount !== jobChangeCount) {
      this.graphJobChangeCount = jobChangeCount;
      this.graph = resolveDependencies(this.input);
      this.hasUnreadFinalStates = [...this.graph.byJob.values()].some(
        (status) => unreadFinalStates(status).length > 0,
      );
    }
    if (this.hasUnreadFinalStates) this.startReading();
    return this.graph;
  }

  /**
   * Status of one job's dependencies, after reading all final states that decide it; undefined where the job has no
   * dependencies. Throws `UnavailableError` where a final state cannot be read now.
   */
  async resolve(job: JobRecord): Promise<DependencyStatus | undefined> {
    if (dependenciesOf(job).length === 0) return undefined;
    const { view, finalStates } = this.options;
    for (;;) {
      const status = resolveJobDependencies(job, this.input);
      const isUndecided = status?.kind === 'blocked' || status?.kind === 'unknown';
      const unread = isUndecided ? this.unreadDependenciesOf(job) : [];
      if (unread.length === 0) return status;
      for (const id of unread.slice(0, MAX_CONCURRENT_READS))
        if ((await finalStates.read(id, view.revision)) === undefined)
          throw new UnavailableError(
            `dependencies of ${job.spec.id}: expected a job record or a final state of ${id}, found neither`,
          );
      this.graph = null;
    }
  }

  private unreadDependenciesOf(job: JobRecord): JobId[] {
    const { view, finalStates } = this.options;
    const unread = new Set<JobId>();
    for (const dependent of transitiveDependencies(job, view.jobs))
      for (const id of dependenciesOf(dependent))
        if (!view.jobs.has(id) && finalStates.cached(id) === undefined) unread.add(id);
    return [...unread];
  }

  private startReading(): void {
    if (this.isReading) return;
    this.isReading = true;
    void this.readAll().finally(() => {
      this.isReading = false;
    });
  }

  /** Reads missing final states in batches until none is missing; each batch starts from the current graph. */
  private async readAll(): Promise<void> {
    const { view, viewChanges, finalStates, clock } = this.options;
    for (;;) {
      const dependentByUnread = this.dependentByUnread();
      if (dependentByUnread.size === 0) return;
      const batch = [...dependentByUnread].slice(0, MAX_CONCURRENT_READS);
      const results = await Promise.all(
        batch.map(([id]) => finalStates.read(id, view.revision).catch(() => undefined)),
      );
      const resolved = batch.filter((_, i) => results[i] !== undefined);
      if (resolved.length > 0) {
        this.graph = null;
        // Published as if the dependents' records had changed, so that the shard controller and the leader evaluate the
        // dependents again.
        viewChanges.publish(viewChangesOfJobs(new Set(resolved.map(([, dependent]) => dependent))));
      }
      if (resolved.length < batch.length) await clock.sleep(READ_RETRY_MS);
    }
  }

  /** The dependencies whose final states are unread, each with one of the jobs that depend on it. */
  private dependentByUnread(): Map<JobId, JobId> {
    const dependents = new Map<JobId, JobId>();
    for (const [dependent, status] of this.current().byJob)
      for (const id of unreadFinalStates(status)) dependents.set(id, dependent);
    return dependents;
  }
}
