/** Rules that shard controllers and the leader must apply alike: the order of jobs and the room reserved for gangs. */
import type { OperatorSettings } from '../config/operator-settings.js';
import type { JobOrderContext } from '../core/jobs/job-order.js';
import type { Clock } from '../core/model/clock.js';
import type { JobRecord } from '../core/model/jobs.js';
import type { AllocationTracker } from './allocation-tracker.js';
import type { DependencyTracker } from './dependency-tracker.js';

/** Evaluates the operators' placement settings at the current time. */
export class SchedulingPolicy {
  constructor(
    private readonly clock: Clock,
    private readonly settings: OperatorSettings['placement'],
    private readonly allocations: AllocationTracker,
    private readonly dependencies: DependencyTracker,
  ) {}

  /** Inputs of the order of a team's jobs, other than the jobs themselves. */
  jobOrder(): Omit<JobOrderContext, 'hasTasks'> {
    return { wallClock: this.clock.wallClock(), starvationMs: this.settings.behind_s * 1000 };
  }

  /**
   * Whether machines may be reserved for the gang: the more tasks it has, the sooner, since a large gang seldom finds
   * enough room by chance. Never for a job that fails on every machine.
   */
  mayReserve({ spec, failing, submitted }: JobRecord): boolean {
    if (failing !== undefined) return false;
    const reserveAfterMs = (this.settings.hold_after_s * 1000) / Math.sqrt(spec.tasks);
    return spec.tasks > 1 && this.clock.wallClock() - submitted > reserveAfterMs;
  }

  /**
   * Returns a predicate for jobs that have to leave empty on-demand machines to gangs that cannot use spot machines. It
   * holds only while such a gang is pending, and only for `yield_s` after a job's submission, since spot machines may
   * be refused.
   */
  gangWholeMachinePolicy(): (job: JobRecord) => boolean {
    const isGangPending = this.isOnDemandGangPending();
    const submittedAfter = this.clock.wallClock() - this.settings.yield_s * 1000;
    return ({ spec, submitted }) =>
      isGangPending && spec.spot && spec.kind !== 'gang' && submitted > submittedAfter;
  }

  private isOnDemandGangPending(): boolean {
    const totals = this.allocations.current();
    return this.dependencies
      .current()
      .startable.some(
        ({ spec, phase, failing }) =>
          spec.kind === 'gang' &&
          !spec.spot &&
          phase === 'active' &&
          failing === undefined &&
          !totals.allocationsByJob.has(spec.id),
      );
  }
}
