/** Reads the final states of jobs that others need, and keeps what follows from them at hand. */
import {
  transitiveDependencies,
  resolveDependencies,
  resolveDependency,
  dependenciesOf,
  unreadFinalStates,
  type DependencyGraph,
  type DependencyStatus,
} from '../core/dependencies.js';
import type { JobId, JobRecord } from '../core/types.js';
import { viewChangesOfJobs } from '../core/changes.js';
import { Unavailable } from '../io/state/client.js';
import type { ControllerContext } from './context.js';
import type { FinalStateCache } from './final-states.js';

/** So many final states are read at once; a takeover may have hundreds of jobs that wait. */
const READS_AT_ONCE = 8;
const AGAIN_MS = 250;

/** Keeps at hand which jobs may start, wait or are withdrawn, and reads the final states that decide it. */
export class DependencyTracker {
  private now: DependencyGraph | null = null;
  /** The state of the view from which that follows. */
  private at = -1;
  /** Some final state is unread that decides about a waiting job. */
  private incomplete = false;
  private reading = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly finalStates: FinalStateCache,
  ) {
    // Not waited for until somebody plans: what follows from an end is wanted at once.
    context.listeners.push(({ jobs }) => {
      if ([...jobs].some((id) => !context.view.jobs.has(id))) this.current();
    });
  }

  private get input() {
    const { context } = this;
    const totals = context.allocations();
    return {
      jobs: context.view.jobs,
      finalState: (id: JobId) => this.finalStates.cached(id),
      hasStarted: (j: JobRecord) => totals.jobs.has(j.spec.id),
      runMs: (j: JobRecord) => {
        let fetchS = 0;
        for (const t of context.types.values()) fetchS = Math.max(fetchS, j.spec.imageGb / t.fetchGbPerS);
        return (j.spec.estimateS + fetchS + context.settings.workers.report_s) * 1000;
      },
    };
  }

  /** What the view and the final states read so far say. */
  current(): DependencyGraph {
    const { jobChangeCount } = this.context.view;
    if (this.now === null || this.at !== jobChangeCount) {
      this.at = jobChangeCount;
      this.now = resolveDependencies(this.input);
      this.incomplete = [...this.now.byJob.values()].some((d) => unreadFinalStates(d).length > 0);
    }
    if (this.incomplete) this.readSoon();
    return this.now;
  }

  /** As `all`, of one job, with all final states read that decide it. Throws `Unavailable` where that can't be now. */
  async resolve(job: JobRecord): Promise<DependencyStatus | undefined> {
    if (dependenciesOf(job).length === 0) return undefined;
    for (;;) {
      const d = resolveDependency(job, this.input);
      const open = d?.kind === 'blocked' || d?.kind === 'unknown' ? this.unread(job) : [];
      if (open.length === 0) return d;
      for (const id of open.slice(0, READS_AT_ONCE))
        if ((await this.finalStates.read(id, this.context.view.revision)) === undefined)
          throw new Unavailable(`${id} is neither open nor over`);
      this.now = null;
    }
  }

  private unread(job: JobRecord): JobId[] {
    const { jobs } = this.context.view;
    const out = new Set<JobId>();
    for (const j of transitiveDependencies(job, jobs))
      for (const id of dependenciesOf(j))
        if (!jobs.has(id) && this.finalStates.cached(id) === undefined) out.add(id);
    return [...out];
  }

  private readSoon(): void {
    if (this.reading) return;
    this.reading = true;
    void this.readAll().finally(() => {
      this.reading = false;
    });
  }

  /** Level-triggered: as long as something is unread, it is read, in bounded numbers. */
  private async readAll(): Promise<void> {
    const { context } = this;
    for (;;) {
      const unread = new Map<JobId, JobId>();
      for (const [id, d] of this.current().byJob)
        for (const need of unreadFinalStates(d)) unread.set(need, id);
      if (unread.size === 0) return;
      const some = [...unread].slice(0, READS_AT_ONCE);
      const read = await Promise.all(
        some.map(([need]) => this.finalStates.read(need, context.view.revision).catch(() => undefined)),
      );
      const changed = some.filter((_, i) => read[i] !== undefined);
      if (changed.length > 0) {
        this.now = null;
        // As if the records of those that wait had changed: their owners and the leader look again.
        context.publish(viewChangesOfJobs(new Set(changed.map(([, job]) => job))));
      }
      if (changed.length < some.length) await context.clock.sleep(AGAIN_MS);
    }
  }
}
